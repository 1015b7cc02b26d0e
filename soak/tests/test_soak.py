"""A short seeded soak, and every seed that ever broke a promise."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from emulator import run_virtual
from soak._evidence import Evidence
from soak._faults import Faults
from soak._play import play

SEED = 1
# Seconds of faults; real time, since the processes are real.
SECONDS = 4.0
GATEWAYS = 3
# Seeds that broke a promise once, with the cause.
REGRESSIONS = {
    1006: "a link that had just connected never closed, so a stop never ended",
    3029: "a fault of the soak: it awaited the end of a process that was not told to",
}


@pytest.mark.parametrize("seed", [SEED, *REGRESSIONS])
def test_no_promise_breaks(seed):
    verdict = asyncio.run(play(seed, SECONDS, GATEWAYS))
    assert verdict.requests > 50
    assert not verdict.violations, verdict.violations


def test_a_planned_stop_awaits_only_the_process_that_was_told():
    async def run():
        ended, living = asyncio.Event(), asyncio.Event()
        ended.set()
        restarted = []

        async def restart(program):
            restarted.append(program)

        program = SimpleNamespace(
            host="127.0.0.1",
            process=ended,
            restart_lock=asyncio.Lock(),
            events=[],
            signal=lambda _: None,
        )
        evidence = Evidence()
        fleet = SimpleNamespace(programs=[program], restart=restart)
        faults = Faults(fleet, evidence, random.Random(1))
        async with program.restart_lock:
            # A kill is under way: the old process has ended, a new one starts.
            stop = asyncio.ensure_future(faults.stop_as_planned())
            await asyncio.sleep(0.1)
            program.process = living
        await asyncio.wait_for(stop, 60.0)
        return evidence.find_violations([])

    assert run_virtual(run()) == []
