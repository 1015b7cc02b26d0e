"""Tests that the size of a request does not decide whether it is turned away."""

from __future__ import annotations

import random

from fireflyquay.dispatch import Grant, QuotaLimiter, RunEnded

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


def simulate_mixed_sizes(load, seconds=60.0, large_share=0.2):
    """Offer a multiple of the capacity; return the granted share of each size.

    All runs take equally long, so only the scheduler can prefer a size.
    """
    rng = random.Random(1)
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=SLOTS)])
    rate = load * SLOTS / RUN_SECONDS
    sizes: dict[int, int] = {}
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
            number = len(sizes)
            is_large = rng.random() < large_share
            sizes[number] = LARGE_PROMPT if is_large else SMALL_PROMPT
            request = make_request(
                number,
                prompt_tokens=sizes[number],
                seconds_to_objective=OBJECTIVE_SECONDS,
                seconds_to_give_up=2.5,
                seconds_to_deadline=2.5,
                max_gap=0.0,
            )
            decisions += coordinator.submit(request, now)
        for decision in decisions:
            if isinstance(decision, Grant):
                granted.add(decision.number)
                running[decision.number] = now + RUN_SECONDS
    return {
        size: sum(number in granted for number in sizes if sizes[number] == size)
        / sum(it == size for it in sizes.values())
        for size in (SMALL_PROMPT, LARGE_PROMPT)
    }


def test_large_requests_are_not_refused_more_often_under_overload():
    for load in (1.3, 2.0, 4.0):
        shares = simulate_mixed_sizes(load)
        assert shares[LARGE_PROMPT] > 0.8 * shares[SMALL_PROMPT], (load, shares)


def test_large_requests_are_not_refused_more_often_beyond_a_quota():
    rng = random.Random(1)
    limiter = QuotaLimiter(burst_allowance=10_000)
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
