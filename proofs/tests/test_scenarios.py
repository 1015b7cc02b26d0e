"""Each scenario keeps its promises; bad ones get a coded error with their line."""

from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from proofs._language import ScriptCode, ScriptError, parse_scripts
from proofs._script import judge_script

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
    assert not judge_script(script).breaches


@pytest.mark.parametrize(
    ("text", "code", "line"),
    [
        ("", ScriptCode.BAD_SYNTAX, 1),
        (GOOD.replace("kill", "tease"), ScriptCode.BAD_SYNTAX, 3),
        (GOOD.replace("1s", "1"), ScriptCode.BAD_SYNTAX, 3),
        (GOOD.replace("3 VMs", "300 VMs"), ScriptCode.OUT_OF_RANGE, 3),
        (GOOD.replace("1s", "9999s"), ScriptCode.OUT_OF_RANGE, 3),
        (
            GOOD.replace("at 1s kill", "at 2s add VM\nat 1s kill"),
            ScriptCode.OUT_OF_ORDER,
            4,
        ),
    ],
)
def test_a_bad_scenario_is_told_with_its_line(text, code, line):
    with pytest.raises(ScriptError) as caught:
        parse_scripts(text)
    assert (caught.value.code, caught.value.line) == (code, line)


@settings(max_examples=200)
@given(st.text('\n "%0123456789VMacdefghiklnoprstuvwy#-.', max_size=80))
def test_any_text_is_read_or_refused(text):
    try:
        parse_scripts(text)
    except ScriptError as error:
        assert error.line >= 1


def test_an_expectation_that_is_not_met_is_told():
    text = GOOD.replace("all promises", "100% served").replace("3 VMs", "load 9")
    [script] = parse_scripts(text)
    [breach] = judge_script(script).breaches
    assert "were served" in breach
