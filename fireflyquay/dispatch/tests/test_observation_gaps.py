"""Tests of what VMs take for an outage of the store, and for how long."""

import random

import pytest

from fireflyquay.dispatch import BackendRegistry, ConfigReplica, Freshness, ReplicaSync
from fireflyquay.dispatch._backend_registry import REREGISTRATION_SECONDS
from fireflyquay.dispatch._control_message import (
    BackendsResponse,
    Probe,
    ProbeResponse,
)

from .builders import OTHER_VM, OWN_VM, make_backend_entry, make_vm
from .registry_fleet import READ_SECONDS, STEP_SECONDS, RegistryFleet

# Seconds after which a backend server that has left gets no requests, and after which
# a VM or the store is bound again after a disruption.
DRAIN_SECONDS, CONTACT_SECONDS = 2.0, 3.0
FREEZE_SECONDS = 3.5
OUTAGE_SECONDS = 3.2
# Seconds from the store's return until what lapsed meanwhile is registered again.
BACK_SECONDS = 1.5
LIVE = ("s1", "s2", "s3")


# Guards against review/6 (DRAIN): a suspended coordinator spreads what it knew before.
@pytest.mark.parametrize("leave_after", [0.05, 0.5, 1.0, 1.5, 2.5, 3.45])
@pytest.mark.parametrize("suspended", [(0,), (0, 1), (0, 1, 2), (0, 3), (2,)])
def test_backend_that_left_during_a_suspension_stays_gone_elsewhere(
    suspended, leave_after
):
    fleet = RegistryFleet(4, LIVE)
    fleet.suspend(*suspended)
    fleet.run(leave_after)
    fleet.store.remove("s1")
    left_at = fleet.now
    fleet.run(FREEZE_SECONDS - leave_after)
    fleet.resume(*suspended)
    calm = [vm for n, vm in enumerate(fleet.vms) if n not in suspended]
    while fleet.now < left_at + 6.0:
        fleet.step()
        if fleet.now > left_at + DRAIN_SECONDS:
            assert not any(vm.accepts("s1") for vm in calm)
    assert not any(vm.accepts("s1") for vm in fleet.vms)
    assert all(vm.accepts(name) for vm in fleet.vms for name in LIVE[1:])


def test_suspended_coordinator_soon_learns_that_the_store_was_up():
    fleet = RegistryFleet(4, LIVE)
    fleet.suspend(0)
    fleet.run(1.5)
    fleet.store.remove("s1")
    fleet.run(2.0)
    fleet.resume(0)
    fleet.run(0.5)
    assert not any(vm.accepts("s1") for vm in fleet.vms)


def test_repeated_suspensions_bring_no_backend_back():
    fleet = RegistryFleet(4, LIVE)
    for number in (0, 1, 0, 2):
        fleet.suspend(number)
        fleet.run(1.0)
        fleet.store.remove("s1")
        left_at = fleet.now
        fleet.run(2.5)
        fleet.resume(number)
        while fleet.now < left_at + 5.0:
            fleet.step()
            if fleet.now > left_at + DRAIN_SECONDS:
                calm = [it for it in fleet.vms if it is not fleet.vms[number]]
                assert not any(vm.accepts("s1") for vm in calm)
        fleet.store.put("s1")
        fleet.run(1.0)


def test_suspensions_of_a_follower_do_not_renew_its_grace():
    fleet = RegistryFleet(3, LIVE)
    fleet.suspend(2)
    fleet.run(1.0)
    fleet.store.remove("s1")
    fleet.run(2.0)
    for _ in range(6):
        fleet.resume(2)
        # The VM probes its coordinator once meanwhile.
        fleet.run(0.4)
        assert not fleet.vms[2].accepts("s1")
        fleet.suspend(2)
        fleet.run(2.7)


# Each suspends a VM and resumes it some seconds after the beginning of the outage.
SUSPENSIONS_IN_OUTAGES = {
    "none": (),
    "coordinator, until before the return": ((0, 0.5, 2.5),),
    "coordinator, until the return": ((0, -0.5, 3.2),),
    "coordinator, until after the return": ((0, 0.5, 4.0),),
    "coordinator, until all are back": ((0, 2.0, 5.2),),
    "coordinator, from the return": ((0, 3.2, 6.0),),
    "two coordinators in turn": ((0, 0.1, 3.3), (1, 3.25, 6.5)),
    "all but one": ((0, 0.2, 3.6), (1, 0.2, 3.8), (2, 0.2, 4.0)),
    "all": ((0, -1.0, 3.4), (1, 0.2, 3.6), (2, 0.2, 3.5), (3, 0.0, 4.0)),
}


