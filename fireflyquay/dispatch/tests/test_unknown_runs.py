"""Tests of the belief in runs that no known grant explains."""

from fireflyquay.dispatch import BackendPause, Grant, RunEnded
from fireflyquay.dispatch._unknown_runs import REMAINING_SHARE, UnknownRuns

from .builders import OWN_VM, make_backend_entry, make_coordinator, make_request

PAUSE_SECONDS = 0.1


def test_unknown_runs_end_one_by_one():
    """Guards against a server that is believed to be full for good."""
    runs = UnknownRuns()
    assert runs.count(0.0) == 0
    runs.record_rejection(6, 2, 1.0 / REMAINING_SHARE, now=10.0)
    assert [runs.count(10.0 + it) for it in (0.0, 0.3, 0.6, 0.8, 1.0)] == [
        4,
        3,
        2,
        1,
        0,
    ]


def test_rejection_beside_all_known_runs_shows_one_unknown():
    runs = UnknownRuns()
    runs.record_rejection(6, 6, 1.0, now=10.0)
    assert runs.count(10.0) == 1


def submit(coordinator, numbers, now):
    decisions = []
    for number in numbers:
        request = make_request(number, output_tokens=400)
        decisions += coordinator.submit(request, now)
    return [it.number for it in decisions if isinstance(it, Grant)]


def reject(coordinator, number, now):
    pause = BackendPause("s1", PAUSE_SECONDS, rejected=number)
    coordinator.handle_message(OWN_VM, pause, now)
    ended = RunEnded(number, "s1", 0, 0.0, False)
    return coordinator.handle_message(OWN_VM, ended, now)


def make_full_coordinator():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=4)])
    return coordinator


def test_no_slot_is_granted_beside_a_run_that_was_rejected():
    """Guards against grants that are rejected one after the other."""
    coordinator = make_full_coordinator()
    assert submit(coordinator, (1, 2), 0.0) == [1, 2]
    reject(coordinator, 2, 0.01)
    now = 0.01 + PAUSE_SECONDS
    assert submit(coordinator, (3, 4), now) == []
    assert coordinator.count_unknown_runs(now) == 3
    assert coordinator.count_unknown_runs(9.0) == 0


def test_server_without_known_runs_is_tried_after_the_pause():
    """Guards against a server left out because of one request that it never takes."""
    coordinator = make_full_coordinator()
    assert submit(coordinator, (1,), 0.0) == [1]
    reject(coordinator, 1, 0.01)
    assert submit(coordinator, (2, 3), 0.02 + PAUSE_SECONDS) == [2]
