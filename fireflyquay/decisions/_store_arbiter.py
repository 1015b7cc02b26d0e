"""The arbiter for plain keys: one conditional write in the store per key."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import xxhash

from fireflyquay.contracts._store_call import (
    StoreAnswer,
    StoreConflict,
    StoredValue,
    StoreFailed,
    StoreMissing,
    StoreRead,
    StoreWrite,
)
from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import BackendServerId, Fingerprint, Incarnation, RequestKey

from ._action import (
    CallStore,
)
from ._arbiter import Arbiter
from ._arbiter_message import NO_FINGERPRINT, NO_SERVER, WitnessAnswer
from ._exchange import Exchange

CLAIM_PREFIX = "claims/"
CLAIM_TAG = "claim:"


class ClaimRecord(msgspec.Struct, frozen=True):
    """Hold a claim as stored."""

    owner: Incarnation
    # Names the exchange that claimed; unique within the store.
    claim: str
    attempt: int
    server: BackendServerId
    closed: bool
    # Of the request that is to run.
    fingerprint: Fingerprint = NO_FINGERPRINT


@dataclass(slots=True)
class _Pending:
    key: RequestKey
    wanted: ClaimRecord
    # Version that the next write expects.
    version: int = 0
    # Whether a call to the store is under way.
    is_asking: bool = False


def path_claim(key: RequestKey) -> str:
    """Return the store path of a plain key's claim."""
    return CLAIM_PREFIX + xxhash.xxh3_128_hexdigest(key.encode())


class StoreArbiter(Arbiter):
    """Claim plain keys by conditional creates; lost answers are read again."""

    def __init__(self, own: Incarnation) -> None:
        self._own = own
        self._pending: dict[str, _Pending] = {}

    def claim(
        self, now: float, exchange: Exchange, server: BackendServerId
    ) -> list[Action]:
        """Ask for leave to dispatch on a backend server."""
        return self._want(exchange, server, is_closed=False)

    def close(self, now: float, exchange: Exchange) -> list[Action]:
        """Ask to rule out that the attempt ever runs."""
        return self._want(exchange, NO_SERVER, is_closed=True)

    def fence(
        self, now: float, exchange: Exchange, replaces: Incarnation
    ) -> list[Action]:
        """Ask for nothing: the claim itself finds another owner."""
        return []

    def forget(self, exchange: Exchange) -> None:
        """Drop what is kept for an exchange that has ended."""
        self._pending.pop(path_claim(exchange.request.key), None)

    def receive_store_answer(
        self, now: float, tag: str, answer: StoreAnswer
    ) -> list[Action]:
        """Take the answer to a write or to the read that follows a lost one."""
        pending = self._pending.get(tag.removeprefix(CLAIM_TAG))
        if pending is None:
            return []
        pending.is_asking = False
        if isinstance(answer, StoredValue):
            return self._meet_record(pending, answer)
        if isinstance(answer, StoreMissing):
            pending.version = 0
            return self._write(pending)
        if isinstance(answer, StoreConflict):
            return self._read(pending)
        if isinstance(answer, StoreFailed) and answer.may_have_applied:
            return self._read(pending)
        return []

    def _want(
        self, exchange: Exchange, server: BackendServerId, is_closed: bool
    ) -> list[Action]:
        request = exchange.request
        path = path_claim(request.key)
        claim = f"{self._own}/{request.exchange}"
        wanted = ClaimRecord(
            self._own, claim, request.attempt, server, is_closed, request.fingerprint
        )
        pending = self._pending.setdefault(path, _Pending(request.key, wanted))
        pending.wanted = wanted
        if pending.is_asking:
            return []
        return self._write(pending)

    def _write(self, pending: _Pending) -> list[Action]:
        value = msgspec.json.encode(pending.wanted)
        path = path_claim(pending.key)
        return self._call(pending, StoreWrite(path, value, pending.version))

    def _read(self, pending: _Pending) -> list[Action]:
        return self._call(pending, StoreRead(path_claim(pending.key)))

    def _call(self, pending: _Pending, call: StoreRead | StoreWrite) -> list[Action]:
        pending.is_asking = True
        return [CallStore(CLAIM_TAG + path_claim(pending.key), call)]

    def _meet_record(self, pending: _Pending, value: StoredValue) -> list[Action]:
        record = _decode_record(value.value)
        pending.version = value.version
        if record == pending.wanted:
            return self._answer(pending, record, granted=True)
        if record is None:
            return self._answer_unknown(pending)
        if self._may_replace(record, pending.wanted):
            return self._write(pending)
        # Asking again must meet the record anew, not replace it.
        pending.version = 0
        granted = pending.wanted.closed and record.closed
        return self._answer(pending, record, granted=granted)

    def _may_replace(self, record: ClaimRecord, wanted: ClaimRecord) -> bool:
        # A caller makes a new attempt only once the last was told NOT_RUN.
        if wanted.attempt > record.attempt:
            return True
        return record.claim == wanted.claim and not record.closed

    def _answer(
        self, pending: _Pending, record: ClaimRecord, granted: bool
    ) -> list[Action]:
        answer = WitnessAnswer(
            key=pending.key,
            attempt=record.attempt,
            granted=granted,
            owner=record.owner,
            server=record.server,
            closed=record.closed,
            forgotten=False,
            fingerprint=record.fingerprint,
        )
        return [Send(self._own, answer)]

    def _answer_unknown(self, pending: _Pending) -> list[Action]:
        answer = WitnessAnswer(
            key=pending.key,
            attempt=pending.wanted.attempt,
            granted=False,
            owner=Incarnation(""),
            server=NO_SERVER,
            closed=False,
            forgotten=True,
        )
        return [Send(self._own, answer)]


def _decode_record(value: bytes) -> ClaimRecord | None:
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except msgspec.DecodeError:
        return None
