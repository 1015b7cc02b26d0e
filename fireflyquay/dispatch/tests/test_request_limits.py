"""Tests of the pacing of requests to backend servers that state request limits."""

import random

import pytest

from fireflyquay.dispatch import (
    BackendNews,
    Grant,
    Handover,
    Refusal,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.dispatch._request_limit import MIN_TRIAL_RATE, RequestLimit
from fireflyquay.world import BackendServerId

from .builders import (
    OTHER_VM,
    make_backend_entry,
    make_coordinator,
    make_request,
    make_vm,
)

SERVER = BackendServerId("e1")


def count_grants(limit, seconds, share=1.0, interval=0.02):
    """Return how many requests a limit grants if one always waits."""
    granted = 0
    for step in range(int(seconds / interval)):
        now = step * interval
        if limit.can_grant(share, now):
            limit.charge(share, now)
            granted += 1
    return granted


@pytest.mark.parametrize("rate", [0.3, 1.0, 2.2, 7.0, 40.0])
def test_limit_is_used_up_and_never_exceeded(rate):
    granted = count_grants(RequestLimit(rate, 0.0), 20.0)
    assert 18.0 * rate - 1 <= granted <= 20.25 * rate + 1


def test_idle_time_allows_no_burst():
    limit = RequestLimit(2.0, 0.0)
    granted = 0
    while limit.can_grant(1.0, 100.0):
        limit.charge(1.0, 100.0)
        granted += 1
    assert granted == 1


def test_part_of_a_fleet_grants_its_share():
    assert count_grants(RequestLimit(8.0, 0.0), 20.0, share=0.125) <= 21


def test_server_that_takes_no_requests_is_tried_now_and_then():
    granted = count_grants(RequestLimit(0.0, 0.0), 100.0)
    assert 0 < granted <= 100 * MIN_TRIAL_RATE


def test_response_to_an_earlier_request_does_not_end_a_limit():
    limit = RequestLimit(2.0, 10.0)
    assert not limit.record_absence(9.9)
    assert limit.rate == 2.0


def test_limit_ends_in_steps():
    limit, responses = RequestLimit(2.0, 0.0), 0
    while not limit.has_ended(10):
        assert limit.record_absence(1.0 + responses)
        responses += 1
    assert 3 <= responses <= 10


def test_statement_ends_the_recovery():
    limit = RequestLimit(2.0, 0.0)
    limit.record_absence(1.0)
    assert limit.record_statement(2.0, 2.0)
    assert limit.rate == 2.0
    assert not limit.has_ended(1)


def make_scheduler(*entries):
    scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1))
    scheduler.set_backends(entries or [make_backend_entry("e1", slots=10)])
    return scheduler


def submit(scheduler, numbers, now):
    decisions = [
        decision
        for number in numbers
        for decision in scheduler.submit(make_request(number), now)
    ]
    return [it for it in decisions if isinstance(it, Grant)]


def test_requests_go_elsewhere_while_a_server_is_limited():
    entries = [make_backend_entry(name, slots=10) for name in ("e1", "e2")]
    scheduler = make_scheduler(*entries)
    scheduler.merge_news(BackendNews(SERVER, 1, 1.0, 0.0), 10.0)
    grants = submit(scheduler, range(10), 11.0)
    assert [it.backend for it in grants].count(SERVER) == 1
    assert len(grants) == 10


def test_limit_outlasts_a_lapse_of_the_registration():
    entry = make_backend_entry("e1", slots=10)
    scheduler = make_scheduler(entry)
    scheduler.merge_news(BackendNews(SERVER, 1, 1.0, 0.0), 10.0)
    scheduler.set_backends([])
    scheduler.set_backends([entry])
    assert len(submit(scheduler, range(5), 11.0)) == 1


def test_limit_of_a_process_does_not_bind_the_next():
    scheduler = make_scheduler()
    scheduler.merge_news(BackendNews(SERVER, 1, 0.0, 0.0), 10.0)
    scheduler.set_backends([make_backend_entry("e1", slots=10, born_ms=2)])
    assert len(submit(scheduler, range(5), 11.0)) == 5


def test_retry_after_counts_with_the_limit_and_not_with_slots():
    scheduler = make_scheduler(make_backend_entry("e1", slots=10))
    scheduler.merge_news(BackendNews(SERVER, 1, 0.5, 0.0), 10.0)
    scheduler.submit(make_request(1), 10.1)
    [decision] = scheduler.submit(make_request(2), 10.1)
    # One request waits, and each takes two seconds at this limit.
    assert 2.0 <= decision.retry_after <= 4.8


def test_request_beyond_the_limits_of_all_servers_is_refused_at_once():
    scheduler = make_scheduler(make_backend_entry("e1", slots=10))
    scheduler.merge_news(BackendNews(SERVER, 1, 0.5, 0.0), 10.0)
    scheduler.submit(make_request(1), 10.1)
    [decision] = scheduler.submit(make_request(2), 10.1)
    assert isinstance(decision, Refusal)
    assert "state request limits" in decision.reason


def test_handover_reports_limits_to_the_next_coordinator():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("e1", slots=10)])
    news = BackendNews(SERVER, 1, 1.0, 2.0)
    handover = Handover(make_vm(OTHER_VM), (), (), (news,))
    coordinator.handle_message(OTHER_VM, handover, 10.0)
    assert coordinator.get_limit_rate(SERVER, 1) == 1.0
    decisions = [
        it for n in range(5) for it in coordinator.submit(make_request(n), 10.5)
    ]
    assert not [it for it in decisions if isinstance(it, Grant)]


def test_older_news_do_not_replace_a_statement():
    scheduler = make_scheduler()
    scheduler.merge_news(BackendNews(SERVER, 1, 1.0, 0.0), 10.0)
    assert not scheduler.merge_news(BackendNews(SERVER, 1, 5.0, 3.0), 10.5)
    assert not scheduler.merge_news(BackendNews(SERVER, 1, None, 0.0, 3.0), 10.5)
    assert scheduler.beliefs.get(SERVER, 1).request_limit.rate == 1.0
