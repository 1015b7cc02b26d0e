"""Failure detection, refutation, joins and convergence on a simulated network."""

import random

import pytest

from fireflyquay.membership._membership import Membership
from fireflyquay.membership._membership_message import Ping
from fireflyquay.membership._membership_settings import MembershipSettings
from fireflyquay.membership.tests.fake_network import FakeNetwork
from fireflyquay.world import (
    EntryVm,
    Incarnation,
    MemberState,
    RegionId,
    VmListing,
    VmListingState,
    ZoneId,
)

REGION = RegionId("ee-north")
ZONES = [ZoneId(name) for name in ("tallinn-a", "tallinn-b", "tallinn-c")]


class MemberNode:
    def __init__(self, vm: EntryVm, seed: int) -> None:
        self.vm = vm
        self.membership = Membership(vm, MembershipSettings(), random.Random(seed))

    def process_timers(self, now):
        return self.membership.process_timers(now)

    def receive(self, now, sender, message):
        return self.membership.receive(now, sender, message)


def build_vm(number: int, incarnation: str | None = None) -> EntryVm:
    return EntryVm(
        incarnation=Incarnation(incarnation or f"node{number:04d}"),
        zone=ZONES[number % 3],
        region=REGION,
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        http_port=8080,
        peer_port=9090,
    )


def build_listing(vm: EntryVm, state=VmListingState.LIVE) -> VmListing:
    return VmListing(vm.host, vm.peer_port, vm.zone, vm.region, state)


def build_network(size: int, seed: int = 1) -> FakeNetwork:
    network = FakeNetwork(seed)
    vms = [build_vm(number) for number in range(size)]
    for number, vm in enumerate(vms):
        add_node(network, vm, [build_listing(v) for v in vms], seed * 1000 + number)
    return network


def add_node(network, vm, listings, seed=0) -> MemberNode:
    node = MemberNode(vm, seed)
    network.add(node)
    actions = node.membership.update_listings(network.now, listings)
    network.send_messages(vm.incarnation, actions)
    return node


def list_live_sets(network) -> list[frozenset]:
    nodes = network.nodes.values()
    return [frozenset(r.vm.incarnation for r in n.membership.live()) for n in nodes]


def has_converged(network) -> bool:
    return all(live == set(network.nodes) for live in list_live_sets(network))


def is_alive_on_all_nodes(network, incarnation) -> bool:
    records = [n.membership.get(incarnation) for n in network.nodes.values()]
    return all(r is not None and r.state is MemberState.ALIVE for r in records)


def is_live_on_no_node(network, incarnation) -> bool:
    return not any(n.membership.is_live(incarnation) for n in network.nodes.values())


@pytest.mark.parametrize("size, limit_seconds", [(3, 2), (9, 2), (60, 5)])
def test_fleet_converges_from_a_complete_list(size, limit_seconds):
    network = build_network(size)
    network.run_until(lambda: has_converged(network), limit_seconds)


@pytest.mark.parametrize("seed", range(5))
def test_killed_node_is_detected_within_five_seconds(seed):
    network = build_network(9, seed)
    network.run(10)
    network.kill(Incarnation("node0004"))
    seconds = network.run_until(lambda: is_live_on_no_node(network, "node0004"), 5)
    # The suspicion timeout.
    assert seconds >= 1.5


def test_killed_nodes_are_detected_in_a_fleet_of_sixty():
    network = build_network(60)
    network.run(20)
    for number in (7, 21, 40):
        network.kill(Incarnation(f"node{number:04d}"))
    network.run_until(lambda: has_converged(network), 6)


def test_new_node_joins_through_any_single_listed_node():
    network = build_network(9)
    network.run(5)
    for number in range(9):
        vm = build_vm(100 + number)
        add_node(network, vm, [build_listing(build_vm(number))], number)
        network.run_until(lambda: has_converged(network), 3)


def test_outdated_list_neither_revives_nor_removes_members():
    network = build_network(9)
    network.run(5)
    dead = Incarnation("node0002")
    network.kill(dead)
    network.run(6)
    for node in network.nodes.values():
        outdated = [
            build_listing(build_vm(2)),
            build_listing(build_vm(3), VmListingState.LEAVING),
        ]
        actions = node.membership.update_listings(network.now, outdated)
        network.send_messages(node.vm.incarnation, actions)
    network.run(5)
    assert has_converged(network)
    assert is_live_on_no_node(network, dead)


