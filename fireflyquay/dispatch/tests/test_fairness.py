"""Tests that neither size nor kind of a request decides whether it is turned away."""

from __future__ import annotations

import random

from fireflyquay.dispatch import Grant, QuotaLimiter, QuotaMargin, RunEnded
from fireflyquay.dispatch._token_bucket import TokenBucket

from .builders import (
    OWN_VM,
    make_account,
    make_backend_entry,
    make_coordinator,
    make_request,
)

SMALL_PROMPT, LARGE_PROMPT = 500, 8000
OBJECTIVE_SECONDS = 0.4
RUN_SECONDS = 0.2
SLOTS = 8
STEP_SECONDS = 0.005


def simulate_overload(load, kinds, seconds=60.0):
    """Offer a multiple of the capacity; return the granted share of each kind.

    ``kinds`` holds the weight, prompt tokens and objective of each. All runs take
    equally long, so only the scheduler can prefer a kind.
    """
    rng = random.Random(1)
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=SLOTS)])
    rate = load * SLOTS / RUN_SECONDS
    weights = [weight for weight, _, _ in kinds]
    kind_of: dict[int, int] = {}
    granted: set[int] = set()
    running: dict[int, float] = {}
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        decisions = coordinator.advance(now)
        for number in [number for number, end in running.items() if end <= now]:
            del running[number]
            ended = RunEnded(number, "s1", 5, 0.0, False)
            decisions += coordinator.handle_message(OWN_VM, ended, now)
        while rng.random() < rate * STEP_SECONDS / (1 + rate * STEP_SECONDS):
            number = len(kind_of)
            kind_of[number] = rng.choices(range(len(kinds)), weights)[0]
            _, prompt_tokens, objective = kinds[kind_of[number]]
            request = make_request(
                number,
                prompt_tokens=prompt_tokens,
                seconds_to_objective=objective,
                seconds_to_give_up=2.5,
                seconds_to_deadline=2.5,
                max_gap=0.0,
                latency_objective=objective,
            )
            decisions += coordinator.submit(request, now)
        for decision in decisions:
            if isinstance(decision, Grant):
                granted.add(decision.number)
                running[decision.number] = now + RUN_SECONDS
    return [
        sum(number in granted for number in kind_of if kind_of[number] == kind)
        / sum(it == kind for it in kind_of.values())
        for kind in range(len(kinds))
    ]


def test_large_requests_are_not_refused_more_often_under_overload():
    kinds = [
        (0.8, SMALL_PROMPT, OBJECTIVE_SECONDS),
        (0.2, LARGE_PROMPT, OBJECTIVE_SECONDS),
    ]
    for load in (1.3, 2.0, 4.0):
        small, large = simulate_overload(load, kinds)
        assert large > 0.8 * small, (load, small, large)


def test_kind_with_a_short_objective_is_not_refused_more_often_than_its_rank():
    for short, long in ((0.2, 1.0), (0.3, 0.4)):
        kinds = [(0.5, SMALL_PROMPT, short), (0.5, SMALL_PROMPT, long)]
        for load in (1.3, 2.0, 4.0):
            of_short, of_long = simulate_overload(load, kinds)
            assert of_short > 0.8 * of_long, (load, of_short, of_long)


def test_large_requests_are_not_refused_more_often_beyond_a_quota():
    rng = random.Random(1)
    limiter = QuotaLimiter(QuotaMargin(units=10_000))
    account = make_account(rate=10_000, burst=20_000)
    arrived, charged = {SMALL_PROMPT: 0, LARGE_PROMPT: 0}, {}
    for step in range(4000):
        # About 2.5 times the quota.
        size = LARGE_PROMPT if rng.random() < 0.2 else SMALL_PROMPT
        arrived[size] += 1
        if limiter.charge(account, size, 1.0, step * 0.08) is None:
            charged[size] = charged.get(size, 0) + 1
    shares = {size: charged.get(size, 0) / arrived[size] for size in arrived}
    assert 0.8 < shares[LARGE_PROMPT] / shares[SMALL_PROMPT] < 1.25, shares
    # All of the quota is granted.
    assert 0.95 < sum(size * n for size, n in charged.items()) / (3_200_000 + 30_000)
    assert sum(size * n for size, n in charged.items()) <= 3_200_000 + 30_000


def test_window_shorter_than_the_resolution_of_charges_is_accepted():
    bucket = TokenBucket(0.05, level=100.0, refilled_at=0.0)
    for at in (0.0, 0.08, 0.2):
        bucket.refill(1.0, 100.0, 0.0, 1.0, at)
        bucket.charge(10.0)
    assert round(bucket.level, 6) == 70.2
