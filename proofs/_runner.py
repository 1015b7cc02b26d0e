"""Runner of scenarios on an emulated fleet."""

from __future__ import annotations

from dataclasses import dataclass

from emulator import Emulation, History, run_virtual

from ._language import Scenario
from ._oracle import Oracle
from ._sites import make_site

# Time for which a scenario continues after its last step and its traffic.
SETTLE_SECONDS = 14.0


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Hold the result of one scenario."""

    title: str
    request_count: int
    # From 0 to 1.
    served_share: float
    # A message for each violated guarantee and each unmet expectation.
    violations: tuple[str, ...]


def run_scenario(scenario: Scenario) -> ScenarioResult:
    """Run a scenario, check guarantees and expectations, and return the result."""
    site = make_site(scenario.vms, scenario.load)
    history = run_virtual(_run_steps(scenario))
    violations = Oracle(site).find_violations(history)
    count = len(history.requests)
    served_share = sum(it.is_served for it in history.requests) / max(1, count)
    min_share = scenario.min_served_share
    if min_share is not None and served_share < min_share:
        violations.append(
            f"{served_share:.0%} of requests were served; "
            f"expected {min_share:.0%} or more."
        )
    return ScenarioResult(scenario.title, count, served_share, tuple(violations))


async def _run_steps(scenario: Scenario) -> History:
    site = make_site(scenario.vms, scenario.load)
    async with Emulation(site, scenario.seed) as emulation:
        emulation.start_traffic(scenario.traffic_seconds)
        now = 0.0
        for step in scenario.steps:
            await emulation.run(step.at - now)
            now = step.at
            await step.action(emulation)
        await emulation.run(max(0.0, scenario.traffic_seconds - now) + SETTLE_SECONDS)
    return emulation.history
