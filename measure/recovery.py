"""Seconds until traffic is served again after a loss: ``python -m measure.recovery``.

Plays whole gateways in virtual time; the figures are the same in each run. The start of
a process itself, some 0.4 s, is not in them.
"""

from __future__ import annotations

import statistics
from collections.abc import Awaitable, Callable

from emulator import History, Stage, run_virtual
from proofs import make_site

from ._pages import Row, write_pages

SEEDS = (1, 2, 3)
VMS = 6
TRAFFIC_SECONDS = 40.0
# When the loss happens, and the play's end.
LOSS_AT, END_AT = 6.0, 50.0
# Seconds of one window, and the part served from which it counts as usual again.
WINDOW_SECONDS = 0.5
USUAL_SHARE = 0.9
STORE_SECONDS = 10.0
TITLE = "Recovery"

Case = Callable[[Stage], Awaitable[float]]


async def kill_coordinator(stage: Stage) -> float:
    """Kill the coordinator for good."""
    stage.kill(stage.find_coordinator())
    return stage.loop.time()


async def freeze_coordinator(stage: Stage) -> float:
    """Suspend the coordinator for three seconds."""
    stage.freeze(stage.find_coordinator(), 3.0)
    return stage.loop.time()


async def kill_all(stage: Stage) -> float:
    """Kill all processes; they start again at once at their addresses."""
    hosts = stage.list_hosts()
    for host in hosts:
        stage.kill(host)
    for host in hosts:
        await stage.add_vm(host)
    return stage.loop.time()


async def lose_power(stage: Stage) -> float:
    """Lose all machines; others start two seconds later at new addresses."""
    for host in stage.list_hosts():
        stage.kill(host)
    await stage.run(2.0)
    for _ in range(VMS):
        await stage.add_vm()
    return stage.loop.time()


async def lose_power_without_store(stage: Stage) -> float:
    """Lose all machines while the store is away; count from the store's return."""
    stage.stop_store(STORE_SECONDS)
    await lose_power(stage)
    return stage.loop.time() - 2.0 + STORE_SECONDS


async def lose_store(stage: Stage) -> float:
    """Lose the store for ten seconds; count from its return."""
    stage.stop_store(STORE_SECONDS)
    return stage.loop.time() + STORE_SECONDS


async def lose_engines(stage: Stage) -> float:
    """Crash all backend servers for two seconds; count from their return."""
    for name in stage.servers:
        stage.crash(name, 2.0)
    return stage.loop.time() + 2.0


CASES: tuple[Case, ...] = (
    kill_coordinator,
    freeze_coordinator,
    kill_all,
    lose_power,
    lose_power_without_store,
    lose_store,
    lose_engines,
)


def play_case(case: Case, seed: int) -> tuple[History, float]:
    """Play a case; return what was seen and the time from which recovery counts."""

    async def run() -> tuple[History, float]:
        async with Stage(make_site(VMS), seed) as stage:
            stage.start_traffic(TRAFFIC_SECONDS)
            await stage.run(LOSS_AT)
            back_at = await case(stage)
            await stage.run(END_AT - stage.loop.time())
        return stage.history, back_at

    return run_virtual(run())


def measure_recovery(history: History, back_at: float) -> tuple[float, float]:
    """Return the seconds to the first request served, and to the usual share."""
    after = [it for it in history.requests if it.sent_at >= back_at]
    first = min((it.ended_at - back_at for it in after if it.is_served), default=-1.0)
    begin = back_at
    while begin < back_at + TRAFFIC_SECONDS:
        end = begin + WINDOW_SECONDS
        window = [it for it in after if begin <= it.sent_at < end]
        if window:
            served = sum(it.is_served for it in window) / len(window)
            if served >= USUAL_SHARE:
                break
        begin = end
    return first, begin - back_at


def main() -> None:
    """Measure all cases and write the page."""
    rows: list[Row] = []
    for case in CASES:
        pairs = [measure_recovery(*play_case(case, seed)) for seed in SEEDS]
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
    write_pages("recovery", TITLE, {"Cases": rows}, __doc__.split("\n\n")[1])


if __name__ == "__main__":
    main()
