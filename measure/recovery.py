"""Seconds until traffic is served again after a loss: ``python -m measure.recovery``.

Plays whole gateways in virtual time; the figures are the same in each run. The start of
a process itself, some 0.4 s, is not in them.
"""

from __future__ import annotations

import statistics
from collections.abc import Awaitable, Callable

from emulator import Emulation, History, run_virtual
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
    emulation.stop_store(STORE_SECONDS)
    await lose_power(emulation)
    return emulation.loop.time() - 2.0 + STORE_SECONDS


async def lose_store(emulation: Emulation) -> float:
    """Lose the store for ten seconds; count from its return."""
    emulation.stop_store(STORE_SECONDS)
    return emulation.loop.time() + STORE_SECONDS


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


def play_case(case: Case, seed: int) -> tuple[History, float]:
    """Play a case; return what was seen and the time from which recovery counts."""

    async def run() -> tuple[History, float]:
        async with Emulation(make_site(VMS), seed) as emulation:
            emulation.start_traffic(TRAFFIC_SECONDS)
            await emulation.run(LOSS_AT)
            back_at = await case(emulation)
            await emulation.run(END_AT - emulation.loop.time())
        return emulation.history, back_at

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
