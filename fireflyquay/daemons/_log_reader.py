"""Finds what structured logs tell of a request."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from fireflyquay.world import Code, FireflyquayError

STANDARD_INPUT = "-"
# Fields that name a request.
ID_FIELDS = ("id", "key", "fingerprint")
# Fields that each line has, shown first.
COMMON_FIELDS = ("time", "level", "part", "event")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a log."""

    logged_at: datetime
    # File that it stands in.
    source: str
    fields: dict[str, Any]


def read_logs(paths: Sequence[str]) -> tuple[list[LogLine], int]:
    """Return the lines of logs, and how many lines are none.

    Raises NOT_FOUND for a file that can't be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        for text in _read_raw_lines(path):
            line = _decode_line(path, text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    return lines, unreadable


def find_lines(lines: Iterable[LogLine], name: str, around: float) -> list[LogLine]:
    """Return the lines that name a request, in order of time.

    Lines that name no request are added if they stand within so many seconds.
    """
    lines = sorted(lines, key=lambda line: line.logged_at)
    ids = {name}
    for line in lines:
        if name in _get_request_ids(line):
            ids.update(_get_request_ids(line))
    own = [line for line in lines if ids & _get_request_ids(line)]
    if not own or around <= 0:
        return own
    first, last = own[0].logged_at, own[-1].logged_at
    return [
        line
        for line in lines
        if ids & _get_request_ids(line)
        or (not _get_request_ids(line) and _is_within(line, first, last, around))
    ]


def format_line(line: LogLine) -> str:
    """Write a line for people."""
    shown = {k: v for k, v in line.fields.items() if k not in COMMON_FIELDS}
    details = "  ".join(f"{key}={value}" for key, value in shown.items())
    time = line.logged_at.isoformat(timespec="milliseconds")
    part, event = line.fields.get("part", ""), line.fields.get("event", "")
    return f"{time}  {line.source}  {part}: {event}  {details}".rstrip()


def _read_raw_lines(path: str) -> Iterator[bytes]:
    if path == STANDARD_INPUT:
        yield from sys.stdin.buffer
        return
    try:
        with Path(path).open("rb") as file:
            yield from file
    except OSError as error:
        sentence = f"{path} can't be read: {error.strerror}."
        raise FireflyquayError(Code.NOT_FOUND, sentence) from error


def _decode_line(source: str, text: bytes) -> LogLine | None:
    start = text.find(b"{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, Any])
        logged_at = datetime.fromisoformat(fields["time"])
    except (msgspec.MsgspecError, UnicodeDecodeError, KeyError, TypeError, ValueError):
        return None
    return LogLine(logged_at, source, fields) if logged_at.tzinfo else None


def _get_request_ids(line: LogLine) -> set[str]:
    return {str(line.fields[name]) for name in ID_FIELDS if line.fields.get(name)}


def _is_within(line: LogLine, first: datetime, last: datetime, seconds: float) -> bool:
    before = (first - line.logged_at).total_seconds()
    after = (line.logged_at - last).total_seconds()
    return max(before, after) <= seconds
