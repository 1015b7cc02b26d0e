"""Flushes of trail records to the store, in compressed batches."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import astuple, dataclass

import msgspec

from fireflyquay.contracts._store_call import (
    StoreAnswer,
    StoreConflict,
    StoredValue,
    StoreFailed,
    StoreWrite,
)
from fireflyquay.world import (
    Code,
    FireflyquayError,
    Incarnation,
    RequestKey,
    Step,
    TrailRecord,
)

from ._action import (
    CallStore,
)

TAG_PREFIX = "trail:"
PATH_PREFIX = "trail/"
_LEVEL = 6
_MOST_UNPACKED_BYTES = 16_000_000
_Row = tuple[str, int, Step, str, float, int, str, str, str, str, str]
_DECODER = msgspec.msgpack.Decoder(list[_Row])


@dataclass(frozen=True, slots=True)
class TrailFlushSettings:
    """Bound writes and what waits for them."""

    # Seconds between two writes of this node at least.
    interval: float = 10.0
    # Records per write at most; with texts of 300 bytes each under 1 MB.
    most_records: int = 3000
    # Records that wait at most.
    most_waiting: int = 12_000
    # Bytes of one value at most.
    most_bytes: int = 1_000_000
    # Seconds after which a write without an answer is tried again.
    answer_wait: float = 30.0


@dataclass(frozen=True, slots=True)
class _Batch:
    """Hold a write that has no answer yet."""

    path: str
    value: bytes
    # Records in it.
    count: int


class TrailFlush:
    """Write batches one at a time, the oldest first."""

    def __init__(self, own: Incarnation, settings: TrailFlushSettings) -> None:
        self._own = own
        self._settings = settings
        self._waiting: deque[TrailRecord] = deque()
        self._batch: _Batch | None = None
        self._is_asked = False
        self._due = 0.0
        self.dropped = 0

    def add(self, record: TrailRecord) -> None:
        """Queue a record; the oldest is dropped and counted when full."""
        self._waiting.append(record)
        if len(self._waiting) > self._settings.most_waiting:
            self._waiting.popleft()
            self.dropped += 1

    def advance(self, now: float, at_once: bool = False) -> list[CallStore]:
        """Return the next write if the budget allows one."""
        if now < self._due and (not at_once or self._is_asked):
            return []
        if self._batch is None and not self._fill():
            return []
        return [self._ask(now, self._batch)]

    def receive_store_answer(self, now: float, tag: str, answer: StoreAnswer) -> None:
        """Take the answer to the write in progress."""
        if self._batch is None or tag != TAG_PREFIX + self._batch.path:
            return
        self._is_asked = False
        # Only this incarnation writes below its path, so that a conflict
        # tells that an earlier try took effect.
        if isinstance(answer, StoredValue | StoreConflict):
            self._batch = None
        if isinstance(answer, StoreFailed):
            self._drop_unsent(answer)
        self._due = now + self._settings.interval

    def _ask(self, now: float, batch: _Batch) -> CallStore:
        self._is_asked = True
        self._due = now + max(self._settings.answer_wait, self._settings.interval)
        return CallStore(
            TAG_PREFIX + batch.path, StoreWrite(batch.path, batch.value, 0)
        )

    def _fill(self) -> bool:
        count = min(len(self._waiting), self._settings.most_records)
        if not count:
            return False
        value = encode_batch([self._waiting[index] for index in range(count)])
        while len(value) > self._settings.most_bytes and count > 1:
            count //= 2
            value = encode_batch([self._waiting[index] for index in range(count)])
        first = self._waiting[0].sequence
        for _ in range(count):
            self._waiting.popleft()
        if len(value) > self._settings.most_bytes:
            self.dropped += count
            return self._fill()
        self._batch = _Batch(make_batch_path(self._own, first), value, count)
        return True

    def _drop_unsent(self, answer: StoreFailed) -> None:
        # Newer records matter more once the queue has filled in an outage.
        if answer.may_have_applied or self._batch is None:
            return
        if len(self._waiting) >= self._settings.most_waiting:
            self.dropped += self._batch.count
            self._batch = None


def make_batch_path(own: Incarnation, first: int) -> str:
    """Return the path of the batch whose first record has that sequence."""
    return f"{PATH_PREFIX}{own}/{first:012d}"


def list_prefixes(incarnations: tuple[Incarnation, ...]) -> tuple[str, ...]:
    """Return the prefixes to list for the batches of these incarnations."""
    return tuple(f"{PATH_PREFIX}{name}/" for name in dict.fromkeys(incarnations))


def encode_batch(records: list[TrailRecord]) -> bytes:
    """Pack records as msgpack rows and compress them."""
    rows = [astuple(record) for record in records]
    return zlib.compress(msgspec.msgpack.encode(rows), _LEVEL)


def decode_batch(value: bytes) -> tuple[TrailRecord, ...]:
    """Return the records of a batch; raise BAD_MESSAGE if it is none."""
    try:
        unpacker = zlib.decompressobj()
        packed = unpacker.decompress(value, _MOST_UNPACKED_BYTES)
        rows = _DECODER.decode(packed) if unpacker.eof else None
    except (zlib.error, msgspec.DecodeError) as error:
        raise FireflyquayError(
            Code.BAD_MESSAGE, f"The trail batch cannot be read: {error}."
        ) from error
    if rows is None:
        raise FireflyquayError(
            Code.BAD_MESSAGE, "The trail batch is cut short or too long."
        )
    return tuple(_make_record(row) for row in rows)


def _make_record(row: _Row) -> TrailRecord:
    key, attempt, step, node, *rest = row
    return TrailRecord(RequestKey(key), attempt, step, Incarnation(node), *rest)
