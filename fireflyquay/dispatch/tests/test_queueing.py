"""Tests of the slot queue, Retry-After times, estimates and rank statistics."""

import random

from fireflyquay.dispatch._rank_statistics import RankStatistics
from fireflyquay.dispatch._refused_requests import RefusedRequests
from fireflyquay.dispatch._retry_after_schedule import RetryAfterSchedule
from fireflyquay.dispatch._slot_queue import QueuedRequest, SlotQueue
from fireflyquay.dispatch._time_per_unit_estimator import TimePerUnitEstimator

from .builders import OTHER_VM, OWN_VM, make_request


def make_queue(*requests):
    queue = SlotQueue()
    for queued_at, expires_at, request in requests:
        queue.add(
            QueuedRequest(
                request, queued_at, expires_at, queued_at + request.seconds_to_objective
            )
        )
    return queue


def list_numbers(items):
    return [item.request.number for item in items]


def test_rank_precedes_lateness_and_arrival():
    queue = make_queue(
        (0.0, 9.0, make_request(1, rank=1, seconds_to_objective=0.1)),
        (0.1, 9.0, make_request(2, rank=1)),
        (0.2, 9.0, make_request(3, rank=0, seconds_to_objective=0.0)),
        (0.3, 9.0, make_request(4, rank=0)),
    )
    assert list_numbers(queue.iter_candidates(0.5)) == [4, 3, 2, 1]


def test_removed_requests_are_neither_candidates_nor_expired():
    queue = make_queue(
        (0.0, 1.0, make_request(1)), (0.0, 1.0, make_request(2, OTHER_VM))
    )
    queue.remove((OWN_VM, 1))
    assert list_numbers(queue.iter_candidates(0.1)) == [2]
    queue.remove_vm(OTHER_VM)
    assert queue.pop_expired(5.0) == []
    assert len(queue) == queue.prompt_tokens == queue.output_tokens == 0


def test_requests_expire_in_order_of_expiry():
    queue = make_queue(
        (0.0, 3.0, make_request(1)),
        (0.0, 1.0, make_request(2)),
        (0.0, 2.0, make_request(3)),
    )
    assert list_numbers(queue.pop_expired(0.5)) == []
    assert list_numbers(queue.pop_expired(2.0)) == [2, 3]
    assert list_numbers(queue.iter_candidates(2.0)) == [1]


def test_next_rank_is_tried_after_skipped_requests():
    requests = [(0.0, 9.0, make_request(n, rank=0)) for n in range(50)]
    queue = make_queue(*requests, (0.0, 9.0, make_request(99, rank=1)))
    assert 99 in list_numbers(queue.iter_candidates(0.1))


def test_retries_are_spread_after_backlog():
    schedule = RetryAfterSchedule(random.Random(1))
    delays = [schedule.schedule_retry(1.0, 0.1, 30.0, now=0.0) for n in range(5)]
    assert delays == sorted(delays)
    assert delays[0] > 1.0
    assert all(
        later - sooner > 0.09 for sooner, later in zip(delays, delays[1:], strict=False)
    )


def test_retry_after_stays_within_honored_time():
    schedule = RetryAfterSchedule(random.Random(1))
    delays = [schedule.schedule_retry(20.0, 5.0, 6.0, now=0.0) for n in range(9)]
    assert max(delays) <= 2.0


def test_retries_are_late_and_spread_under_overload():
    schedule = RetryAfterSchedule(random.Random(1))
    delays = [
        schedule.schedule_retry(0.0, 0.001, 9.0, now=0.0, is_overloaded=True)
        for n in range(50)
    ]
    # Clients honor a Retry-After of up to a third of their remaining time, 3 s here.
    assert 2.0 < min(delays) and max(delays) <= 3.0
    assert max(delays) - min(delays) > 0.5


def test_refusal_is_remembered_for_limited_time():
    refused = RefusedRequests()
    refused.record("f1", 0.0, 1.0, now=0.0)
    assert refused.was_refused_recently("f1", 2.0)
    assert not refused.was_refused_recently("f2", 2.0)
    assert not refused.was_refused_recently("f1", 60.0)
    assert refused.match_retry("f1", 60.0) is None


