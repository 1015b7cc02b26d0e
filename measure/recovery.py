"""Seconds from a failure to restored service: ``python -m measure.recovery``.

Whole gateways run in virtual time, so the figures are the same in each run. They do not
include the start of a process, about 0.4 s.
"""

from __future__ import annotations

import statistics
from collections.abc import Awaitable, Callable

from emulator import Emulation, History, run_virtual
from proofs import make_site

from ._pages import Row, write_report

SEEDS = (1, 2, 3)
VMS = 6
TRAFFIC_SECONDS = 40.0
# Virtual times of the failure and of the end of the run.
FAILURE_AT_SECONDS, END_AT_SECONDS = 6.0, 50.0
# Service is restored from the first window in which this share of requests is served.
WINDOW_SECONDS = 0.5
RECOVERED_SHARE = 0.9
STORE_OUTAGE_SECONDS = 10.0
TITLE = "Recovery"

# The doc comment of a case is its name in the report.
Case = Callable[[Emulation], Awaitable[float]]


async def kill_coordinator(emulation: Emulation) -> float:
    """Kill the coordinator for good."""
    emulation.kill(emulation.find_coordinator())
    return emulation.loop.time()


async def freeze_coordinator(emulation: Emulation) -> float:
    """Suspend the coordinator for three seconds."""
    emulation.freeze(emulation.find_coordinator(), 3.0)
    return emulation.loop.time()


async def kill_all(emulation: Emulation) -> float:
    """Kill all processes; they start again at once at their addresses."""
    hosts = emulation.list_hosts()
    for host in hosts:
        emulation.kill(host)
    for host in hosts:
        await emulation.add_vm(host)
    return emulation.loop.time()


async def lose_power(emulation: Emulation) -> float:
    """Lose all machines; others start two seconds later at new addresses."""
    for host in emulation.list_hosts():
        emulation.kill(host)
    await emulation.run(2.0)
    for _ in range(VMS):
        await emulation.add_vm()
    return emulation.loop.time()


async def lose_power_without_store(emulation: Emulation) -> float:
    """Lose all machines while the store is away; count from the store's return."""
    emulation.stop_store(STORE_OUTAGE_SECONDS)
    await lose_power(emulation)
    return emulation.loop.time() - 2.0 + STORE_OUTAGE_SECONDS


async def lose_store(emulation: Emulation) -> float:
    """Lose the store for ten seconds; count from its return."""
    emulation.stop_store(STORE_OUTAGE_SECONDS)
    return emulation.loop.time() + STORE_OUTAGE_SECONDS


async def lose_engines(emulation: Emulation) -> float:
    """Crash all backend servers for two seconds; count from their return."""
    for name in emulation.servers:
        emulation.crash(name, 2.0)
    return emulation.loop.time() + 2.0


CASES: tuple[Case, ...] = (
    kill_coordinator,
    freeze_coordinator,
    kill_all,
    lose_power,
    lose_power_without_store,
    lose_store,
    lose_engines,
)


def run_case(case: Case, seed: int) -> tuple[History, float]:
    """Run a case; return the history and the time from which recovery is measured."""

    async def run() -> tuple[History, float]:
        async with Emulation(make_site(VMS), seed) as emulation:
            emulation.start_traffic(TRAFFIC_SECONDS)
            await emulation.run(FAILURE_AT_SECONDS)
            measured_from = await case(emulation)
            await emulation.run(END_AT_SECONDS - emulation.loop.time())
        return emulation.history, measured_from

    return run_virtual(run())


def measure_recovery(history: History, measured_from: float) -> tuple[float, float]:
    """Return the seconds until a request is served, and until service is restored."""
    after = [it for it in history.requests if it.sent_at >= measured_from]
    first = min(
        (it.ended_at - measured_from for it in after if it.is_served), default=-1.0
    )
    begin = measured_from
    while begin < measured_from + TRAFFIC_SECONDS:
        end = begin + WINDOW_SECONDS
        window = [it for it in after if begin <= it.sent_at < end]
        if window:
            served = sum(it.is_served for it in window) / len(window)
            if served >= RECOVERED_SHARE:
                break
        begin = end
    return first, begin - measured_from


def main() -> None:
    """Measure all cases and write the report."""
    rows: list[Row] = []
    for case in CASES:
        pairs = [measure_recovery(*run_case(case, seed)) for seed in SEEDS]
        assert case.__doc__ is not None
        rows.append(
            {
                "case": case.__doc__.rstrip("."),
                "first served, s": round(statistics.median(p[0] for p in pairs), 2),
                "nine in ten served from, s": round(
                    statistics.median(p[1] for p in pairs), 2
                ),
                "worst of three seeds, s": round(max(p[1] for p in pairs), 2),
            }
        )
    write_report("recovery", TITLE, {"Cases": rows}, __doc__.split("\n\n")[1])


if __name__ == "__main__":
    main()
