"""Tests of who gets the slots in a burst whose refused clients retry."""

import pytest

from .overload import Phase, Replay, Traffic

BURST_START, BURST_SECONDS = 1.0, 5.0


def make_phases(load):
    return (Phase(BURST_START, 0.5), Phase(BURST_SECONDS, load), Phase(4.0, 0.5))


def count(requests, is_on_time, objective):
    return sum(
        it.first_output is not None and (it.first_output <= objective) is is_on_time
        for it in requests
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_slots_go_to_requests_that_can_be_on_time_before_retries(load, seed):
    traffic = Traffic()
    requests = Replay(traffic, make_phases(load), seed).run()
    in_burst = [
        it for it in requests if BURST_START <= it.sent_at < BURST_START + BURST_SECONDS
    ]
    on_time = count(in_burst, True, traffic.objective)
    assert on_time >= 0.8 * BURST_SECONDS * traffic.capacity


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_retries_get_the_slots_that_are_free_after_a_burst(seed):
    traffic = Traffic()
    phases = (Phase(1.0, 0.5), Phase(0.5, 2.0), Phase(4.0, 0.25))
    requests = Replay(traffic, phases, seed).run()
    retried = [it for it in requests if it.attempts > 1]
    served = sum(it.first_output is not None for it in retried)
    assert retried
    assert served > 0.5 * len(retried)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_refused_below_the_capacity(seed):
    requests = Replay(Traffic(), (Phase(8.0, 0.7),), seed).run()
    assert all(it.attempts == 1 for it in requests)