@pytest.mark.parametrize("case", SUSPENSIONS_IN_OUTAGES)
def test_backends_that_lapsed_in_an_outage_are_kept_until_they_are_back(case):
    suspensions = SUSPENSIONS_IN_OUTAGES[case]
    fleet = RegistryFleet(4, (*LIVE, "lost"))
    begin = fleet.now + 1.0
    up_at = begin + OUTAGE_SECONDS
    while fleet.now < up_at + 6.0:
        for number, since, until in suspensions:
            is_suspended = begin + since <= fleet.now < begin + until
            if is_suspended != (fleet.vms[number].suspended_at is not None):
                change = fleet.suspend if is_suspended else fleet.resume
                change(number)
        is_up = not begin <= fleet.now < up_at
        if is_up != fleet.store.is_up:
            fleet.store.is_up = is_up
            for name in () if is_up else (*LIVE, "lost"):
                fleet.store.remove(name)
        if fleet.now >= up_at + BACK_SECONDS and "s1" not in fleet.store.entries:
            for name in LIVE:
                fleet.store.put(name)
        fleet.step()
        running = [it for it in fleet.vms if it.suspended_at is None]
        assert all(vm.accepts(name) for vm in running for name in LIVE)
    assert not any(vm.accepts("lost") for vm in fleet.vms)


def test_vm_that_starts_after_an_outage_keeps_what_its_coordinator_keeps():
    fleet = RegistryFleet(3, LIVE)
    fleet.store.is_up = False
    fleet.run(OUTAGE_SECONDS)
    fleet.store.remove("s1")
    fleet.store.is_up = True
    # The coordinator learns of the return by its next read.
    kept_until = fleet.now + READ_SECONDS + REREGISTRATION_SECONDS
    fleet.run(READ_SECONDS)
    registry = BackendRegistry()
    started = ReplicaSync(make_vm(OWN_VM), ConfigReplica(), registry)
    exchange(started, fleet.vms[0].sync, fleet.now)
    assert registry.accepts_requests("s1")
    assert fleet.now + registry.compute_recovery_seconds(fleet.now) <= kept_until


def test_statement_from_before_a_suspension_proves_nothing():
    asking, witness = make_replica_sync(10.0), make_replica_sync(10.0)
    # The response waits at the VM that is suspended, while the store goes down.
    [response], _ = witness.handle_message(OWN_VM, asking.make_probe(True, 10.1), 10.2)
    read(asking, [], 14.0)
    assert asking.backends.accepts_requests("s1")
    asking.handle_message(OTHER_VM, response, 14.1)
    assert asking.backends.accepts_requests("s1")


@pytest.mark.parametrize("uptime", [None, float("nan"), -5.0, 0.0, 1.0])
def test_statement_of_no_long_uptime_proves_nothing(uptime):
    asking = make_replica_sync(10.0)
    read(asking, [], 14.0)
    number = asking.make_probe(True, 14.1).number
    response = ProbeResponse(number, 0, 0, 0.0, 0, 9, 0.1, (), store_uptime=uptime)
    asking.handle_message(OTHER_VM, response, 14.2)
    assert asking.backends.accepts_requests("s1")


def test_build_that_states_no_uptime_brings_no_backend_back():
    observing = make_replica_sync(10.0)
    for at in (10.5, 11.0, 11.5, 12.0, 12.5, 13.0):
        read(observing, [], at)
    number = observing.make_probe(True, 13.1).number
    [request], _ = observing.handle_message(
        OTHER_VM, ProbeResponse(number, 0, 0, 0.0, 1, 9, 0.0, ()), 13.2
    )
    copy = BackendsResponse(request.number, (make_backend_entry("s1"),), 9, 0.0, 1.9)
    assert not observing.handle_message(OTHER_VM, copy, 13.3)[1]
    assert not observing.backends.accepts_requests("s1")
    # Nothing is confirmed by it, so that this VM reads the store itself.
    assert observing.backends.freshness.confirmed_at == 13.0