def test_each_refusal_is_matched_by_one_retry_that_is_due():
    refused = RefusedRequests()
    refused.record("f1", 0.1, 1.0, now=0.2)
    refused.record("f1", 0.3, 1.5, now=0.4)
    assert refused.match_retry("f1", 0.6) is None
    assert refused.match_retry("f1", 1.0) == 0.1
    assert refused.match_retry("f1", 1.2) is None
    assert refused.match_retry("f1", 1.6) == 0.3
    assert not refused.was_refused_recently("f1", 1.6)


def test_retries_of_a_large_fleet_are_recognized_in_a_burst():
    refused = RefusedRequests()
    refusals = [(f"f{n}", n / 1500) for n in range(9000)]
    for fingerprint, at in refusals:
        refused.record(fingerprint, at, at + 5.0, at)
    assert all(
        refused.match_retry(fingerprint, at + 5.0) == at for fingerprint, at in refusals
    )


def test_refusals_that_no_retry_follows_are_forgotten():
    refused = RefusedRequests()
    for number in range(1000):
        refused.record(f"f{number}", 0.0, 1.0, now=0.0)
    refused.record("f", 20.0, 21.0, now=20.0)
    assert len(refused) == 1
    for number in range(40_000):
        refused.record(f"g{number}", 20.0, 21.0, now=20.0)
    assert len(refused) < 33_000


def test_rate_estimate_weights_large_work_more():
    estimator = TimePerUnitEstimator(0.001, 1000)
    for _ in range(20):
        estimator.record(1.0, 500)
        estimator.record(0.5, 5)
    assert abs(estimator.seconds_per_unit - 1.5 / 505) < 1e-4


def test_rank_without_grants_has_long_estimated_wait():
    statistics = RankStatistics()
    assert statistics.estimate_wait(3, 1.0) == 0.0
    assert statistics.estimate_wait(20, 1.0) >= 10
    for number in range(40):
        statistics.record_grant(1.0 + number / 100)
    assert statistics.estimate_wait(20, 1.5) < 1.0
    assert statistics.estimate_wait(20, 9.0) >= 10


def test_flows_of_one_rank_get_slots_by_weight():
    queue = SlotQueue()
    weights = {"big": 3.0, "small": 1.0}
    for number in range(80):
        account = "big" if number < 40 else "small"
        request = make_request(number, account=account)
        queue.add(QueuedRequest(request, 0.0, 9.0, 5.0, weights[account]))
    granted = []
    while len(granted) < 40:
        item = next(iter(queue.iter_candidates(0.1)))
        queue.remove(item.key)
        queue.record_grant(item)
        granted.append(item.request.account)
    assert granted.count("big") == 30


def test_new_flow_starts_at_usage_of_waiting_flows():
    queue = SlotQueue()

    def add(number, account):
        request = make_request(number, account=account)
        queue.add(QueuedRequest(request, 0.0, 99.0, 99.0, 1.0))

    def grant():
        item = next(iter(queue.iter_candidates(0.1)))
        queue.remove(item.key)
        queue.record_grant(item)
        return item.request.account

    for number in range(40):
        add(number, "old")
    assert [grant() for _ in range(20)] == ["old"] * 20
    for number in range(40, 60):
        add(number, "new")
    assert sorted(grant() for _ in range(10)) == ["new"] * 5 + ["old"] * 5


def test_accounts_without_weight_are_served_by_arrival():
    queue = SlotQueue()
    for number in range(6):
        request = make_request(number, account=f"account-{number % 2}")
        queue.add(QueuedRequest(request, 0.0, 9.0, 5.0))
    order = []
    while len(queue):
        item = next(iter(queue.iter_candidates(0.1)))
        queue.remove(item.key)
        queue.record_grant(item)
        order.append(item.request.number)
    assert order == [0, 1, 2, 3, 4, 5]
