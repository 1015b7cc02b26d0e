"""Plays scenarios and judges them."""

from __future__ import annotations

from dataclasses import dataclass

from emulator import Evidence, Stage, run_virtual

from ._language import Scenario
from ._oracle import Oracle
from ._sites import make_site

# Seconds after the last step or the end of traffic until which a play goes on.
SETTLE_SECONDS = 14.0


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Hold how a scenario ended."""

    title: str
    request_count: int
    # Part of the requests that was served.
    served_share: float
    # A sentence for each promise or expectation that broke.
    violations: tuple[str, ...]


def run_scenario(scenario: Scenario) -> ScenarioResult:
    """Play a scenario and return how it ended."""
    site = make_site(scenario.vms, scenario.load)
    evidence = run_virtual(_run_steps(scenario))
    violations = Oracle(site).find_violations(evidence)
    count = len(evidence.requests)
    served_share = sum(it.is_served for it in evidence.requests) / max(1, count)
    least = scenario.min_served_share
    if least is not None and served_share < least:
        violations.append(f"Only {served_share:.0%} were served, not {least:.0%}.")
    return ScenarioResult(scenario.title, count, served_share, tuple(violations))


async def _run_steps(scenario: Scenario) -> Evidence:
    site = make_site(scenario.vms, scenario.load)
    async with Stage(site, scenario.seed) as stage:
        stage.start_traffic(scenario.traffic_seconds)
        now = 0.0
        for step in scenario.steps:
            await stage.run(step.at - now)
            now = step.at
            await step.action(stage)
        await stage.run(max(0.0, scenario.traffic_seconds - now) + SETTLE_SECONDS)
    return stage.evidence
