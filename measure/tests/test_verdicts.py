"""Tests of the list of days that missed their gate."""

from __future__ import annotations

import msgspec
import pytest

from measure.verdicts import main


@pytest.fixture
def write_entry(tmp_path):
    def write(name, start, *days):
        path = tmp_path / f"{name}.json"
        at = (start, start)
        entry = {"id": name, "at": at, "site": "brolga", "days": days, "cmd": "hunt"}
        path.write_bytes(msgspec.json.encode(entry))
        return str(path)

    return write


def test_hunted_day_short_of_its_gate_is_listed_though_no_rule_is_broken(
    write_entry, capsys
):
    short = "of the largest tenth of quote-tag 0.25 were served, of all 0.55"
    path = write_entry(
        "h1",
        "2026-01-01T10:00:00Z",
        {"name": "quiet", "gate": True, "short": [], "rules": {}, "fault": None},
        {"name": "scale", "gate": False, "short": [short], "rules": {}, "fault": None},
    )
    assert main([path]) == 1
    assert capsys.readouterr().out == f"h1 brolga scale: {short}\n"


def test_broken_rules_and_faults_are_listed(write_entry, capsys):
    path = write_entry(
        "h2",
        "2026-01-01T10:00:00Z",
        {"name": "a", "gate": False, "rules": {"LOST": [{"at": 1.0}]}},
        {"name": "b", "gate": False, "fault": "too slow"},
        {"name": "c", "gate": False},
    )
    assert main([path]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert [line.partition(": ")[2] for line in lines] == [
        "LOST broken",
        "too slow",
        "gate missed",
    ]


def test_earlier_entries_are_excluded(write_entry):
    day = {"name": "a", "gate": False}
    path = write_entry("h3", "2026-01-01T10:00:00Z", day)
    assert main([path, "--since", "2026-01-01T11:00:00Z"]) == 0


def test_malformed_entry_is_reported(tmp_path, capsys):
    path = tmp_path / "bad.json"
    path.write_text("[")
    with pytest.raises(SystemExit) as error:
        main([str(path)])
    assert error.value.code == 2
    assert "not a journal entry" in capsys.readouterr().err
