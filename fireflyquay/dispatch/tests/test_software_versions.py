"""Tests of streams that may continue at one software version only."""

import random
from dataclasses import replace

import pytest

from fireflyquay.dispatch import (
    BackendPause,
    BackendRegistry,
    Cancellation,
    FirstOutput,
    Freshness,
    Grant,
    Handover,
    OriginArchive,
    OriginResponse,
    Refusal,
    SlotScheduler,
    SlotSchedulerSettings,
    StreamOrigin,
    StreamOrigins,
    VersionReading,
    VersionRecord,
)
from fireflyquay.dispatch._origin_archive import MAX_ARCHIVED_STREAMS
from fireflyquay.world import (
    AttemptId,
    BackendServerId,
    Code,
    ServiceId,
    SoftwareVersion,
)

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
NOW_MS = 200_000.0


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
    output = FirstOutput(2, BackendServerId("e2"))
    coordinator.handle_message(OWN_VM, output, 3.0)
    assert coordinator.origins.find(STREAM) == StreamOrigin(SERVICE, NEW)


def test_grant_that_its_vm_does_not_use_names_no_origin():
    coordinator = make_coordinator()
    coordinator.set_backends([make_server("e1", OLD)])
    coordinator.handle_message(OTHER_VM, make_request(1, OTHER_VM, stream=STREAM), 1.0)
    assert coordinator.origins.find(STREAM) is None
    coordinator.handle_message(OTHER_VM, Cancellation(1), 2.0)
    assert coordinator.origins.find(STREAM) is None


def test_reported_run_names_no_origin():
    scheduler = make_scheduler(make_server("e1", OLD), make_server("e2", NEW))
    early, late = (make_request(n, OTHER_VM, stream=STREAM) for n in (1, 2))
    # The run at e1 may fail before its first event, and the stream begin elsewhere.
    scheduler.register_run(BackendServerId("e1"), early, 1.0)
    assert scheduler.origins.find(STREAM) is None
    scheduler.register_run(BackendServerId("e2"), late, 2.0)
    scheduler.record_first_output((OTHER_VM, 2), BackendServerId("e2"), 2.5)
    scheduler.register_run(BackendServerId("e1"), early, 1.0)
    assert scheduler.origins.find(STREAM) == StreamOrigin(SERVICE, NEW)


def test_origin_is_the_version_that_the_sending_vm_states():
    # This VM has read that the server restarted at another version.
    scheduler = make_scheduler(make_server("e1", NEW))
    request = make_request(1, OTHER_VM, stream=STREAM)
    scheduler.register_run(BackendServerId("e1"), request, 1.0)
    scheduler.record_first_output((OTHER_VM, 1), BackendServerId("e1"), 2.0, OLD)
    assert scheduler.origins.find(STREAM) == StreamOrigin(SERVICE, OLD)


def test_stream_that_continues_keeps_its_origin():
    scheduler = make_scheduler(make_server("e1", NEW))
    request = make_request(1, OTHER_VM, stream=STREAM, version=OLD)
    scheduler.register_run(BackendServerId("e1"), request, 1.0)
    scheduler.record_first_output((OTHER_VM, 1), BackendServerId("e1"), 2.0, NEW)
    assert scheduler.origins.find(STREAM) == StreamOrigin(SERVICE, OLD)


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


def test_only_streams_whose_first_event_was_sent_are_archived():
    coordinator = make_coordinator()
    coordinator.set_backends([make_server("e1", OLD), make_server("e2", NEW)])
    # The first run fails before its first event, so the stream begins anew elsewhere.
    for number, excluded in ((1, ("e2",)), (2, ("e1",))):
        request = make_request(number, stream=STREAM, excluded=excluded)
        coordinator.submit(request, float(number))
        assert not coordinator.origins.list_begun({SERVICE: 0.0})
    output = FirstOutput(2, BackendServerId("e2"))
    coordinator.handle_message(OWN_VM, output, 3.0)
    assert coordinator.origins.list_begun({SERVICE: 0.0}) == [
        (STREAM, StreamOrigin(SERVICE, NEW))
    ]
    assert not coordinator.origins.list_begun({SERVICE: 3.0})
    assert not coordinator.origins.list_begun({ServiceId("other"): 0.0})
    coordinator.origins.expire(3.0 + 2 * coordinator.origins.lifetime)
    assert not coordinator.origins.list_begun({SERVICE: 0.0})


def test_archive_drops_what_no_client_can_resume_and_stays_small():
    def make_origins(first, count=1, version=OLD):
        origin = StreamOrigin(SERVICE, version)
        return [(AttemptId(str(it)), origin) for it in range(first, first + count)]

    archive = OriginArchive().add(make_origins(1), 1_000, 30_000)
    archive = archive.add(make_origins(2) + make_origins(1, 1, NEW), 20_000, 30_000)
    assert dict(archive.iter_origins()) == {
        "1": StreamOrigin(SERVICE, NEW),
        "2": StreamOrigin(SERVICE, OLD),
    }
    archive = archive.add(make_origins(3), 32_000, 30_000)
    assert [it.at_ms for it in archive.batches] == [20_000, 32_000]
    archive = archive.add(make_origins(4, MAX_ARCHIVED_STREAMS - 1), 33_000, 30_000)
    assert [it.at_ms for it in archive.batches] == [32_000, 33_000]


