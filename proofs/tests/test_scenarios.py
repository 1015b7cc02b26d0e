"""Each scenario keeps its promises; one that breaks them is told."""

from pathlib import Path

import pytest

from proofs._language import parse_scenarios
from proofs._runner import run_scenario

FOLDER = Path(__file__).parents[1] / "scenarios"
SCENARIOS = [
    scenario
    for path in sorted(FOLDER.glob("*.scenario"))
    for scenario in parse_scenarios(path.read_text())
]
GOOD = """scenario "x"
given 3 VMs
at 1s kill coordinator
expect all promises
"""


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.title)
def test_scenario(scenario):
    assert not run_scenario(scenario).violations


def test_an_expectation_that_is_not_met_is_told():
    text = GOOD.replace("all promises", "100% served").replace("3 VMs", "load 9")
    [scenario] = parse_scenarios(text)
    [violation] = run_scenario(scenario).violations
    assert "were served" in violation
