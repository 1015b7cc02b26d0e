"""Tests of streams that may continue at one software version only."""

import random
from dataclasses import replace

import pytest

from fireflyquay.dispatch import (
    BackendPause,
    BackendRegistry,
    Freshness,
    Grant,
    Handover,
    OriginResponse,
    Refusal,
    SlotScheduler,
    SlotSchedulerSettings,
    StreamOrigin,
    StreamOrigins,
)
from fireflyquay.world import AttemptId, BackendServerId, Code, SoftwareVersion

from .builders import (
    OTHER_VM,
    OWN_VM,
    SERVICE,
    make_backend_entry,
    make_coordinator,
    make_request,
    make_vm,
)

OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v2")
STREAM = AttemptId("stream")
LIFETIME = 30.0


def make_server(name, version, slots=1, **options):
    return replace(make_backend_entry(name, slots, **options), version=version)


def make_scheduler(*entries):
    scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1))
    scheduler.set_backends(entries)
    return scheduler


def resume(number, version=OLD, **overrides):
    fields = {"seconds_to_objective": 100.0, **overrides}
    return make_request(number, stream=STREAM, version=version, **fields)


def test_stream_waits_for_its_version_and_blocks_no_other():
    scheduler = make_scheduler(make_server("e1", OLD), make_server("e2", NEW, slots=9))
    [grant] = scheduler.submit(resume(1), 0.0)
    assert grant.backend == "e1"
    for number in range(2, 8):
        assert not scheduler.submit(resume(number), 0.0)
    decisions = [
        it for n in range(10, 15) for it in scheduler.submit(make_request(n), 0.0)
    ]
    assert [it.backend for it in decisions] == ["e2"] * 5


def test_stream_that_continues_waits_where_a_new_request_is_refused():
    scheduler = make_scheduler(make_server("e1", OLD))
    for number in range(6):
        scheduler.submit(make_request(number), 0.0)
    [refusal] = scheduler.submit(make_request(10), 0.0)
    assert refusal.code is Code.OVERLOADED
    assert not scheduler.submit(resume(11, seconds_to_objective=0.1), 0.0)


def test_stream_is_refused_when_its_version_leaves_while_it_waits():
    old, new = make_server("e1", OLD), make_server("e2", NEW)
    scheduler = make_scheduler(old, new)
    scheduler.submit(resume(1), 0.0)
    scheduler.submit(resume(2), 0.0)
    scheduler.set_backends([new])
    [refusal] = scheduler.advance(0.02)
    assert isinstance(refusal, Refusal)
    assert (refusal.number, refusal.code) == (2, Code.STREAM_VERSION_GONE)
    assert refusal.retry_after is None


def test_stream_does_not_return_to_the_server_that_broke_it_off():
    scheduler = make_scheduler(make_server("e1", OLD), make_server("e2", NEW))
    request = resume(1, excluded=(BackendServerId("e1"),))
    [refusal] = scheduler.submit(request, 0.0)
    assert refusal.code is Code.STREAM_VERSION_GONE


def test_stream_does_not_continue_at_a_server_that_may_have_restarted():
    coordinator = make_coordinator()
    coordinator.set_backends([make_server("e1", OLD)])
    pause = BackendPause(BackendServerId("e1"), 0.5, True)
    coordinator.handle_message(OTHER_VM, pause, 10.0)
    assert not coordinator.submit(resume(1), 11.0)
    coordinator.set_backends([make_server("e1", OLD, born_ms=2)])
    [grant] = coordinator.advance(11.1)
    assert isinstance(grant, Grant)


def test_origin_follows_an_attempt_that_began_anew_before_its_first_event():
    coordinator = make_coordinator()
    coordinator.set_backends([make_server("e1", OLD), make_server("e2", NEW)])
    for number, excluded in ((1, ("e2",)), (2, ("e1",))):
        request = make_request(number, stream=STREAM, excluded=excluded)
        coordinator.submit(request, float(number))
    assert coordinator.origins.find(STREAM) == StreamOrigin(SERVICE, NEW)


def test_report_of_an_earlier_run_does_not_replace_an_origin():
    scheduler = make_scheduler(make_server("e1", OLD), make_server("e2", NEW))
    for backend, granted_at in (("e2", 2.0), ("e1", 1.0)):
        request = make_request(1, OTHER_VM, stream=STREAM)
        scheduler.register_run(BackendServerId(backend), request, granted_at)
    assert scheduler.origins.find(STREAM) == StreamOrigin(SERVICE, NEW)


def test_handover_reports_origins_to_the_next_coordinator():
    coordinator = make_coordinator()
    news = OriginResponse(STREAM, SERVICE, OLD)
    handover = Handover(make_vm(OTHER_VM), (), (), (), (news,))
    coordinator.handle_message(OTHER_VM, handover, 10.0)
    assert coordinator.origins.find(STREAM) == StreamOrigin(SERVICE, OLD)


def test_origins_are_forgotten_after_their_lifetime():
    origins = StreamOrigins()
    origins.lifetime = LIFETIME
    origins.record(AttemptId("a"), StreamOrigin(SERVICE, OLD), 0.0, OWN_VM)
    origins.record(AttemptId("b"), StreamOrigin(SERVICE, OLD), 20.0)
    origins.expire(31.0)
    assert origins.find(AttemptId("a")) is None
    assert origins.find(AttemptId("b")) is not None
    assert not origins.list_owned(OWN_VM)


def make_registry(*lists):
    """Return a registry that read each list at its time."""
    registry = BackendRegistry()
    for revision, (at, entries) in enumerate(lists, 1):
        registry.replace_all(entries, Freshness(revision, at))
    return registry


@pytest.mark.parametrize(
    ("lists", "expected"),
    [
        ([(0.0, [make_server("e1", OLD)]), (100.0, [make_server("e1", OLD)])], True),
        ([(0.0, [make_server("e1", OLD), make_server("e2", NEW)])], False),
        # The last server of the old version left 20 and 40 seconds ago.
        ([(0.0, [make_server("e1", OLD)]), (80.0, [make_server("e2", NEW)])], False),
        ([(0.0, [make_server("e1", OLD)]), (60.0, [make_server("e2", NEW)])], True),
        # One server registers another version.
        ([(0.0, [make_server("e1", OLD)]), (90.0, [make_server("e1", NEW)])], False),
        ([(0.0, [])], False),
    ],
)
def test_service_had_one_version(lists, expected):
    registry = make_registry(*lists)
    registry.mark_confirmed(Freshness(9, 100.0))
    assert registry.had_one_version(SERVICE, LIFETIME, 100.0, 200_000.0) is expected


def test_outdated_registry_proves_no_single_version():
    registry = make_registry((0.0, [make_server("e1", OLD)]))
    assert not registry.had_one_version(SERVICE, LIFETIME, 100.0, 200_000.0)


def test_new_registry_proves_a_single_version_only_of_old_servers():
    def has_one_version(born_ms):
        registry = make_registry((100.0, [make_server("e1", OLD, born_ms=born_ms)]))
        return registry.had_one_version(SERVICE, LIFETIME, 100.0, 200_000.0)

    assert has_one_version(100_000)
    assert not has_one_version(190_000)
    assert not has_one_version(0)
