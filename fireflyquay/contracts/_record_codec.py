"""Encoding of stored records as JSON with a format version, and their validation."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

import msgspec

from fireflyquay.world import (
    DECODE_ERRORS,
    MAX_COUNT,
    BackendRecord,
    BackendServer,
    Code,
    Contract,
    ContractRecord,
    FireflyquayError,
)

FORMAT_VERSION = 1
# Path prefixes of records in the store.
CONTRACTS_PREFIX = "contracts/"
BACKENDS_PREFIX = "backends/"
_MAX_PORT = 65535
RecordT = TypeVar("RecordT", ContractRecord, BackendRecord)


class _VersionedRecord(msgspec.Struct, frozen=True):
    format: int
    record: msgspec.Raw


class RecordCodec(Generic[RecordT]):
    """Encode and decode records of one type."""

    def __init__(self, record_type: type[RecordT], error_code: Code) -> None:
        self._error_code = error_code
        self._envelope_decoder = msgspec.json.Decoder(_VersionedRecord)
        self._record_decoder = msgspec.json.Decoder(record_type)

    def encode(self, record: RecordT) -> bytes:
        """Return the stored form of a record."""
        raw = msgspec.Raw(msgspec.json.encode(record))
        return msgspec.json.encode(_VersionedRecord(FORMAT_VERSION, raw))

    def decode(self, value: bytes) -> RecordT:
        """Decode a record; raise FireflyquayError if the value is malformed."""
        try:
            versioned_record = self._envelope_decoder.decode(value)
            if versioned_record.format != FORMAT_VERSION:
                raise FireflyquayError(
                    self._error_code,
                    f"The record has format version {versioned_record.format}; "
                    f"only version {FORMAT_VERSION} is supported.",
                )
            return self._record_decoder.decode(versioned_record.record)
        except DECODE_ERRORS as error:
            raise FireflyquayError(
                self._error_code, f"The stored record cannot be decoded: {error}."
            ) from error


def validate_contract(contract: Contract) -> None:
    """Raise FireflyquayError if a contract has an invalid value."""
    limits = contract.limits
    numbers = (limits.requests_per_second, limits.tokens_per_second, contract.share)
    is_finite = all(math.isfinite(n) and n >= 0 for n in numbers)
    if not is_finite or not 0 <= limits.in_flight <= MAX_COUNT:
        raise FireflyquayError(
            Code.BAD_CONTRACT,
            "The limits must be at least 0 and finite, and the share must be finite "
            f"and above 0; they are {limits} and {contract.share}.",
        )
    if contract.share == 0:
        raise FireflyquayError(
            Code.BAD_CONTRACT, f"The share is {contract.share}; it must be above 0."
        )
    if not contract.token or not contract.customer:
        raise FireflyquayError(
            Code.BAD_CONTRACT, "The values of customer and token must not be empty."
        )


def validate_backend(backend: BackendServer) -> None:
    """Raise FireflyquayError if a backend server has an invalid value."""
    if not backend.server or not backend.pool or not backend.host:
        raise FireflyquayError(
            Code.BAD_SETTINGS, "The values of server, pool and host must not be empty."
        )
    if not 0 < backend.port <= _MAX_PORT:
        raise FireflyquayError(
            Code.BAD_SETTINGS,
            f"The port is {backend.port}; it must be from 1 to {_MAX_PORT}.",
        )
    if backend.slots < 0 or backend.token_slots < 0:
        raise FireflyquayError(
            Code.BAD_SETTINGS,
            "The values of slots and token_slots must be at least 0; they are "
            f"{backend.slots} and {backend.token_slots}.",
        )


CONTRACT_CODEC = RecordCodec(ContractRecord, Code.BAD_CONTRACT)
BACKEND_CODEC = RecordCodec(BackendRecord, Code.BAD_SETTINGS)
