"""Encoding of stored records as JSON with a format version."""

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
# Paths of records in the store.
CONTRACTS_PREFIX = "contracts/"
BACKENDS_PREFIX = "backends/"
_MAX_PORT = 65535
RecordT = TypeVar("RecordT", ContractRecord, BackendRecord)


class _VersionedRecord(msgspec.Struct, frozen=True):
    format: int
    record: msgspec.Raw


class RecordCodec(Generic[RecordT]):
    """Encoder and decoder for one type of record."""

    def __init__(self, record_type: type[RecordT], code: Code) -> None:
        self._error_code = code
        self._envelope_decoder = msgspec.json.Decoder(_VersionedRecord)
        self._record_decoder = msgspec.json.Decoder(record_type)

    def encode(self, record: RecordT) -> bytes:
        """Return the stored form of a record."""
        raw = msgspec.Raw(msgspec.json.encode(record))
        return msgspec.json.encode(_VersionedRecord(FORMAT_VERSION, raw))

    def decode(self, value: bytes) -> RecordT:
        """Return a decoded record; raise FireflyquayError if it can't be decoded."""
        try:
            envelope = self._envelope_decoder.decode(value)
            if envelope.format != FORMAT_VERSION:
                raise FireflyquayError(
                    self._error_code,
                    f"The record's format is {envelope.format}, not {FORMAT_VERSION}.",
                )
            return self._record_decoder.decode(envelope.record)
        except DECODE_ERRORS as error:
            raise FireflyquayError(
                self._error_code, f"The stored record cannot be decoded: {error}."
            ) from error


def validate_contract(contract: Contract) -> None:
    """Raise FireflyquayError if a contract has an invalid value."""
    limits = contract.limits
    numbers = (limits.requests_per_second, limits.tokens_per_second, contract.share)
    if not all(math.isfinite(n) and n >= 0 for n in numbers) or limits.in_flight < 0:
        raise FireflyquayError(
            Code.BAD_CONTRACT,
            "The limits and the share must be finite and at least 0, but are "
            f"{limits} and {contract.share}.",
        )
    if contract.share == 0:
        raise FireflyquayError(
            Code.BAD_CONTRACT, f"The share is {contract.share}; it must be above 0."
        )
    if not contract.token or not contract.customer:
        raise FireflyquayError(
            Code.BAD_CONTRACT, "The customer and the token must not be empty."
        )


def validate_backend(backend: BackendServer) -> None:
    """Raise FireflyquayError if a backend server has an invalid value."""
    if not backend.server or not backend.pool or not backend.host:
        raise FireflyquayError(
            Code.BAD_SETTINGS, "The server, the pool and the host must not be empty."
        )
    if not 0 < backend.port <= _MAX_PORT:
        raise FireflyquayError(
            Code.BAD_SETTINGS,
            f"The port is {backend.port}; it must be from 1 to {_MAX_PORT}.",
        )
    if backend.slots < 0 or backend.token_slots < 0:
        raise FireflyquayError(
            Code.BAD_SETTINGS,
            "The slots and token slots must be at least 0, but are "
            f"{backend.slots} and {backend.token_slots}.",
        )


CONTRACT_CODEC = RecordCodec(ContractRecord, Code.BAD_CONTRACT)
BACKEND_CODEC = RecordCodec(BackendRecord, Code.BAD_SETTINGS)
