"""Stored records of contracts and backend servers, with conditional writes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Generic, TypeVar

from fireflyquay.contracts import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    ChangeMetadata,
    RecordCodec,
    StoreConflict,
    StoredValue,
    StoreFailure,
    StoreList,
    StoreListResult,
    StoreNotFound,
    StoreRead,
    StoreRequest,
    StoreResponse,
    StoreWrite,
    build_next_backend_record,
    build_next_contract_record,
    includes_change,
)
from fireflyquay.world import (
    BackendRecord,
    BackendServer,
    BackendState,
    Code,
    Contract,
    ContractRecord,
    FireflyquayError,
)

if TYPE_CHECKING:
    from fireflyquay.links import Store

CONTRACTS = CONTRACTS_PREFIX
BACKENDS = BACKENDS_PREFIX
STORE_REQUEST_TIMEOUT_SECONDS = 5.0
MAX_ATTEMPTS = 6
RETRY_DELAY_SECONDS = 0.5
# Time limit of one read or one write, including retries.
OPERATION_TIMEOUT_SECONDS = 12.0
OUTAGE_SENTENCE = "The platform's store does not respond."
UNCONFIRMED_SENTENCE = (
    "The store did not confirm the change; it may have taken effect. "
    "It is safe to run the command again."
)
T = TypeVar("T")

Record = TypeVar("Record", ContractRecord, BackendRecord)


@dataclass(frozen=True, slots=True)
class StoredRecord(Generic[Record]):
    """Hold a decoded record and the stored object that it was read from."""

    record: Record | None
    # None if the object does not exist.
    value: StoredValue | None

    @property
    def object_version(self) -> int:
        """Return the version of the stored object, or 0 if it does not exist."""
        return 0 if self.value is None else self.value.version

    @property
    def version(self) -> int:
        """Return the version of the record, or 0 if it does not exist."""
        return 0 if self.record is None else self.record.version


@dataclass(frozen=True, slots=True)
class ChangeResult(Generic[Record]):
    """Hold the record that a change wrote or found unchanged."""

    record: Record
    changed: bool
    # The store's object as last read or written.
    value: StoredValue


class RecordRepository(Generic[Record]):
    """Read and change the records under one prefix of the store."""

    def __init__(self, store: Store, prefix: str, codec: RecordCodec[Record]) -> None:
        self._store = store
        self._prefix = prefix
        self._codec = codec

    async def read(self, name: str) -> StoredRecord[Record]:
        """Return one record; raise FireflyquayError if unavailable or invalid."""
        return await _limit_duration(self._read(name), OUTAGE_SENTENCE)

    async def _read(self, name: str) -> StoredRecord[Record]:
        response = await self._call_with_retries(StoreRead(self._prefix + name))
        if isinstance(response, StoreNotFound):
            return StoredRecord(None, None)
        if not isinstance(response, StoredValue):
            raise make_unavailable_error()
        return StoredRecord(self._decode(response), response)

    async def read_existing(self, name: str) -> Record:
        """Return a record; raise FireflyquayError with NOT_FOUND if there is none."""
        record = (await self.read(name)).record
        if record is None:
            raise FireflyquayError(
                Code.NOT_FOUND, f"The store has no object {self._prefix}{name}."
            )
        return record

    async def list(self) -> list[Record]:
        """Return all records, ordered by name."""
        return await _limit_duration(self._list(), OUTAGE_SENTENCE)

    async def _list(self) -> list[Record]:
        response = await self._call_with_retries(StoreList(self._prefix))
        if not isinstance(response, StoreListResult):
            raise make_unavailable_error()
        values = sorted(response.values, key=lambda value: value.path)
        return [self._decode(value) for value in values]

    async def change(
        self,
        name: str,
        metadata: ChangeMetadata,
        build: Callable[[Record | None], Record | None],
        expected_version: int | None = None,
    ) -> ChangeResult[Record]:
        """Write the record that build returns; raise on a concurrent change.

        build gets the stored record and returns None for no change. Raises
        FireflyquayError with VERSION_CONFLICT, with NOT_FOUND if there is neither a
        stored nor a new record, or with STORE_UNAVAILABLE if the store does not respond
        or confirm the change.
        """
        stored = await self.read(name)
        new_record = build(stored.record)
        if new_record is None and stored.value is not None:
            return ChangeResult(stored.record, False, stored.value)
        if expected_version is not None and stored.version != expected_version:
            raise self._make_conflict_error(name, stored.version)
        if new_record is None:
            raise FireflyquayError(
                Code.NOT_FOUND, f"The store has no object {self._prefix}{name}."
            )
        return await _limit_duration(
            self._commit(name, metadata, stored, new_record), UNCONFIRMED_SENTENCE
        )

    async def _commit(
        self,
        name: str,
        metadata: ChangeMetadata,
        stored: StoredRecord[Record],
        new_record: Record,
    ) -> ChangeResult[Record]:
        path = self._prefix + name
        value = self._codec.encode(new_record)
        write = StoreWrite(path, value, stored.object_version)
        for _ in range(MAX_ATTEMPTS):
            response = await self._store.call(write, STORE_REQUEST_TIMEOUT_SECONDS)
            if isinstance(response, StoredValue):
                written = replace(response, path=path, value=value)
                return ChangeResult(new_record, True, written)
            if isinstance(response, StoreFailure):
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                if not response.may_have_applied:
                    continue
            current = await self.read(name)
            if current.record is not None and includes_change(
                current.record, metadata.change_id
            ):
                return ChangeResult(new_record, True, current.value)
            if current.object_version != stored.object_version:
                raise self._make_conflict_error(name, current.version)
        raise make_unavailable_error(UNCONFIRMED_SENTENCE)

    async def _call_with_retries(self, request: StoreRequest) -> StoreResponse:
        for _ in range(MAX_ATTEMPTS):
            response = await self._store.call(request, STORE_REQUEST_TIMEOUT_SECONDS)
            if not isinstance(response, StoreFailure | StoreConflict):
                return response
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise make_unavailable_error()

    def _decode(self, value: StoredValue) -> Record:
        try:
            return self._codec.decode(value.value)
        except FireflyquayError as error:
            sentence = f"The store's object {value.path} is invalid: {error.sentence}"
            raise FireflyquayError(error.code, sentence) from error

    def _make_conflict_error(self, name: str, version: int) -> FireflyquayError:
        sentence = (
            f"{self._prefix}{name} is now at version {version}; nothing was changed."
        )
        return FireflyquayError(Code.VERSION_CONFLICT, sentence)


def make_contract_repository(store: Store) -> RecordRepository[ContractRecord]:
    """Return the repository of contracts."""
    return RecordRepository(store, CONTRACTS, CONTRACT_CODEC)


def make_backend_repository(store: Store) -> RecordRepository[BackendRecord]:
    """Return the repository of backend servers."""
    return RecordRepository(store, BACKENDS, BACKEND_CODEC)


async def _limit_duration(operation: Awaitable[T], sentence: str) -> T:
    """Return the result; raise FireflyquayError with STORE_UNAVAILABLE on timeout."""
    try:
        async with asyncio.timeout(OPERATION_TIMEOUT_SECONDS):
            return await operation
    except TimeoutError:
        raise make_unavailable_error(sentence) from None


def make_unavailable_error(sentence: str = OUTAGE_SENTENCE) -> FireflyquayError:
    """Return the error for a store that does not respond."""
    return FireflyquayError(Code.STORE_UNAVAILABLE, sentence)


def build_contract_record(
    record: ContractRecord | None, contract: Contract, metadata: ChangeMetadata
) -> ContractRecord | None:
    """Return the next record of a contract, or None if it is unchanged."""
    if record is not None and record.contract == contract:
        return None
    return build_next_contract_record(record, contract, metadata)


def build_backend_record(
    record: BackendRecord | None, backend: BackendServer, metadata: ChangeMetadata
) -> BackendRecord | None:
    """Return the next record of a backend server, or None if it is unchanged."""
    if record is not None and record.backend == backend:
        return None
    return build_next_backend_record(record, backend, metadata)


def build_record_with_state(
    record: BackendRecord | None, state: BackendState, metadata: ChangeMetadata
) -> BackendRecord | None:
    """Return the next record in the state, or None if there is no record or change."""
    if record is None:
        return None
    return build_backend_record(record, replace(record.backend, state=state), metadata)
