"""Tests of the retry budget and its sliding window."""

from fireflyquay.dispatch import RetryBudget
from fireflyquay.world import ServiceId

LLM, APP = ServiceId("llm"), ServiceId("app")


def test_retries_stay_within_ratio_and_slack():
    budget = RetryBudget(0.2, 2.0, 10.0)
    for number in range(20):
        budget.record_request(LLM, 0.1 * number)
    acquired = [budget.try_acquire(LLM, 1.0, 3.0) for _ in range(10)]
    assert acquired == [True] * 6 + [False] * 4
    assert [budget.try_acquire(APP, 1.0, 3.0) for _ in range(3)] == [True, True, False]


def test_requests_and_retries_outside_window_do_not_count():
    budget = RetryBudget(0.5, 1.0, 10.0)
    budget.record_request(LLM, 0.0)
    assert budget.try_acquire(LLM, 1.0, 0.0)
    assert not budget.try_acquire(LLM, 1.0, 9.0)
    assert budget.try_acquire(LLM, 1.0, 10.5)
    assert not budget.try_acquire(LLM, 1.0, 11.0)


def test_share_limits_slack():
    budget = RetryBudget(0.0, 4.0, 10.0)
    assert [budget.try_acquire(LLM, 0.5, 0.0) for _ in range(3)] == [True, True, False]


def test_requests_are_dropped_after_window():
    budget = RetryBudget(0.2, 2.0, 10.0)
    for number in range(100_000):
        budget.record_request(LLM, 0.01 * number)
    assert len(budget._requests[LLM]) <= 1001
