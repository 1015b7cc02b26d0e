"""Changes by operators: conditional writes that are safe to repeat."""

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
    StoreListing,
    StoreNotFound,
    StoreRead,
    StoreRequest,
    StoreResponse,
    StoreWrite,
    is_applied,
    update_backend_record,
    update_contract_record,
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
CALL_TIMEOUT_S = 5.0
MAX_TRIES = 6
RETRY_PAUSE_S = 0.5
# Seconds for a read, and again for a write, retries included.
GIVE_UP_S = 12.0
OUTAGE_SENTENCE = "The platform's store does not answer."
UNCONFIRMED_SENTENCE = (
    "The store did not confirm the change; it may have taken effect. "
    "It is safe to run the command again."
)
T = TypeVar("T")

Record = TypeVar("Record", ContractRecord, BackendRecord)


@dataclass(frozen=True, slots=True)
class Stored(Generic[Record]):
    """Hold a record as read, with the object that holds it."""

    record: Record | None
    # None when the object does not exist.
    value: StoredValue | None

    @property
    def store_version(self) -> int:
        """Return the store's version of the object, 0 when there is none."""
        return 0 if self.value is None else self.value.version

    @property
    def version(self) -> int:
        """Return the record's version, 0 when there is none."""
        return 0 if self.record is None else self.record.version


@dataclass(frozen=True, slots=True)
class Outcome(Generic[Record]):
    """Hold the record in force after a command, and whether it changed."""

    record: Record
    changed: bool
    # The object in the store as last seen.
    value: StoredValue


class Registry(Generic[Record]):
    """Read and change the records below one prefix of the store."""

    def __init__(self, store: Store, prefix: str, codec: RecordCodec[Record]) -> None:
        self._store = store
        self._prefix = prefix
        self._codec = codec

    async def read(self, name: str) -> Stored[Record]:
        """Read one record; raise STORE_UNAVAILABLE without an answer."""
        return await _bound(self._read(name), OUTAGE_SENTENCE)

    async def _read(self, name: str) -> Stored[Record]:
        answer = await self._call_again(StoreRead(self._prefix + name))
        if isinstance(answer, StoreNotFound):
            return Stored(None, None)
        if not isinstance(answer, StoredValue):
            raise make_unavailable()
        return Stored(self._decode(answer), answer)

    async def read_known(self, name: str) -> Record:
        """Read one record; raise NOT_FOUND when there is none."""
        record = (await self.read(name)).record
        if record is None:
            raise FireflyquayError(Code.NOT_FOUND, f"{self._prefix}{name} is unknown.")
        return record

    async def list(self) -> list[Record]:
        """Read all records, ordered by name."""
        return await _bound(self._list(), OUTAGE_SENTENCE)

    async def _list(self) -> list[Record]:
        answer = await self._call_again(StoreList(self._prefix))
        if not isinstance(answer, StoreListing):
            raise make_unavailable()
        values = sorted(answer.values, key=lambda value: value.path)
        return [self._decode(value) for value in values]

    async def change(
        self,
        name: str,
        note: ChangeMetadata,
        build: Callable[[Record | None], Record | None],
        expected_version: int | None = None,
    ) -> Outcome[Record]:
        """Write what build makes of the record read, if nobody else wrote.

        Build returns None when nothing is to change. Raises VERSION_CONFLICT,
        or STORE_UNAVAILABLE when the outcome can't be learned.
        """
        stored = await self.read(name)
        built = build(stored.record)
        if built is None and stored.value is not None:
            return Outcome(stored.record, False, stored.value)
        if expected_version is not None and stored.version != expected_version:
            raise self._make_conflict(name, stored.version)
        if built is None:
            raise FireflyquayError(Code.NOT_FOUND, f"{self._prefix}{name} is unknown.")
        return await _bound(
            self._commit(name, note, stored, built), UNCONFIRMED_SENTENCE
        )

    async def _commit(
        self, name: str, note: ChangeMetadata, stored: Stored[Record], built: Record
    ) -> Outcome[Record]:
        path = self._prefix + name
        value = self._codec.encode(built)
        write = StoreWrite(path, value, stored.store_version)
        for _ in range(MAX_TRIES):
            answer = await self._store.call(write, CALL_TIMEOUT_S)
            if isinstance(answer, StoredValue):
                written = replace(answer, path=path, value=value)
                return Outcome(built, True, written)
            if isinstance(answer, StoreFailure):
                await asyncio.sleep(RETRY_PAUSE_S)
                if not answer.may_have_applied:
                    continue
            now = await self.read(name)
            if now.record is not None and is_applied(now.record, note.change_id):
                return Outcome(built, True, now.value)
            if now.store_version != stored.store_version:
                raise self._make_conflict(name, now.version)
        raise make_unavailable(UNCONFIRMED_SENTENCE)

    async def _call_again(self, call: StoreRequest) -> StoreResponse:
        for _ in range(MAX_TRIES):
            answer = await self._store.call(call, CALL_TIMEOUT_S)
            if not isinstance(answer, StoreFailure | StoreConflict):
                return answer
            await asyncio.sleep(RETRY_PAUSE_S)
        raise make_unavailable()

    def _decode(self, value: StoredValue) -> Record:
        try:
            return self._codec.decode(value.value)
        except FireflyquayError as error:
            sentence = f"The store's object {value.path}: {error.sentence}"
            raise FireflyquayError(error.code, sentence) from error

    def _make_conflict(self, name: str, version: int) -> FireflyquayError:
        sentence = f"{self._prefix}{name} is at version {version} now; nothing changed."
        return FireflyquayError(Code.VERSION_CONFLICT, sentence)


def make_contracts(store: Store) -> Registry[ContractRecord]:
    """Return the registry of contracts."""
    return Registry(store, CONTRACTS, CONTRACT_CODEC)


def make_backends(store: Store) -> Registry[BackendRecord]:
    """Return the registry of backend servers."""
    return Registry(store, BACKENDS, BACKEND_CODEC)


async def _bound(work: Awaitable[T], sentence: str) -> T:
    """Give up a call with its retries when the store only keeps it waiting."""
    try:
        async with asyncio.timeout(GIVE_UP_S):
            return await work
    except TimeoutError:
        raise make_unavailable(sentence) from None


def make_unavailable(sentence: str = OUTAGE_SENTENCE) -> FireflyquayError:
    """Make the error for a store that does not answer."""
    return FireflyquayError(Code.STORE_UNAVAILABLE, sentence)


def build_contract(
    record: ContractRecord | None, contract: Contract, note: ChangeMetadata
) -> ContractRecord | None:
    """Return the next record of a contract, or None when it is the same."""
    if record is not None and record.contract == contract:
        return None
    return update_contract_record(record, contract, note)


def build_backend(
    record: BackendRecord | None, backend: BackendServer, note: ChangeMetadata
) -> BackendRecord | None:
    """Return the next record of a backend server, or None when it is the same."""
    if record is not None and record.backend == backend:
        return None
    return update_backend_record(record, backend, note)


def build_state(
    record: BackendRecord | None, state: BackendState, note: ChangeMetadata
) -> BackendRecord | None:
    """Return the record with the backend server marked, or None when it is so."""
    if record is None:
        return None
    return build_backend(record, replace(record.backend, state=state), note)
