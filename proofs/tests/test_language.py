"""Tests of the scenario parser, its error codes and lines, and of the command."""

import re

import pytest
from hypothesis import example, given, settings, strategies as st

from proofs._language import GRAMMAR, ScenarioError, ScenarioErrorCode, parse_scenarios
from proofs.run import main

VALID_SCENARIO = """\
# A comment.
scenario "several troubles"
given 3 VMs
given load 1.5
given traffic for 3s
at 500ms kill coordinator
at 1s cut VM 1 from VM 2 for 1s   # a change
at 1s crash llm-0 for 1s
at 2s change key of account-0
expect all promises
expect 10% served
"""
WORDS = sorted(set(re.findall(r'"([a-zA-Z]+)"', GRAMMAR.read_text())))
VALUES = ["llm-0", "app-9", "account-1", "3", "1s", "5%", "0", "2.5", '"title"']


def replace(old, new):
    assert old in VALID_SCENARIO
    return VALID_SCENARIO.replace(old, new)


def test_valid_scenario_is_parsed():
    [scenario] = parse_scenarios(VALID_SCENARIO)
    assert (scenario.vms, scenario.load, scenario.traffic_seconds) == (3, 1.5, 3.0)
    assert [step.line for step in scenario.steps] == [6, 7, 8, 9]
    assert [step.at for step in scenario.steps] == [0.5, 1.0, 1.0, 2.0]
    assert scenario.min_served_share == 0.1


@pytest.mark.parametrize(
    ("old", "new", "code", "line", "expected"),
    [
        (VALID_SCENARIO, "", ScenarioErrorCode.BAD_SYNTAX, 1, "scenario"),
        ("kill", "reboot", ScenarioErrorCode.BAD_SYNTAX, 6, "kill"),
        ("at 500ms", "at 500", ScenarioErrorCode.BAD_SYNTAX, 6, "time"),
        ('"several troubles"', "several", ScenarioErrorCode.BAD_SYNTAX, 2, "title"),
        ("3 VMs", "300 VMs", ScenarioErrorCode.OUT_OF_RANGE, 3, "1 to 30 VMs"),
        ("3 VMs", "0 VMs", ScenarioErrorCode.OUT_OF_RANGE, 3, "1 to 30 VMs"),
        (
            "load 1.5",
            "load 5000",
            ScenarioErrorCode.OUT_OF_RANGE,
            4,
            "load of at most 10",
        ),
        ("load 1.5", "load 0", ScenarioErrorCode.OUT_OF_RANGE, 4, "above 0"),
        ("for 3s", "for 9999s", ScenarioErrorCode.OUT_OF_RANGE, 5, "at most 600s"),
        ("at 2s", "at 9999s", ScenarioErrorCode.OUT_OF_RANGE, 9, "at most 600s"),
        ("2 for 1s", "2 for 9999s", ScenarioErrorCode.OUT_OF_RANGE, 7, "at most 600s"),
        ("10%", "101%", ScenarioErrorCode.OUT_OF_RANGE, 11, "at most 100%"),
        ("at 500ms", "at 2s", ScenarioErrorCode.OUT_OF_ORDER, 7, "2s or later"),
        ("llm-0", "llm-7", ScenarioErrorCode.UNKNOWN_NAME, 8, "llm-2"),
        (
            "crash llm-0 for 1s",
            "remove lm-0",
            ScenarioErrorCode.UNKNOWN_NAME,
            8,
            "app-0",
        ),
        ("account-0", "account-9", ScenarioErrorCode.UNKNOWN_NAME, 9, "account-4"),
    ],
)
def test_invalid_scenario_is_rejected_with_line_and_expectation(
    old, new, code, line, expected
):
    with pytest.raises(ScenarioError) as caught:
        parse_scenarios(replace(old, new))
    assert (caught.value.code, caught.value.line) == (code, line)
    assert expected in str(caught.value)


def parse_or_reject(text):
    try:
        assert parse_scenarios(text)
    except ScenarioError as error:
        assert 1 <= error.line <= text.count("\n") + 2
        assert str(error)


@settings(derandomize=True, deadline=None, max_examples=200)
@example("")
@example('scenario "x"\n')
@given(st.text(max_size=200))
def test_any_text_is_parsed_or_rejected(text):
    parse_or_reject(text)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.text('\n "%0123456789VMacdefghiklnoprstuvwy#-.', max_size=80))
def test_any_text_in_the_alphabet_is_parsed_or_rejected(text):
    parse_or_reject(text)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    index=st.integers(0, VALID_SCENARIO.count("\n") - 1),
    words=st.lists(st.sampled_from(WORDS + VALUES), max_size=9),
)
def test_any_line_of_keywords_is_parsed_or_rejected(index, words):
    lines = VALID_SCENARIO.splitlines()
    lines[index] = " ".join(words)
    parse_or_reject("\n".join(lines))


@settings(derandomize=True, deadline=None)
@given(st.integers(0, len(VALID_SCENARIO)), st.integers(0, 20), st.text(max_size=5))
def test_any_edit_is_parsed_or_rejected(start, length, text):
    parse_or_reject(VALID_SCENARIO[:start] + text + VALID_SCENARIO[start + length :])


def test_command_reports_invalid_files_and_violations(tmp_path, capsys, monkeypatch):
    def run(*paths):
        monkeypatch.setattr("sys.argv", ["proofs.run", *map(str, paths)])
        return main()

    good, bad = tmp_path / "good.scenario", tmp_path / "bad.scenario"
    good.write_text(VALID_SCENARIO)
    bad.write_text(replace("10% served", "100% served").replace("1.5", "9"))
    assert run(good) == 0
    assert run(good, bad) == 1
    assert "were served" in capsys.readouterr().out
    bad.write_text("scenario")
    assert run(bad) == 2
    assert "BAD_SYNTAX" in capsys.readouterr().err
    assert run(tmp_path / "none.scenario") == 2
    bad.write_bytes(b"\xff\xfe")
    assert run(bad) == 2
