"""Each scenario keeps its promises; one that breaks them is told."""

from pathlib import Path

import pytest

from proofs._language import parse_scripts
from proofs._runner import judge_script

FOLDER = Path(__file__).parents[1] / "scenarios"
SCRIPTS = [
    script
    for path in sorted(FOLDER.glob("*.scenario"))
    for script in parse_scripts(path.read_text())
]
GOOD = """scenario "x"
given 3 VMs
at 1s kill coordinator
expect all promises
"""


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.title)
def test_scenario(script):
    assert not judge_script(script).violations


def test_an_expectation_that_is_not_met_is_told():
    text = GOOD.replace("all promises", "100% served").replace("3 VMs", "load 9")
    [script] = parse_scripts(text)
    [violation] = judge_script(script).violations
    assert "were served" in violation
