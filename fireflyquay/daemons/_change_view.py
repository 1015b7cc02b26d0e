"""Output format of the audit trail."""

from __future__ import annotations

from typing import Any

import msgspec

from fireflyquay.world import BackendRecord, ContractRecord

from ._output import decode_and_redact, format_json, format_time, replace_tier_numbers


class ChangeView(msgspec.Struct, frozen=True):
    """Hold one change of the audit trail as printed."""

    path: str
    change_id: str
    who: str
    # Seconds since the epoch, by the clock of the operator's machine.
    at: float
    before: Any
    after: Any


def make_change_views(
    path: str, record: ContractRecord | BackendRecord
) -> list[ChangeView]:
    """Return the recent changes of a record, oldest first, with tokens redacted."""
    return [
        ChangeView(
            path,
            change.change_id,
            change.who,
            change.at,
            replace_tier_numbers(decode_and_redact(change.before)),
            replace_tier_numbers(decode_and_redact(change.after)),
        )
        for change in record.changes
    ]


def format_change(change: ChangeView) -> str:
    """Return human-readable text for a change."""
    before = "nothing" if change.before is None else format_json(change.before)
    summary = f"{format_time(change.at)} {change.who} changed {change.path}"
    after = format_json(change.after)
    return f"{summary} ({change.change_id})\n  before {before}\n  after  {after}"
