"""Tests of the scenario files and of the report of unmet expectations."""

from pathlib import Path

import pytest

from proofs._language import parse_scenarios
from proofs._runner import run_scenario

SCENARIO_DIRECTORY = Path(__file__).parents[1] / "scenarios"
SCENARIOS = [
    scenario
    for path in sorted(SCENARIO_DIRECTORY.glob("*.scenario"))
    for scenario in parse_scenarios(path.read_text())
]
SHORT_SCENARIO = """scenario "x"
given 3 VMs
at 1s kill coordinator
expect all promises
"""


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.title)
def test_scenario_violates_no_guarantee(scenario):
    assert not run_scenario(scenario).violations


def test_unmet_expectation_is_reported():
    text = SHORT_SCENARIO.replace("all promises", "100% served").replace(
        "3 VMs", "load 9"
    )
    [scenario] = parse_scenarios(text)
    [violation] = run_scenario(scenario).violations
    assert "were served" in violation
