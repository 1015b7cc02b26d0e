"""Encoding of stored records: JSON with a format number."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

import msgspec

from fireflyquay.world import (
    DECODE_ERRORS,
    BackendRecord,
    BackendServer,
    Code,
    Contract,
    ContractRecord,
    FireflyquayError,
)

FORMAT_VERSION = 1
# Where records stand in the store.
CONTRACTS_PREFIX = "contracts/"
BACKENDS_PREFIX = "backends/"
_MAX_PORT = 65535
RecordT = TypeVar("RecordT", ContractRecord, BackendRecord)


class _Envelope(msgspec.Struct, frozen=True):
    format: int
    record: msgspec.Raw


class RecordCodec(Generic[RecordT]):
    """Write and read one type of record, with a coded error for unreadable ones."""

    def __init__(self, record_type: type[RecordT], code: Code) -> None:
        self._code = code
        self._envelopes = msgspec.json.Decoder(_Envelope)
        self._records = msgspec.json.Decoder(record_type)

    def encode(self, record: RecordT) -> bytes:
        """Return a record as stored."""
        raw = msgspec.Raw(msgspec.json.encode(record))
        return msgspec.json.encode(_Envelope(FORMAT_VERSION, raw))

    def decode(self, value: bytes) -> RecordT:
        """Read a stored record; raise FireflyquayError when it is unreadable."""
        try:
            envelope = self._envelopes.decode(value)
            if envelope.format != FORMAT_VERSION:
                raise FireflyquayError(
                    self._code, f"Format {envelope.format} is unknown."
                )
            return self._records.decode(envelope.record)
        except DECODE_ERRORS as error:
            raise FireflyquayError(
                self._code, f"The stored value is unreadable: {error}."
            ) from error


def check_contract(contract: Contract) -> None:
    """Raise FireflyquayError when a contract's values make no sense."""
    limits = contract.limits
    numbers = (limits.requests_per_second, limits.tokens_per_second, contract.share)
    if not all(math.isfinite(n) and n >= 0 for n in numbers) or limits.in_flight < 0:
        raise FireflyquayError(Code.BAD_CONTRACT, "A limit or share is out of range.")
    if contract.share == 0:
        raise FireflyquayError(Code.BAD_CONTRACT, "The share must be above zero.")
    if not contract.token or not contract.customer:
        raise FireflyquayError(Code.BAD_CONTRACT, "Customer or token is empty.")


def check_backend(backend: BackendServer) -> None:
    """Raise FireflyquayError when a backend server's values make no sense."""
    if not backend.server or not backend.pool or not backend.host:
        raise FireflyquayError(Code.BAD_SETTINGS, "Server, pool or host is empty.")
    if not 0 < backend.port <= _MAX_PORT:
        raise FireflyquayError(Code.BAD_SETTINGS, "The port is out of range.")
    if backend.slots < 0 or backend.token_slots < 0:
        raise FireflyquayError(Code.BAD_SETTINGS, "Slots must not be negative.")


CONTRACT_CODEC = RecordCodec(ContractRecord, Code.BAD_CONTRACT)
BACKEND_CODEC = RecordCodec(BackendRecord, Code.BAD_SETTINGS)
