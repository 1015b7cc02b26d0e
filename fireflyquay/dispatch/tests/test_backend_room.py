"""Tests of the room for tokens in the memory of backend servers."""

import random
from dataclasses import replace

from msgspec.structs import replace as replace_struct

from fireflyquay.dispatch import BackendPause, Freshness, Grant, Refusal, RunEnded
from fireflyquay.dispatch._backend_load import BackendLoad
from fireflyquay.dispatch._backend_room import EVIDENCE_SECONDS, BackendRoom
from fireflyquay.world import Code, EngineSpec, Service

from .builders import (
    OWN_VM,
    SERVICE,
    make_backend_entry,
    make_config,
    make_coordinator,
    make_request,
)

MEMORY_TOKENS = 10_000
SLOTS = 8
LARGE_TOKENS = 9_000


def make_roomy_coordinator(names=("s1",)):
    coordinator = make_coordinator()
    spec = EngineSpec(SLOTS, MEMORY_TOKENS, 10)
    config = replace(make_config(2), services={SERVICE: Service(SERVICE, 100, spec)})
    coordinator._config.apply_config(config, Freshness(2, 0.0))
    coordinator.set_backends([make_backend_entry(name, slots=SLOTS) for name in names])
    return coordinator


def make_sized_request(number, tokens, **overrides):
    fields = {"seconds_to_objective": 30.0, "seconds_to_give_up": 60.0}
    fields |= {"seconds_to_deadline": 120.0, "max_gap": 0.0, **overrides}
    return make_request(number, prompt_tokens=tokens - 50, output_tokens=50, **fields)


def list_granted(decisions):
    return [it.number for it in decisions if isinstance(it, Grant)]


def end_run(coordinator, number, now, backend="s1", failed=False):
    ended = RunEnded(number, backend, 5, 0.0, failed)
    return coordinator.handle_message(OWN_VM, ended, now)


def test_no_grant_exceeds_the_memory_of_an_engine():
    """Guards against engines that crash since they hold more than their memory."""
    rng, coordinator = random.Random(1), make_roomy_coordinator(("s1", "s2"))
    sizes, running, most = {}, {}, 0
    for step in range(2000):
        now = step * 0.01
        decisions = coordinator.advance(now)
        for number in [it for it in running if rng.random() < 0.02]:
            decisions += end_run(coordinator, number, now, running.pop(number))
        sizes[step] = rng.choice((200, 1000, 4000, LARGE_TOKENS))
        request = make_sized_request(step, sizes[step])
        decisions += coordinator.submit(request, now)
        for it in decisions:
            if isinstance(it, Grant):
                running[it.number] = it.backend
        for backend in ("s1", "s2"):
            held = sum(sizes[n] for n, it in running.items() if it == backend)
            most = max(most, held)
    assert LARGE_TOKENS <= most <= MEMORY_TOKENS


def test_large_request_is_not_starved_by_small_ones():
    """Guards against small requests that use up all room before a large one fits."""
    coordinator = make_roomy_coordinator()
    for number in range(4):
        assert list_granted(coordinator.submit(make_sized_request(number, 2000), 0.0))
    assert not coordinator.submit(make_sized_request(10, LARGE_TOKENS), 0.1)
    assert not coordinator.submit(make_sized_request(11, 2000), 0.2)
    granted = []
    for number in range(4):
        granted += list_granted(end_run(coordinator, number, 1.0 + number))
    assert granted == [10]
    assert list_granted(end_run(coordinator, 10, 6.0)) == [11]


def test_request_beyond_the_memory_of_every_engine_is_refused_at_once():
    """Guards against requests that wait or are repeated although nothing holds them."""
    coordinator = make_roomy_coordinator()
    [refusal] = coordinator.submit(make_sized_request(1, MEMORY_TOKENS + 1), 0.0)
    assert isinstance(refusal, Refusal)
    assert refusal.exceeds_room
    assert refusal.retry_after is None
    # Builds before this code can read the one that is sent.
    assert refusal.code is Code.OVERLOADED
    assert list_granted(coordinator.submit(make_sized_request(2, MEMORY_TOKENS), 0.0))


def test_coordinator_of_a_part_of_the_fleet_grants_its_share_of_the_memory():
    """Guards against VMs that fill the same engine without knowing of each other."""
    coordinator = make_roomy_coordinator()
    coordinator.set_share(0.5)
    assert list_granted(coordinator.submit(make_sized_request(1, 3000), 0.0))
    assert not coordinator.submit(make_sized_request(2, 3000), 0.0)
    assert list_granted(coordinator.submit(make_sized_request(3, 1000), 0.0)) == []
    assert list_granted(end_run(coordinator, 1, 1.0)) == [2, 3]


def test_service_without_stated_memory_is_not_bounded():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=SLOTS)])
    assert list_granted(coordinator.submit(make_sized_request(1, 100_000), 0.0))


def make_loaded(name, tokens, born_ms=1):
    load = BackendLoad(make_backend_entry(name, slots=SLOTS, born_ms=born_ms))
    request = make_sized_request(1, tokens)
    load.add_run((OWN_VM, 1), replace_struct(request, owner=OWN_VM), 0.0)
    return load


def make_room(proven_tokens):
    room = BackendRoom()
    room.stated_tokens = MEMORY_TOKENS
    room.record_success(proven_tokens)
    return room


def test_room_is_learned_from_crashes_beside_more_than_was_held_well():
    """Guards against engines that crash below the memory that is stated."""
    room = make_room(5000)
    room.record_crash(make_loaded("s1", 8000), 1.0)
    assert room.get_limit(1.0) == MEMORY_TOKENS
    room.record_crash(make_loaded("s1", 8000), 1.1)
    assert room.get_limit(1.1) == MEMORY_TOKENS
    room.record_crash(make_loaded("s2", 7000), 2.0)
    assert room.get_limit(2.0) == 5000
    room.record_success(6000)
    assert room.get_limit(2.0) == 6000
    assert room.get_limit(3.0 + EVIDENCE_SECONDS) == MEMORY_TOKENS


def test_crashes_beside_what_was_held_well_change_nothing():
    """Guards against a fleet that shrinks since machines are killed."""
    room = make_room(8000)
    for number in range(9):
        room.record_crash(make_loaded(f"s{number}", 8000), 1.0)
    assert room.get_limit(1.0) == MEMORY_TOKENS


def test_crashes_of_loaded_engines_reduce_what_is_granted():
    """Guards against the same crash again when the engines are back."""
    coordinator = make_roomy_coordinator(("s1", "s2"))
    for number in range(2):
        assert list_granted(coordinator.submit(make_sized_request(number, 9000), 0.0))
    for number, name in enumerate(("s1", "s2")):
        end_run(coordinator, number, 1.0, name, failed=True)
        pause = BackendPause(name, 0.0, may_restart=True)
        coordinator.handle_message(OWN_VM, pause, 1.1)
    # One run on an idle server is allowed.
    for number in (5, 6):
        assert list_granted(coordinator.submit(make_sized_request(number, 4000), 2.0))
    assert not coordinator.submit(make_sized_request(7, 4000), 2.0)


def test_crashes_of_lightly_loaded_engines_change_nothing():
    """Guards against a fleet without capacity after the loss of idle machines."""
    room = make_room(0)
    for number in range(9):
        room.record_crash(make_loaded(f"s{number}", 500), 1.0)
    assert room.get_limit(1.0) == MEMORY_TOKENS
