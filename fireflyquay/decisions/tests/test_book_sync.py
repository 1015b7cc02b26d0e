"""Changes reach every node in time, through loss, deaths and outages."""

import random

import pytest

from fireflyquay.contracts import (
    encode_backend_change,
    encode_contract_change,
)
from fireflyquay.decisions import (
    BackendBook,
    BookPull,
    BookPush,
    BookRevisions,
    BookSettings,
    BookSync,
    ContractBook,
)
from fireflyquay.decisions.tests.fake_store import FakeStore
from fireflyquay.decisions.tests.test_books import build_backend, build_contract
from fireflyquay.membership import (
    Membership,
    MembershipSettings,
)
from fireflyquay.membership.tests.fake_network import FakeNetwork
from fireflyquay.membership.tests.test_membership import build_vm, list_vm
from fireflyquay.world import BackendState, ChangeId

PATH = "contracts/treipuu"
SERVER_PATH = "backends/engine1"


class SyncNode:
    def __init__(self, vm, seed):
        self.vm = vm
        rng = random.Random(seed)
        self.membership = Membership(vm, MembershipSettings(), rng)
        self.contracts = ContractBook()
        self.backends = BackendBook()
        self.sync = BookSync(
            vm.incarnation,
            self.membership,
            self.contracts,
            self.backends,
            BookSettings(),
            rng,
        )

    def advance(self, now):
        return self.membership.advance(now) + self.sync.advance(now)

    def receive(self, now, sender, message):
        answers = self.membership.receive(now, sender, message)
        return answers + self.sync.receive(now, sender, message)

    def receive_store_answer(self, now, tag, answer):
        return self.sync.receive_store_answer(now, tag, answer)


class Fleet:
    def __init__(self, size, seed=1, is_down=False):
        self.network = FakeNetwork(seed)
        self.store = FakeStore(self.network)
        self.store.is_down = is_down
        self.write(rate=1.0)
        self.mark(BackendState.SERVING)
        self.vms = [build_vm(number) for number in range(size)]
        for vm in self.vms:
            self.add(vm)

    @property
    def nodes(self):
        return list(self.network.nodes.values())

    def add(self, vm):
        node = SyncNode(vm, self.network.rng.random())
        self.network.add(node)
        now = self.network.now
        listings = [list_vm(v) for v in self.vms]
        name = vm.incarnation
        self.network.perform(name, node.membership.seed(now, listings))
        self.network.perform(name, node.sync.start(now))
        return node

    def write(self, rate):
        contract = build_contract(rate=rate)
        change = ChangeId(str(rate))
        current = self.store.values.get(PATH)
        value = encode_contract_change(current, contract, change, "ann", 1.0)
        return self.store.write(PATH, value)

    def mark(self, state):
        backend = build_backend(state=state)
        current = self.store.values.get(SERVER_PATH)
        value = encode_backend_change(current, backend, ChangeId("c"), "ann", 1.0)
        return self.store.write(SERVER_PATH, value)

    def publish(self, stored):
        node = self.network.rng.choice(self.nodes)
        actions = node.sync.publish(self.network.now, stored)
        self.network.perform(node.vm.incarnation, actions)

    def has_rate(self, rate):
        records = [node.contracts.get("treipuu") for node in self.nodes]
        return all(r and r.contract.limits.requests_per_second == rate for r in records)

    def has_state(self, state):
        records = [node.backends.get("engine1") for node in self.nodes]
        return all(r and r.backend.state is state for r in records)

    def is_ready(self):
        return all(node.sync.ready for node in self.nodes)

    def settle(self):
        self.network.run_until(self.is_ready, 8)
        self.network.run(5)
        assert self.has_rate(1.0)


@pytest.mark.parametrize("size", [3, 9, 60])
def test_change_is_in_force_everywhere_in_time(size):
    fleet = Fleet(size)
    fleet.settle()
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 3)


@pytest.mark.parametrize("seed", range(4))
def test_change_survives_message_and_answer_loss(seed):
    fleet = Fleet(9, seed)
    fleet.settle()
    fleet.network.loss = 0.2
    fleet.network.duplication = 0.2
    fleet.network.run(5)
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 5)


@pytest.mark.parametrize("seed", range(4))
def test_change_arrives_when_all_watchers_die_at_its_write(seed):
    fleet = Fleet(9, seed)
    fleet.settle()
    watchers = [n.vm.incarnation for n in fleet.nodes if n.sync.is_watcher]
    assert len(watchers) == 3
    for name in watchers:
        fleet.network.kill(name)
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 5)


def test_change_arrives_when_a_watcher_is_cut_off_from_its_peers():
    fleet = Fleet(9)
    fleet.settle()
    watcher = next(n.vm.incarnation for n in fleet.nodes if n.sync.is_watcher)
    fleet.network.groups[watcher] = 1
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 5)