def test_node_declared_dead_during_a_pause_refutes_it_with_a_higher_generation():
    network = build_network(9)
    network.run(5)
    incarnation = Incarnation("node0005")
    network.paused.add(incarnation)
    network.run_until(
        lambda: all(
            incarnation not in live
            for live in list_live_sets_of_others(network, incarnation)
        ),
        5,
    )
    network.run(8)
    network.paused.clear()
    network.run_until(
        lambda: has_converged(network) and is_alive_on_all_nodes(network, incarnation),
        5,
    )
    network.run(5)
    assert has_converged(network)
    assert (
        network.nodes[Incarnation("node0000")].membership.get(incarnation).generation
        > 1
    )


def list_live_sets_of_others(network, incarnation) -> list[frozenset]:
    pairs = zip(network.nodes, list_live_sets(network), strict=True)
    return [live for node, live in pairs if node != incarnation]


def test_node_that_resumes_declares_no_other_node_dead():
    network = build_network(9)
    network.run(5)
    incarnation = Incarnation("node0005")
    network.paused.add(incarnation)
    network.run(10)
    network.paused.clear()
    for _ in range(100):
        network.run(0.05)
        assert all(len(live) >= 8 for live in list_live_sets(network))


def test_fleet_converges_after_a_network_partition():
    network = build_network(9)
    network.run(5)
    network.groups = {
        incarnation: i % 2 for i, incarnation in enumerate(sorted(network.nodes))
    }
    network.run(8)
    assert sorted(len(live) for live in list_live_sets(network)) == [4] * 4 + [5] * 5
    network.groups = {}
    network.run_until(lambda: has_converged(network), 10)


def test_lossy_network_keeps_live_members_and_detects_dead_ones():
    network = build_network(9)
    network.loss_probability = 0.1
    network.duplication_probability = 0.1
    network.run(30)
    network.kill(Incarnation("node0001"))
    network.run_until(lambda: is_live_on_no_node(network, "node0001"), 8)
    network.run_until(lambda: has_converged(network), 5)


def test_restarted_node_replaces_its_older_incarnation_permanently():
    network = build_network(9)
    network.run(5)
    network.kill(Incarnation("node0003"))
    add_node(network, build_vm(3, "reborn03"), [build_listing(build_vm(1))])
    network.run_until(lambda: has_converged(network), 3)
    node = network.nodes[Incarnation("node0001")]
    old_membership = MemberNode(build_vm(3), 3).membership
    join_request = old_membership.update_listings(
        network.now, [build_listing(build_vm(1))]
    )[0].message
    assert node.receive(network.now, Incarnation("node0003"), join_request) == []
    assert not node.membership.is_live(Incarnation("node0003"))


def test_delayed_join_request_does_not_revive_a_dead_node():
    network = build_network(9)
    network.run(5)
    action = network.nodes[Incarnation("node0006")].membership.update_listings(
        network.now, [build_listing(build_vm(99))]
    )[0]
    network.kill(Incarnation("node0006"))
    network.run(5)
    node = network.nodes[Incarnation("node0001")]
    node.receive(network.now, Incarnation("node0006"), action.message)
    assert not node.membership.is_live(Incarnation("node0006"))


def test_leave_reaches_all_nodes_and_a_node_that_left_is_declared_dead():
    network = build_network(9)
    network.run(5)
    incarnation = Incarnation("node0008")
    network.send_messages(
        incarnation, network.nodes[incarnation].membership.leave(network.now)
    )
    nodes = list(network.nodes.values())

    def is_leaving_on_all_nodes():
        states = {node.membership.get(incarnation).state for node in nodes}
        return states == {MemberState.LEAVING}

    network.run_until(is_leaving_on_all_nodes, 2)
    network.run(5)
    assert is_leaving_on_all_nodes()
    network.kill(incarnation)
    network.run(6)
    for node in network.nodes.values():
        assert node.membership.get(incarnation).state is MemberState.DEAD


@pytest.mark.parametrize("seed", range(5))
def test_probes_started_before_a_pause_cause_no_suspicion(seed):
    network = build_network(9, seed)
    network.run(5)
    node = network.nodes[Incarnation("node0005")]
    now = network.now
    while not any(isinstance(a.message, Ping) for a in node.process_timers(now)):
        now += 0.05
    node.process_timers(now + 20)
    node.process_timers(now + 20.05)
    states = {record.state for record in node.membership.live()}
    assert states == {MemberState.ALIVE}
