"""List days that missed their gate: ``python -m measure.verdicts [ENTRY...]``.

A hunt's summary counts broken rules only. Its journal entry also holds whether each day
passes its gate, and by what it falls short.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from fireflyquay.world import DECODE_ERRORS

JOURNAL_FOLDER = Path(__file__).parent.parent / "journal"


class _Day(msgspec.Struct):
    name: str
    # None for days that have no gate.
    gate: bool | None = None
    # Figures below their floors.
    short: tuple[str, ...] = ()
    # Broken rules with their evidence.
    rules: dict[str, object] = {}
    # Why the day counts as not played.
    fault: str | None = None


class _Entry(msgspec.Struct):
    id: str
    # Start and end of the run in ISO 8601.
    at: tuple[str, str]
    site: str | None = None
    days: tuple[_Day, ...] | None = ()


@dataclass(frozen=True, slots=True)
class MissedGate:
    """Describe a day that did not pass its gate."""

    entry_id: str
    site: str
    day: str
    reasons: tuple[str, ...]


def list_missed_gates(paths: Sequence[Path], since: str = "") -> Iterator[MissedGate]:
    """Yield the days of journal entries that missed their gate.

    ``since`` excludes entries of runs that started earlier; raises ValueError for an
    entry that can't be decoded.
    """
    for path in paths:
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
        except DECODE_ERRORS as error:
            raise ValueError(f"{path} is not a journal entry: {error}") from error
        if entry.at[0] < since:
            continue
        for day in entry.days or ():
            reasons = _list_reasons(day)
            if reasons:
                yield MissedGate(entry.id, entry.site or "", day.name, reasons)


def main(argv: Sequence[str] | None = None) -> int:
    """Print the days that missed their gate; return 1 if there are any."""
    parser = argparse.ArgumentParser(
        prog="python -m measure.verdicts", description=__doc__
    )
    parser.add_argument(
        "entry", nargs="*", type=Path, help="journal files; all if none"
    )
    parser.add_argument("--since", default="", help="ISO 8601 time of the first run")
    arguments = parser.parse_args(argv)
    paths = arguments.entry or sorted(JOURNAL_FOLDER.glob("*.json"))
    try:
        missed = list(list_missed_gates(paths, arguments.since))
    except (OSError, ValueError) as error:
        parser.error(str(error))
    for it in missed:
        print(f"{it.entry_id} {it.site} {it.day}: {'; '.join(it.reasons)}")
    return 1 if missed else 0


def _list_reasons(day: _Day) -> tuple[str, ...]:
    reasons = (*(f"{rule} broken" for rule in day.rules), *day.short)
    if day.fault is not None and not any(day.fault in it for it in reasons):
        reasons = (*reasons, day.fault)
    if not reasons and day.gate is False:
        reasons = ("gate missed",)
    return reasons


if __name__ == "__main__":
    sys.exit(main())