@pytest.mark.parametrize("seed", range(4))
def test_lost_watch_answers_are_repaired_in_time(seed):
    fleet = Fleet(9, seed)
    fleet.settle()
    fleet.store.loss = 0.3
    fleet.network.run(30)
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 5)


def test_slow_store_does_not_stop_changes():
    fleet = Fleet(9)
    fleet.settle()
    fleet.store.delay = 0.8
    fleet.network.run(20)
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 5)


@pytest.mark.parametrize("seed", range(4))
def test_leaving_mark_arrives_although_the_store_goes_down_at_once(seed):
    fleet = Fleet(9, seed)
    fleet.settle()
    fleet.network.loss = 0.1
    fleet.store.stop()
    fleet.publish(fleet.mark(BackendState.LEAVING))
    fleet.network.run_until(lambda: fleet.has_state(BackendState.LEAVING), 3)


def test_leaving_mark_reaches_sixty_nodes_in_an_outage():
    fleet = Fleet(60)
    fleet.settle()
    fleet.store.stop()
    fleet.publish(fleet.mark(BackendState.LEAVING))
    fleet.network.run_until(lambda: fleet.has_state(BackendState.LEAVING), 3)


def test_node_that_starts_in_an_outage_takes_all_from_its_peers():
    fleet = Fleet(9)
    fleet.settle()
    fleet.store.stop()
    node = fleet.add(build_vm(50))
    assert not node.sync.ready
    fleet.network.run_until(lambda: node.sync.ready, 5)
    assert fleet.has_rate(1.0)
    assert node.backends.get("engine1") is not None


def test_fleet_that_starts_in_an_outage_is_ready_only_after_it():
    fleet = Fleet(9, is_down=True)
    fleet.network.run(20)
    assert not any(node.sync.ready for node in fleet.nodes)
    fleet.store.is_down = False
    fleet.network.run_until(fleet.is_ready, 5)
    assert fleet.has_rate(1.0)


def test_change_in_an_outage_is_in_force_soon_after_it():
    fleet = Fleet(9)
    fleet.settle()
    fleet.store.stop()
    fleet.network.run(60)
    fleet.store.is_down = False
    fleet.write(2.0)
    fleet.network.run_until(lambda: fleet.has_rate(2.0), 5)


def test_node_paused_over_a_change_never_reverts_others():
    fleet = Fleet(9)
    fleet.settle()
    name = fleet.vms[4].incarnation
    fleet.network.paused.add(name)
    fleet.write(2.0)
    fleet.network.run(10)
    fleet.network.paused.clear()
    for _ in range(100):
        fleet.network.run(0.05)
        nodes = [n for n in fleet.nodes if n.vm.incarnation != name]
        rates = {n.contracts.get("treipuu").contract.limits for n in nodes}
        assert {limits.requests_per_second for limits in rates} == {2.0}
    assert fleet.has_rate(2.0)


def test_unreadable_value_does_not_keep_nodes_talking():
    fleet = Fleet(9)
    fleet.settle()
    fleet.store.write(PATH, b"not a record")
    fleet.network.run(5)
    pushes = []
    fleet.network.on_send = lambda _, m: pushes.append(isinstance(m, BookPush))
    fleet.network.run(5)
    assert not any(pushes)
    assert fleet.has_rate(1.0)
    assert sum(node.contracts.rejected_count for node in fleet.nodes) == 3


def test_store_calls_do_not_grow_with_the_fleet():
    calls = {}
    for size in (9, 30):
        fleet = Fleet(size)
        fleet.settle()
        before = fleet.store.calls
        fleet.network.run(60)
        calls[size] = fleet.store.calls - before
    assert calls[9] <= 160
    assert calls[30] <= 160


def test_cut_off_node_knows_that_it_hears_nobody():
    fleet = Fleet(9)
    fleet.settle()
    node = next(n for n in fleet.nodes if not n.sync.is_watcher)
    fleet.network.groups[node.vm.incarnation] = 1
    fleet.store.stop()
    fleet.network.run(8)
    for other in fleet.nodes:
        silence = other.sync.measure_silence(fleet.network.now)
        assert silence > 7 if other is node else silence < 4


def test_most_of_sixty_nodes_learn_by_pushes_before_any_digest_round():
    fleet = Fleet(60)
    fleet.settle()
    fleet.write(2.0)
    fleet.network.run(0.15)
    records = [node.contracts.get("treipuu") for node in fleet.nodes]
    rates = [record.contract.limits.requests_per_second for record in records]
    assert rates.count(2.0) > 45


def test_node_asks_for_what_is_newer_at_its_peer():
    fleet = Fleet(3)
    fleet.settle()
    node = fleet.nodes[0]
    message = BookRevisions("contracts/", tuple(range(16)), {PATH: 99})
    answers = node.sync.receive(fleet.network.now, fleet.vms[1].incarnation, message)
    assert [answer.message for answer in answers] == [BookPull((PATH,))]
