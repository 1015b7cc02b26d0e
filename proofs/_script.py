"""Plays scenarios and judges them."""

from __future__ import annotations

from dataclasses import dataclass

from emulator import Emulation, History, run_virtual

from ._language import Script
from ._oracle import Oracle
from ._sites import make_site

# Seconds after the last step or the end of traffic until which a play goes on.
SETTLE_SECONDS = 14.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold how a scenario ended."""

    title: str
    requests: int
    # Part of the requests that was served.
    served: float
    # A sentence for each promise or expectation that broke.
    breaches: tuple[str, ...]


def judge_script(script: Script) -> Verdict:
    """Play a scenario and return how it ended."""
    site = make_site(script.vms, script.load)
    history = run_virtual(_play(script))
    breaches = Oracle(site).find_breaches(history)
    count = len(history.requests)
    served = sum(it.is_served for it in history.requests) / max(1, count)
    least = script.least_served
    if least is not None and served < least:
        breaches.append(f"Only {served:.0%} were served, not {least:.0%}.")
    return Verdict(script.title, count, served, tuple(breaches))


async def _play(script: Script) -> History:
    site = make_site(script.vms, script.load)
    async with Emulation(site, script.seed) as emulation:
        emulation.start_traffic(script.traffic)
        now = 0.0
        for step in script.steps:
            await emulation.run(step.at - now)
            now = step.at
            await step.act(emulation)
        await emulation.run(max(0.0, script.traffic - now) + SETTLE_SECONDS)
    return emulation.history
