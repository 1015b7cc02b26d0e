"""Output formats and exit codes of the commands."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from enum import IntEnum
from typing import Any

import msgspec

from fireflyquay.client import EntriesUnreachable, RequestFailed
from fireflyquay.world import (
    DECODE_ERRORS,
    Code,
    FireflyquayError,
    Tier,
    Verdict,
)

HIDDEN_VALUE = "(hidden)"


class ExitCode(IntEnum):
    """Enumerate the exit codes of commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    MAY_HAVE_RUN = 5


class UsageError(FireflyquayError):
    """Report invalid arguments or environment variables of a command."""


class ErrorOutput(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the error of a command for JSON output."""

    code: str
    sentence: str
    verdict: str = ""
    key: str = ""


def get_exit_code(error: FireflyquayError) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, RequestFailed) and error.verdict is Verdict.MAY_HAVE_RUN:
        return ExitCode.MAY_HAVE_RUN
    if isinstance(error, EntriesUnreachable):
        return ExitCode.UNREACHABLE
    if isinstance(error, RequestFailed):
        return ExitCode.FAILED
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if error.code is Code.VERSION_CONFLICT:
        return ExitCode.CONFLICT
    if error.code is Code.STORE_UNAVAILABLE:
        return ExitCode.UNREACHABLE
    return ExitCode.FAILED


def format_error(error: FireflyquayError, as_json: bool) -> str:
    """Return an error as one JSON object or as text."""
    verdict, key = "", ""
    if isinstance(error, RequestFailed):
        verdict, key = error.verdict.value, error.key
    if as_json:
        return format_json(ErrorOutput(error.code.value, error.sentence, verdict, key))
    text = f"{error.code.value}: {error.sentence}"
    if verdict:
        text += f" Verdict: {verdict}."
    return f"{text} Key: {key}." if key else text


def format_json(value: Any) -> str:
    """Return a value as one line of JSON."""
    return msgspec.json.encode(value).decode()


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a header and rows as aligned columns."""
    lines = [tuple(header), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_tree(value: Any, indent: int = 0, inline: bool = False) -> str:
    """Return a JSON value as indented text, with flat objects on one line if inline."""
    indentation = "  " * indent
    if isinstance(value, dict):
        items = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        items = [("-", item) for item in value]
    else:
        return f"{indentation}{value}"
    lines = []
    for name, item in items:
        if inline and isinstance(item, dict) and _is_flat(item):
            parts = [f"{key} {part}" for key, part in item.items()]
            lines.append(f"{indentation}{name}: {', '.join(parts) or 'none'}")
        elif isinstance(item, dict | list) and item:
            lines.append(f"{indentation}{name}")
            lines.append(format_tree(item, indent + 1, inline))
        else:
            lines.append(f"{indentation}{name} {item}")
    return "\n".join(lines)


def _is_flat(value: dict) -> bool:
    return not any(isinstance(item, dict | list) for item in value.values())


def replace_tier_numbers(value: Any) -> Any:
    """Return the JSON value of a contract with names instead of tier numbers."""
    if not isinstance(value, dict) or not isinstance(value.get("tiers"), dict):
        return value
    names = {tier.value: tier.name for tier in Tier}
    tiers = {kind: names.get(tier, tier) for kind, tier in value["tiers"].items()}
    return {**value, "tiers": tiers}


def format_time(timestamp_seconds: float) -> str:
    """Return seconds since the epoch as an ISO 8601 time in UTC."""
    try:
        return datetime.fromtimestamp(timestamp_seconds, UTC).isoformat(
            timespec="milliseconds"
        )
    except (OverflowError, ValueError, OSError):
        return str(timestamp_seconds)


def to_json_value(value: Any) -> Any:
    """Return a value converted to JSON types."""
    return msgspec.to_builtins(value)


def redact_tokens(value: Any) -> Any:
    """Return a JSON value with the value of every key `token` replaced."""
    if isinstance(value, dict):
        return {
            key: HIDDEN_VALUE if key == "token" else redact_tokens(item)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [redact_tokens(item) for item in value]
    return value


def decode_and_redact(text: str) -> Any:
    """Return redacted JSON, None if the text is empty, or text that is not JSON."""
    if not text:
        return None
    try:
        return redact_tokens(msgspec.json.decode(text))
    except DECODE_ERRORS:
        return text