def make_registry(*lists, until=100.0):
    """Return a registry that read each list at its time, and was confirmed between."""
    registry = BackendRegistry()
    for revision, (at, entries) in enumerate(lists, 1):
        if revision > 1:
            confirm(registry, at)
        registry.replace_all(entries, Freshness(revision, at))
    confirm(registry, until)
    return registry


def confirm(registry, until):
    """Confirm a registry each second."""
    at = registry.freshness.confirmed_at
    while at < until:
        at = min(until, at + 1.0)
        registry.mark_confirmed(Freshness(0, at))


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
    assert (
        registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, 200_000.0) is expected
    )


def test_outdated_registry_proves_no_single_version():
    registry = make_registry((0.0, [make_server("e1", OLD)]), until=50.0)
    assert not registry.had_one_version(SERVICE, LIFETIME, 50.0, 100.0, 200_000.0)


def test_version_that_joins_and_leaves_while_the_registry_is_old_is_not_passed_over():
    registry = make_registry((0.0, [make_server("e1", OLD)]), until=77.0)
    registry.mark_confirmed(Freshness(0, 80.0))
    confirm(registry, 100.0)
    assert not registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, 200_000.0)
    confirm(registry, 110.0)
    assert registry.had_one_version(SERVICE, LIFETIME, 110.0, 110.0, 210_000.0)


def test_new_registry_proves_no_single_version_by_the_age_of_its_servers():
    registry = make_registry((100.0, [make_server("e1", OLD, born_ms=1)]))
    assert not registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, NOW_MS)


def make_reading(
    seen_ms, since_ms=1, confirmed_ms=NOW_MS, restores=(0, 0), sent_at=100.0
):
    record = VersionRecord(since_ms, int(confirmed_ms), restores[0], {SERVICE: seen_ms})
    return VersionReading(record, 7, restores[1], sent_at, NOW_MS)


@pytest.mark.parametrize(
    ("reading", "expected"),
    [
        (make_reading({OLD: NOW_MS}), True),
        # Another version may have been granted slots since the stream began.
        (make_reading({OLD: NOW_MS, NEW: NOW_MS - 90_000}), False),
        (make_reading({OLD: NOW_MS, NEW: NOW_MS - 120_000}), True),
        # The version itself is not recorded.
        (make_reading({NEW: 1}), False),
        (make_reading({}), False),
        # The record began too late, or was not confirmed for long.
        (make_reading({OLD: NOW_MS}, since_ms=NOW_MS - 33_000), False),
        (make_reading({OLD: NOW_MS}, since_ms=NOW_MS - 37_000), True),
        (make_reading({OLD: NOW_MS}, confirmed_ms=NOW_MS - 31_000), False),
        # The store came back from a copy, which may be older than the last write.
        (make_reading({OLD: NOW_MS}, restores=(0, 1)), False),
        # The record was read before the registry, which may lack versions between.
        (make_reading({OLD: NOW_MS}, sent_at=99.0), False),
    ],
)
def test_new_registry_proves_a_single_version_by_the_record(reading, expected):
    registry = make_registry((100.0, [make_server("e1", OLD)]))
    registry.apply_version_reading(reading)
    assert registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, NOW_MS) is expected


def test_record_names_a_version_that_joined_and_left_between_two_confirmations():
    registry = make_registry((0.0, [make_server("e1", OLD)]))
    assert registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, NOW_MS)
    registry.apply_version_reading(make_reading({OLD: NOW_MS, NEW: NOW_MS - 500}))
    assert not registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, NOW_MS)
    long_ago = NOW_MS - 1000 * (LIFETIME + 5)
    registry.apply_version_reading(make_reading({OLD: NOW_MS, NEW: long_ago}))
    assert registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, NOW_MS)


def test_record_does_not_hide_a_version_that_is_registered():
    entries = [make_server("e1", OLD), make_server("e2", NEW)]
    registry = make_registry((100.0, entries))
    registry.apply_version_reading(make_reading({OLD: NOW_MS}))
    assert not registry.had_one_version(SERVICE, LIFETIME, 100.0, 100.0, NOW_MS)


def test_record_that_was_not_confirmed_for_long_begins_anew():
    record = VersionRecord().merge([(SERVICE, OLD)], 0, 10_000)
    assert record.since_ms == 10_000
    record = record.merge([(SERVICE, NEW)], 0, 40_000)
    assert record.since_ms == 10_000
    assert record.seen_ms == {SERVICE: {OLD: 10_000, NEW: 40_000}}
    assert record.holds((SERVICE, OLD), 40_000)
    assert not record.holds((SERVICE, OLD), 41_000)
    assert record.merge([], 0, 71_000).since_ms == 71_000
    assert record.merge([], 1, 41_000).since_ms == 41_000
    assert record.merge([], 0, 700_000).seen_ms == {}
