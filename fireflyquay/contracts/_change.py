"""Changes by operators: the next stored value, with its audit in the same write."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from fireflyquay.world import (
    BackendRecord,
    BackendServer,
    Change,
    ChangeId,
    Contract,
    ContractRecord,
)

from ._record_codec import check_backend, check_contract

MAX_KEPT_CHANGES = 50


@dataclass(frozen=True, slots=True)
class ChangeMetadata:
    """Name a change and who makes it."""

    change_id: ChangeId
    who: str
    # Seconds since the epoch.
    at: float


def update_contract_record(
    record: ContractRecord | None, contract: Contract, metadata: ChangeMetadata
) -> ContractRecord:
    """Return the record that puts a contract in force after another, or as first."""
    check_contract(contract)
    if record is None:
        return ContractRecord(contract, 1, _append_change((), metadata, None, contract))
    changes = _append_change(record.changes, metadata, record.contract, contract)
    return ContractRecord(contract, record.version + 1, changes)


def update_backend_record(
    record: BackendRecord | None, backend: BackendServer, metadata: ChangeMetadata
) -> BackendRecord:
    """Return the record that registers or marks a backend server."""
    check_backend(backend)
    if record is None:
        return BackendRecord(backend, 1, _append_change((), metadata, None, backend))
    changes = _append_change(record.changes, metadata, record.backend, backend)
    return BackendRecord(backend, record.version + 1, changes)


def is_applied(record: ContractRecord | BackendRecord, change_id: ChangeId) -> bool:
    """Tell whether a change is among the kept ones, after an answer was lost."""
    return any(change.change_id == change_id for change in record.changes)


def _append_change(
    past: tuple[Change, ...],
    metadata: ChangeMetadata,
    before: Contract | BackendServer | None,
    after: Contract | BackendServer,
) -> tuple[Change, ...]:
    before_text = "" if before is None else _encode_json(before)
    change = Change(
        metadata.change_id, metadata.who, metadata.at, before_text, _encode_json(after)
    )
    return (*past, change)[-MAX_KEPT_CHANGES:]


def _encode_json(value: Contract | BackendServer) -> str:
    return msgspec.json.encode(value).decode()
