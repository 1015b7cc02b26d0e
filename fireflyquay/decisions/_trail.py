"""The trail: a bounded ring of the records of this node's decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fireflyquay.contracts._store_call import StoreAnswer
from fireflyquay.world import Incarnation, RequestKey, Step, TrailRecord, Verdict

from ._action import (
    CallStore,
)
from ._trail_flush import TrailFlush, TrailFlushSettings

_SEEN_ONCE = frozenset({Step.RECEIVED, Step.QUEUED, Step.GRANTED, Step.WITNESSED})


@dataclass(frozen=True, slots=True)
class TrailSettings:
    """Bound the ring and the flushes."""

    # Records kept in memory.
    most_records: int = 20_000
    flush: TrailFlushSettings = TrailFlushSettings()


class Trail:
    """Keep the newest records and flush those worth keeping to the store."""

    def __init__(self, own: Incarnation, settings: TrailSettings) -> None:
        self._ring: deque[TrailRecord] = deque()
        self._by_key: dict[RequestKey, deque[TrailRecord]] = {}
        self._most = settings.most_records
        self._flush = TrailFlush(own, settings.flush)

    @property
    def dropped(self) -> int:
        """Return how many records worth keeping were lost to the bound."""
        return self._flush.dropped

    def add(self, record: TrailRecord) -> None:
        """Add a record; the oldest leaves a full ring."""
        self._ring.append(record)
        self._by_key.setdefault(record.key, deque()).append(record)
        if len(self._ring) > self._most:
            self._remove_oldest()
        if is_worth_keeping(record):
            self._flush.add(record)

    def find(self, key: RequestKey) -> tuple[TrailRecord, ...]:
        """Return the records of a key that are still in memory, oldest first."""
        return tuple(self._by_key.get(key, ()))

    def advance(self, now: float) -> list[CallStore]:
        """Return the writes that are due."""
        return self._flush.advance(now)

    def finish(self, now: float) -> list[CallStore]:
        """Return the write of what is left, for a node about to stop."""
        return self._flush.advance(now, at_once=True)

    def receive_store_answer(self, now: float, tag: str, answer: StoreAnswer) -> None:
        """Take the answer to a write."""
        self._flush.receive_store_answer(now, tag, answer)

    def _remove_oldest(self) -> None:
        record = self._ring.popleft()
        records = self._by_key[record.key]
        records.popleft()
        if not records:
            del self._by_key[record.key]


def is_worth_keeping(record: TrailRecord) -> bool:
    """Say whether a record should outlive the node."""
    if record.verdict == Verdict.MAY_HAVE_RUN:
        return True
    return record.step not in _SEEN_ONCE
