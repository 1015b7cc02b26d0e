"""Search for a request in structured logs."""

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
# Fields that identify a request.
ID_FIELDS = ("id", "key", "fingerprint")
# Fields that format_line prints in fixed positions or, like level, omits.
COMMON_FIELDS = ("time", "level", "part", "event")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one decoded log line."""

    logged_at: datetime
    # Path of the log file.
    source: str
    fields: dict[str, Any]


def read_logs(paths: Sequence[str]) -> tuple[list[LogLine], int]:
    """Return the decoded lines of all logs and the number of invalid lines.

    Raises FireflyquayError with NOT_FOUND for a file that can't be read.
    """
    lines: list[LogLine] = []
    invalid = 0
    for path in paths:
        for raw_line in _read_raw_lines(path):
            line = _decode_line(path, raw_line)
            if line is None:
                invalid += 1
            else:
                lines.append(line)
    return lines, invalid


def find_lines(lines: Iterable[LogLine], name: str, around: float) -> list[LogLine]:
    """Return the lines of a request, ordered by time.

    The name is the id, key or fingerprint of the request; the other identifiers on its
    lines are searched for too. Lines without identifiers are included if logged at most
    `around` seconds before the first or after the last matching line.
    """
    lines = sorted(lines, key=lambda line: line.logged_at)
    ids = {name}
    for line in lines:
        if name in _get_request_ids(line):
            ids.update(_get_request_ids(line))
    matching = [line for line in lines if ids & _get_request_ids(line)]
    if not matching or around <= 0:
        return matching
    first, last = matching[0].logged_at, matching[-1].logged_at
    return [
        line
        for line in lines
        if ids & _get_request_ids(line)
        or (not _get_request_ids(line) and _is_within(line, first, last, around))
    ]


def format_line(line: LogLine) -> str:
    """Return human-readable text for a log line."""
    other_fields = {k: v for k, v in line.fields.items() if k not in COMMON_FIELDS}
    details = "  ".join(f"{key}={value}" for key, value in other_fields.items())
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


def _decode_line(source: str, raw_line: bytes) -> LogLine | None:
    start = raw_line.find(b"{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(raw_line[start:], type=dict[str, Any])
        logged_at = datetime.fromisoformat(fields["time"])
    except (msgspec.MsgspecError, UnicodeDecodeError, KeyError, TypeError, ValueError):
        return None
    return LogLine(logged_at, source, fields) if logged_at.tzinfo else None


def _get_request_ids(line: LogLine) -> set[str]:
    return {str(line.fields[name]) for name in ID_FIELDS if line.fields.get(name)}


def _is_within(line: LogLine, first: datetime, last: datetime, seconds: float) -> bool:
    seconds_before = (first - line.logged_at).total_seconds()
    seconds_after = (line.logged_at - last).total_seconds()
    return max(seconds_before, seconds_after) <= seconds
