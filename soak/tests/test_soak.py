"""Tests of a short run, of seeds that failed before, and of the fault injector."""

import asyncio
import random
from pathlib import Path
from types import SimpleNamespace

import pytest
from fleetwire.tests.fleet import REPOSITORY_ROOT

from emulator import run_virtual
from soak._faults import FaultInjector
from soak._history import SoakHistory
from soak._soak_run import run_soak

SEED, LATER_SEED = 1, 2
# In real time, since the gateways are processes.
FAULT_SECONDS = 4.0
GATEWAY_COUNT = 3
# Seeds that once failed, with the cause.
REGRESSION_SEEDS = {
    1006: "a link that had just connected never closed, so a stop never ended",
    3029: "the soak test awaited the end of a process that had not been signaled",
    52005: "a worker that had been crashed twice was started while it listened",
}
# Those that draw all faults.
LATER_SEEDS = (LATER_SEED, 52005)


@pytest.mark.parametrize("seed", [SEED, LATER_SEED, *REGRESSION_SEEDS])
def test_seed_violates_no_guarantee(seed):
    draws_later_faults = seed in LATER_SEEDS
    result = asyncio.run(
        run_soak(
            seed,
            FAULT_SECONDS,
            GATEWAY_COUNT,
            draws_later_faults=draws_later_faults,
        )
    )
    assert result.request_count > 50
    assert not result.violations, result.violations


# Guards against faults of the program that the logs name and no rule shows.
def test_unexpected_error_of_a_gateway_is_a_violation():
    result = asyncio.run(run_soak(SEED, 1.0, GATEWAY_COUNT, "fail_to_learn"))
    assert any("unexpected error" in it for it in result.violations)


def test_planned_stop_awaits_only_the_signaled_process():
    async def run():
        old_process, new_process = asyncio.Event(), asyncio.Event()
        old_process.set()
        restarted = []

        async def restart_gateway(gateway):
            restarted.append(gateway)

        gateway = SimpleNamespace(
            host="127.0.0.1",
            process=old_process,
            restart_lock=asyncio.Lock(),
            events=[],
            signal=lambda _: None,
        )
        history = SoakHistory()
        fleet = SimpleNamespace(gateways=[gateway], restart_gateway=restart_gateway)
        injector = FaultInjector(fleet, history, random.Random(1))
        async with gateway.restart_lock:
            # Another fault kills the gateway: its process has ended, a new one starts.
            stop = asyncio.ensure_future(injector.stop_gateway())
            await asyncio.sleep(0.1)
            gateway.process = new_process
        await asyncio.wait_for(stop, 60.0)
        return history.find_violations([])

    assert run_virtual(run()) == []


# Guards against seed 52005: a worker that listened already was started once more.
def test_overlapping_crashes_of_a_worker_start_it_once_each():
    async def run():
        states = []

        async def crash():
            states.append("down")

        async def start():
            states.append("up")

        worker = SimpleNamespace(name="i-1", crash=crash, start=start)
        fleet = SimpleNamespace(workers=[worker])
        injector = FaultInjector(fleet, SoakHistory(), random.Random(1))
        await asyncio.gather(*(injector.crash_worker() for _ in range(3)))
        return states

    assert run_virtual(run()) == ["down", "up"] * 3


def test_upgrade_replaces_each_gateway_in_turn():
    async def run():
        started = []

        async def restart_gateway(gateway):
            started.append((gateway.host, gateway.checkout))

        async def wait():
            pass

        gateways = [
            SimpleNamespace(
                host=host,
                process=SimpleNamespace(wait=wait),
                checkout=Path("production"),
                events=[],
                signal=lambda _: None,
            )
            for host in ("127.0.0.1", "127.0.0.2")
        ]
        fleet = SimpleNamespace(
            gateways=gateways, restart_gateway=restart_gateway, needs_upgrade=True
        )
        injector = FaultInjector(fleet, SoakHistory(), random.Random(1))
        injector._faults = [wait]
        await injector.run(6.0)
        return started

    assert run_virtual(run()) == [
        ("127.0.0.1", REPOSITORY_ROOT),
        ("127.0.0.2", REPOSITORY_ROOT),
    ]
