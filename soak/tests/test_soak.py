"""A short seeded soak, and every seed that ever broke a promise."""

import asyncio

import pytest

from soak._play import play

SEED = 1
# Seconds of faults; real time, since the processes are real.
SECONDS = 4.0
GATEWAYS = 3
# Seeds that broke a promise once, with the cause.
REGRESSIONS = {
    1006: "a link that had just connected never closed, so a stop never ended",
}


@pytest.mark.parametrize("seed", [SEED, *REGRESSIONS])
def test_no_promise_breaks(seed):
    verdict = asyncio.run(play(seed, SECONDS, GATEWAYS))
    assert verdict.requests > 50
    assert not verdict.breaches, verdict.breaches
