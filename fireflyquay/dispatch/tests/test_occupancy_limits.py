"""Tests of the limits of runs on backend servers that may fall over."""

import random

import pytest

from fireflyquay.dispatch import (
    BackendNews,
    Grant,
    Handover,
    Rejection,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.dispatch._occupancy_limit import (
    REJECTION_WINDOW_SECONDS,
    TAKEOVER_SECONDS,
    OccupancyLimit,
)
from fireflyquay.dispatch._slot_messages import Run
from fireflyquay.world import BackendServerId

from .builders import (
    OTHER_VM,
    make_backend_entry,
    make_coordinator,
    make_request,
    make_vm,
)

SERVER = BackendServerId("e1")


def make_runs(count, granted_at=0.0):
    return [Run(make_request(number), granted_at) for number in range(count)]


def test_one_grant_at_a_time_is_not_known_to_be_accepted():
    limit = OccupancyLimit(1.0, 0.0)
    assert limit.can_grant(make_runs(3), 1.0, 10.0)
    assert not limit.can_grant([*make_runs(3), *make_runs(1, 9.99)], 1.0, 10.0)
    assert limit.can_grant([*make_runs(3), *make_runs(1, 9.9)], 1.0, 10.0)


def test_rejections_stop_grants_beside_other_runs():
    limit = OccupancyLimit(1.0, 0.0)
    limit.record_rejection(7, 10.0, 0.01)
    assert limit.can_grant([], 1.0, 10.1)
    assert not limit.can_grant(make_runs(1), 1.0, 10.1)
    assert limit.can_grant(make_runs(1), 1.0, 10.0 + REJECTION_WINDOW_SECONDS)


def test_room_is_learned_from_a_rejection_and_raised_in_steps():
    limit = OccupancyLimit(1.0, 0.0)
    limit.record_rejection(7, 10.0, 0.01)
    assert limit.room == 3
    limit.record_grant(2, 11.5)
    assert not limit.can_grant(make_runs(3), 1.0, 11.9)
    assert limit.can_grant(make_runs(3), 1.0, 12.0)
    assert limit.room == 4
    limit.record_rejection(3, 12.01, 0.01)
    assert limit.room == 3
    # The next attempt takes twice as long.
    assert not limit.can_grant(make_runs(3), 1.0, 15.9)
    assert limit.can_grant(make_runs(3), 1.0, 16.1)


def test_rejection_beside_more_runs_than_the_room_reduces_it_no_further():
    limit = OccupancyLimit(3.0, 0.0)
    for at in (10.0, 10.1, 10.2):
        limit.record_rejection(7, at, 0.01)
    assert limit.room == 3


def test_rejection_that_two_vms_report_counts_once():
    limit = OccupancyLimit(2.0, 0.0)
    assert limit.record_rejection(7, 10.0, 0.01)
    assert not limit.record_rejection(7, 10.02, 0.01)
    assert limit.can_grant(make_runs(2), 1.0, 10.1)


def test_slow_rejections_lengthen_the_time_until_a_grant_counts_as_accepted():
    limit = OccupancyLimit(1.0, 0.0)
    limit.record_rejection(9, 0.0, 0.2)
    assert not limit.can_grant(make_runs(1, 9.7), 1.0, 10.0)
    assert limit.can_grant(make_runs(1, 9.5), 1.0, 10.0)


@pytest.mark.parametrize("max_rejections", [1.0, 3.0])
def test_new_coordinator_waits_for_the_runs_of_others(max_rejections):
    limit = OccupancyLimit(max_rejections, 0.0)
    limit.hold_grants(10.0)
    assert not limit.can_grant([], 1.0, 10.1)
    assert limit.can_grant([], 1.0, 10.0 + TAKEOVER_SECONDS)


def make_scheduler(*entries):
    scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1))
    scheduler.set_backends(entries or [make_backend_entry("e1", slots=10)])
    return scheduler


def make_news(rejections=(), **fields):
    return BackendNews(
        SERVER, 1, None, 0.0, max_rejections=1.0, rejections=rejections, **fields
    )


def submit(scheduler, count, now):
    decisions = []
    for number in range(count):
        decisions += scheduler.submit(make_request(number), now + number)
    return [it for it in decisions if isinstance(it, Grant)]


def test_proven_absence_of_the_statement_ends_the_limit():
    scheduler = make_scheduler()
    scheduler.merge_news(make_news((Rejection(1, 0.0, 0.01),)), 10.0)
    assert scheduler.beliefs.get(SERVER, 1).occupancy_limit is not None
    # The request of this response was sent before the statement.
    scheduler.merge_news(BackendNews(SERVER, 1, None, 0.0, 2.0), 11.0)
    assert scheduler.beliefs.get(SERVER, 1).occupancy_limit is not None
    # A handover states only what its sender knows.
    scheduler.merge_news(BackendNews(SERVER, 1, 5.0, 0.0), 12.0)
    assert scheduler.beliefs.get(SERVER, 1).occupancy_limit is not None
    assert scheduler.merge_news(BackendNews(SERVER, 1, None, 0.0, 0.5), 12.0)
    assert scheduler.beliefs.get(SERVER, 1).occupancy_limit is None


@pytest.mark.parametrize("name", ["e1", "e2"])
def test_next_process_of_a_brittle_service_counts_as_brittle(name):
    scheduler = make_scheduler()
    scheduler.merge_news(make_news((Rejection(4, 0.0, 0.01),)), 10.0)
    entry = make_backend_entry(name, slots=10, born_ms=2)
    scheduler.set_backends([make_backend_entry("e1", slots=10), entry])
    limit = scheduler.beliefs.get(BackendServerId(name), 2).occupancy_limit
    assert (limit.max_rejections, limit.room) == (1.0, 2)


def test_handover_reports_room_and_rejections_to_the_next_coordinator():
    before, after = make_coordinator(), make_coordinator()
    for coordinator in (before, after):
        coordinator.set_backends([make_backend_entry("e1", slots=10)])
    before.merge_news(make_news((Rejection(4, 0.0, 0.01),)), 10.0)
    handover = Handover(make_vm(OTHER_VM), (), (), before.beliefs.list_news(10.1))
    after.handle_message(OTHER_VM, handover, 10.2)
    limit = after.beliefs.get(SERVER, 1).occupancy_limit
    assert (limit.max_rejections, limit.room) == (1.0, 2)
    assert len(limit.list_rejections(10.2)) == 1
