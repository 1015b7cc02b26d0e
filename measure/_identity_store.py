"""Virtual clock and object store of one run of the identity comparison."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable

from fireflyquay.contracts import (
    StoreAnswer,
    StoreConflict,
    StoredValue,
    StoreFailed,
    StoreList,
    StoreListing,
    StoreMissing,
    StoreRead,
    StoreWatch,
    StoreWrite,
)

STORE_ROUND_TRIP_S = 0.005
STORE_TIMEOUT_S = 1.0
Deliver = Callable[[StoreAnswer], None]


class Clock:
    """Run calls in the order of their virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Call at a virtual time, now at the earliest."""
        entry = (max(when, self.now), next(self._order), call)
        heapq.heappush(self._events, entry)

    def call_in(self, seconds: float, call: Callable[[], None]) -> None:
        """Call after some seconds."""
        self.call_at(self.now + seconds, call)

    def run_until(self, end: float) -> None:
        """Run all calls up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end


class ObjectStore:
    """Answer conditional writes, reads, lists and watches; may be down."""

    def __init__(self, clock: Clock) -> None:
        self.is_down = False
        self.values: dict[str, StoredValue] = {}
        # Calls and written bytes by the first part of the path.
        self.calls: Counter[str] = Counter()
        self.writes: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self._revision = 0
        self._clock = clock
        self._watches: list[tuple[StoreWatch, Deliver]] = []

    def call(self, call, deliver: Deliver) -> None:
        """Take a call; its answer is delivered half a round trip later."""
        path = call.prefix if isinstance(call, StoreList | StoreWatch) else call.path
        family = path.partition("/")[0]
        self.calls[family] += 1
        if isinstance(call, StoreWrite):
            self.writes[family] += 1
            self.bytes[family] += len(call.value)
        half = STORE_ROUND_TRIP_S / 2
        self._clock.call_in(half, lambda: self._take(call, path, deliver))

    def put(self, path: str, value: bytes) -> StoredValue:
        """Write an object whatever its version."""
        before = self.values.get(path)
        version = 1 if before is None else before.version + 1
        self._revision += 1
        self.values[path] = StoredValue(path, value, version, self._revision)
        watches, self._watches = self._watches, []
        for call, deliver in watches:
            self._watch(call, deliver)
        return self.values[path]

    def stop(self) -> None:
        """Begin an outage."""
        self.is_down = True
        watches, self._watches = self._watches, []
        for call, deliver in watches:
            self._answer(StoreFailed(call.prefix, False), deliver)

    def _take(self, call, path: str, deliver: Deliver) -> None:
        if self.is_down:
            failed = StoreFailed(path, isinstance(call, StoreWrite))
            self._clock.call_in(STORE_TIMEOUT_S, lambda: deliver(failed))
        elif isinstance(call, StoreWatch):
            self._watch(call, deliver)
            self._clock.call_in(call.wait, lambda: self._expire(call, deliver))
        elif isinstance(call, StoreList):
            self._answer(self._list(call.prefix, 0), deliver)
        elif isinstance(call, StoreRead):
            self._answer(self.values.get(path) or StoreMissing(path), deliver)
        else:
            self._answer(self._write(call), deliver)

    def _write(self, call: StoreWrite) -> StoreAnswer:
        before = self.values.get(call.path)
        version = 0 if before is None else before.version
        if version != call.expected_version:
            return StoreConflict(call.path, version)
        return self.put(call.path, call.value)

    def _watch(self, call: StoreWatch, deliver: Deliver) -> None:
        found = self._list(call.prefix, call.after)
        if found.values:
            self._answer(found, deliver)
            return
        self._watches.append((call, deliver))

    def _expire(self, call: StoreWatch, deliver: Deliver) -> None:
        if (call, deliver) in self._watches:
            self._watches.remove((call, deliver))
            self._answer(StoreListing((), self._revision), deliver)

    def _list(self, prefix: str, after: int) -> StoreListing:
        values = self.values.values()
        found = [v for v in values if v.path.startswith(prefix) and v.revision > after]
        return StoreListing(tuple(found), self._revision)

    def _answer(self, answer: StoreAnswer, deliver: Deliver) -> None:
        self._clock.call_in(STORE_ROUND_TRIP_S / 2, lambda: deliver(answer))
