"""Creation of the next stored record, with an audit entry, for an operator's change."""

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

from ._record_codec import validate_backend, validate_contract

MAX_CHANGES_PER_RECORD = 50


@dataclass(frozen=True, slots=True)
class ChangeMetadata:
    """Hold the identifier, author and time of a change."""

    change_id: ChangeId
    # Operator's name.
    who: str
    # Seconds since the epoch.
    at: float


def build_next_contract_record(
    record: ContractRecord | None, contract: Contract, metadata: ChangeMetadata
) -> ContractRecord:
    """Return the next record; raise FireflyquayError if the contract is invalid."""
    validate_contract(contract)
    if record is None:
        return ContractRecord(contract, 1, _append_change((), metadata, None, contract))
    changes = _append_change(record.changes, metadata, record.contract, contract)
    return ContractRecord(contract, record.version + 1, changes)


def build_next_backend_record(
    record: BackendRecord | None, backend: BackendServer, metadata: ChangeMetadata
) -> BackendRecord:
    """Return the next record; raise FireflyquayError if the server is invalid."""
    validate_backend(backend)
    if record is None:
        return BackendRecord(backend, 1, _append_change((), metadata, None, backend))
    changes = _append_change(record.changes, metadata, record.backend, backend)
    return BackendRecord(backend, record.version + 1, changes)


def includes_change(
    record: ContractRecord | BackendRecord, change_id: ChangeId
) -> bool:
    """Return whether a change is among the recent changes of a record."""
    # A change may be stored although the response to its write was lost.
    return any(change.change_id == change_id for change in record.changes)


def _append_change(
    changes: tuple[Change, ...],
    metadata: ChangeMetadata,
    old: Contract | BackendServer | None,
    new: Contract | BackendServer,
) -> tuple[Change, ...]:
    old_json = "" if old is None else _encode_json(old)
    change = Change(
        metadata.change_id, metadata.who, metadata.at, old_json, _encode_json(new)
    )
    return (*changes, change)[-MAX_CHANGES_PER_RECORD:]


def _encode_json(value: Contract | BackendServer) -> str:
    return msgspec.json.encode(value).decode()