def test_restore_that_another_vm_states_lets_entries_be_missing():
    receiver, responder = make_replica_sync(10.0), make_replica_sync(10.0)
    restored = 1 << 40
    assert responder.backends.detect_restore(restored, 10.5)
    responder.backends.replace_all([], Freshness(restored + 1, 10.5))
    exchange(receiver, responder, 10.6)
    assert receiver.backends.accepts_requests("s1")
    read(receiver, [], 10.6 + REREGISTRATION_SECONDS, restored + 1)
    assert not receiver.backends.accepts_requests("s1")


def test_vm_that_has_not_learned_of_a_restore_ends_no_grace():
    asking, witness = make_replica_sync(10.0), make_replica_sync(10.0)
    restored = 1 << 40
    for at in (12.0, 14.0, 15.9):
        read(witness, [make_backend_entry("s1")], at)
        read(asking, [make_backend_entry("s1")], at)
    assert asking.backends.detect_restore(restored, 16.0)
    read(asking, [], 16.0, restored + 1)
    exchange(asking, witness, 16.1)
    assert asking.backends.accepts_requests("s1")
    read(asking, [], 16.0 + REREGISTRATION_SECONDS, restored + 1)
    assert not asking.backends.accepts_requests("s1")


@pytest.mark.parametrize("seed", range(40))
def test_drawn_suspensions_and_outages_neither_revive_nor_give_up_backends(seed):
    rng = random.Random(seed)
    fleet = RegistryFleet(rng.randint(2, 5), (*LIVE, "leaving"), seed)
    left_at: float | None = None
    down_until = back_at = unstable_until = 0.0
    wakes: dict[int, float] = {}
    for _ in range(round(60.0 / STEP_SECONDS)):
        now = fleet.now
        for number in [it for it, at in wakes.items() if now >= at]:
            fleet.resume(number)
            del wakes[number]
        if rng.random() < 0.01:
            number = 0 if rng.random() < 0.5 else rng.randrange(len(fleet.vms))
            if number not in wakes:
                wakes[number] = now + rng.uniform(0.5, 4.0)
                fleet.suspend(number)
        store = fleet.store
        if store.is_up and now > unstable_until and rng.random() < 0.005:
            store.is_up = False
            down_until = now + rng.uniform(2.6, 6.0)
            unstable_until = down_until + CONTACT_SECONDS
            lapsing = [it for it in LIVE if rng.random() < 0.7]
            for name in lapsing:
                store.remove(name)
        if not store.is_up and now >= down_until:
            store.is_up = True
            back_at = now + rng.uniform(0.1, BACK_SECONDS)
        if store.is_up and now >= back_at:
            for name in set(LIVE) - store.entries.keys():
                store.put(name)
        if now > unstable_until and rng.random() < 0.02:
            if left_at is None:
                store.remove("leaving")
                left_at = now
            elif now > left_at + 4.0:
                store.put("leaving")
                left_at = None
        fleet.step()
        for vm in fleet.vms:
            if vm.suspended_at is not None:
                continue
            # None of them has left.
            assert all(vm.accepts(name) for name in LIVE)
            is_bound = fleet.now > max(
                vm.last_suspended_at + CONTACT_SECONDS, unstable_until
            )
            if left_at is not None and fleet.now > left_at + DRAIN_SECONDS and is_bound:
                assert not vm.accepts("leaving")


def make_replica_sync(confirmed_at: float) -> ReplicaSync:
    sync = ReplicaSync(make_vm(OWN_VM), ConfigReplica(), BackendRegistry())
    # For assertions.
    sync.backends = sync._backends
    read(sync, [make_backend_entry("s1")], confirmed_at)
    return sync


def read(sync, entries, now: float, revision: int = 9) -> None:
    sync.backends.detect_outage(now, now)
    sync.backends.replace_all(entries, Freshness(revision, now))


def exchange(receiver: ReplicaSync, responder: ReplicaSync, now: float) -> bool:
    """Synchronize one VM from another; return whether its state changed."""
    requests: list = [receiver.make_probe(True, now)]
    has_changed = False
    while requests:
        request = requests.pop()
        responses, _ = responder.handle_message(OWN_VM, request, now)
        for response in responses:
            more, changed = receiver.handle_message(OTHER_VM, response, now)
            requests += [it for it in more if not isinstance(it, Probe)]
            has_changed = has_changed or changed
    return has_changed
