"""Tests of the change of coordinators as one VM sees it."""

import asyncio

from fireflyquay.dispatch import Cancellation, Detach, Grant, Handover, Refusal
from fireflyquay.dispatch.tests.builders import (
    ACCOUNT,
    OTHER_VM,
    OWN_VM,
    make_account,
    make_backend_entry,
    make_coordinator,
    make_request,
    make_vm,
)
from fireflyquay.gateway._slot_client import Peers, SlotClient
from fireflyquay.world import AttemptId, BackendServerId


class FakePeers(Peers):
    """Choose the coordinator that a test sets, and record what is sent."""

    def __init__(self):
        self.coordinator = OTHER_VM
        self.sent = []

    def choose_coordinator(self):
        return self.coordinator

    def get_own_vm(self):
        return make_vm()

    def send(self, target, message):
        self.sent.append((target, message))

    def list_others(self):
        return [OTHER_VM]

    def mark_unresponsive(self, target):
        self.coordinator = OWN_VM


def run_with_client(scenario):
    async def run():
        # A burst of 5,000 tokens, refilled by 100 a second.
        coordinator = make_coordinator(make_account(rate=100.0, burst=5000.0))
        coordinator.set_backends([make_backend_entry("e1", slots=50)])
        client = SlotClient(OWN_VM, coordinator)
        peers = FakePeers()
        client.connect(peers)
        await scenario(client, coordinator, peers)

    asyncio.run(run())


async def acquire_from_other(client, number):
    """Acquire a slot that the other VM grants."""
    task = asyncio.ensure_future(client.acquire(make_request(number)))
    await asyncio.sleep(0)
    grant = Grant(OWN_VM, number, "e1", 0.0, 0.0)
    client.handle_message_to_follower(OTHER_VM, grant)
    assert isinstance(await task, Grant)


def test_vm_that_takes_over_counts_what_others_granted_it():
    async def scenario(client, coordinator, peers):
        # Each request has 1,050 tokens.
        for number in range(3):
            await acquire_from_other(client, number)
        peers.coordinator = OWN_VM
        decisions = [await client.acquire(make_request(n)) for n in (10, 11)]
        assert [isinstance(it, Refusal) for it in decisions] == [False, True]

    run_with_client(scenario)


def test_vm_that_coordinates_again_does_not_count_its_own_grants_twice():
    async def scenario(client, coordinator, peers):
        peers.coordinator = OWN_VM
        for number in (1, 2):
            assert isinstance(await client.acquire(make_request(number)), Grant)
        peers.coordinator = OTHER_VM
        await acquire_from_other(client, 3)
        [handover] = [it for _, it in peers.sent if isinstance(it, Handover)]
        assert handover.usage == ((ACCOUNT, 2, 2100.0),)
        peers.coordinator = OWN_VM
        assert isinstance(await client.acquire(make_request(4)), Grant)

    run_with_client(scenario)


def test_grant_that_comes_after_a_change_of_coordinators_is_charged_once():
    # Both coordinators charged it, and the account was refused within its quota.
    async def scenario(client, coordinator, peers):
        account = make_account(100.0, 5000.0)
        request, other = make_request(1), make_coordinator(account, own=OTHER_VM)
        other.set_backends([make_backend_entry("e1", slots=50)])
        task = asyncio.ensure_future(client.acquire(request))
        await asyncio.sleep(0)
        now = asyncio.get_running_loop().time()
        [late] = other.handle_message(OWN_VM, request, now)
        peers.coordinator = OWN_VM
        client._follow_coordinator(now)
        assert isinstance(await task, Grant)
        peers.sent.clear()
        client.handle_message_to_follower(OTHER_VM, late)
        [(target, cancellation)] = peers.sent
        assert target == OTHER_VM
        other.handle_message(OWN_VM, Detach(), now)
        other.handle_message(OWN_VM, cancellation, now)
        # The other VM tells the coordinator what is left.
        coordinator.limits.adopt_ledger(other.limits.make_ledger(now), now)
        decisions = [await client.acquire(make_request(n)) for n in (2, 3, 4, 5)]
        assert [isinstance(it, Refusal) for it in decisions] == [False] * 3 + [True]

    run_with_client(scenario)


def test_late_grant_that_a_request_was_charged_for_is_not_refunded():
    # The request asks for another slot, which it is not charged for.
    coordinator = make_coordinator(make_account(10.0, 5000.0))
    coordinator.set_backends([make_backend_entry("e1", slots=50)])
    for number in range(4):
        coordinator.handle_message(OTHER_VM, make_request(number), 0.0)
        coordinator.handle_message(OTHER_VM, Cancellation(number), 0.0)
    [refusal] = coordinator.handle_message(OTHER_VM, make_request(5), 0.0)
    assert isinstance(refusal, Refusal)
    # Too late to be refunded.
    coordinator.handle_message(OTHER_VM, Cancellation(3, True), 3.0)
    [refusal] = coordinator.handle_message(OTHER_VM, make_request(6), 3.0)
    assert isinstance(refusal, Refusal)


def test_next_coordinator_continues_no_stream_at_a_server_that_may_have_restarted():
    # A process of another version may answer there until its registration follows.
    async def scenario(client, coordinator, peers):
        peers.coordinator = OWN_VM
        await client.acquire(make_request(1))
        client.pause(BackendServerId("e1"), 0.0, True)
        peers.coordinator = OTHER_VM
        now = asyncio.get_running_loop().time()
        client._follow_coordinator(now)
        [handover] = [it for _, it in peers.sent if isinstance(it, Handover)]
        successor = make_coordinator(own=OTHER_VM)
        successor.set_backends([make_backend_entry("e1", slots=50)])
        successor.handle_message(OWN_VM, handover, now)
        version = make_backend_entry("e1").version
        request = make_request(2, stream=AttemptId("stream"), version=version)
        assert not successor.submit(request, now)
        assert successor.submit(make_request(3), now)

    run_with_client(scenario)
