"""The platform's object API and its lagging list of VMs."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from fireflyquay.contracts import (
    StoreAnswer,
    StoreCall,
    StoredValue,
    StoreFailed,
    StoreList,
    StoreListing,
    StoreMissing,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from fireflyquay.contracts._store_call import StoreConflict
from fireflyquay.world import VmListing

from ._clock import Clock

CALL_S = 0.004
TIMEOUT_S = 2.0
LIST_LAG_S = 3.0

Answered = Callable[[StoreAnswer], None]


@dataclass(slots=True)
class _Watch:
    call: StoreWatch
    answered: Answered
    is_over: bool = False


class Store:
    """Keep versioned objects; be down, slow or lose answers when told."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.is_down = False
        self.slowness = 0.0
        self.values: dict[str, StoredValue] = {}
        self.writes = 0
        self.on_written: list[Callable[[StoredValue], None]] = []
        self._clock = clock
        self._rng = rng
        self._revision = 0
        self._lost: list[str] = []
        self._watches: list[_Watch] = []
        self._listings: list[tuple[float, tuple[VmListing, ...]]] = [(0.0, ())]

    def lose_next_answer(self, prefix: str) -> None:
        """Lose the answer to the next write below a prefix, once it is applied."""
        self._lost.append(prefix)

    def call(self, call: StoreCall, answered: Answered) -> None:
        """Take a call and answer it later."""
        if self.is_down:
            self._answer(CALL_S, answered, _fail(call, may_have_applied=False))
            return
        delay = CALL_S + self.slowness * (0.5 + self._rng.random())
        if delay > TIMEOUT_S:
            is_write = isinstance(call, StoreWrite)
            self._answer(TIMEOUT_S, answered, _fail(call, is_write))
        self._clock.call_in(
            delay / 2, lambda: self._apply(call, answered, delay <= TIMEOUT_S)
        )

    def begin_outage(self) -> None:
        """Refuse all calls and break off the waiting watches."""
        self.is_down = True
        for watch in self._watches:
            watch.is_over = True
            self._answer(CALL_S, watch.answered, _fail(watch.call, False))
        self._watches = []

    def list_vms(self) -> tuple[VmListing, ...]:
        """Return the VMs as they were some seconds ago."""
        known = self._clock.now - LIST_LAG_S
        return [vms for at, vms in self._listings if at <= known or at == 0.0][-1]

    def set_vms(self, vms: tuple[VmListing, ...]) -> None:
        """Change the list of VMs."""
        at = self._clock.now
        if at == 0.0:
            self._listings.clear()
        self._listings.append((at, vms))

    def _apply(self, call: StoreCall, answered: Answered, is_prompt: bool) -> None:
        if self.is_down:
            if is_prompt:
                self._answer(CALL_S, answered, _fail(call, may_have_applied=False))
            return
        if isinstance(call, StoreWatch):
            self._wait(_Watch(call, answered))
            return
        answer = self._execute(call)
        if not is_prompt:
            return
        if isinstance(answer, StoredValue) and isinstance(call, StoreWrite):
            for prefix in self._lost:
                if call.path.startswith(prefix):
                    self._lost.remove(prefix)
                    answer = _fail(call, may_have_applied=True)
                    break
        self._answer(CALL_S / 2, answered, answer)

    def _execute(self, call: StoreCall) -> StoreAnswer:
        match call:
            case StoreRead(path=path):
                return self.values.get(path) or StoreMissing(path)
            case StoreWrite():
                return self._write(call)
            case StoreList(prefix=prefix):
                return self._list(prefix, 0)
        raise TypeError(f"Unknown call {call!r}")

    def _write(self, call: StoreWrite) -> StoreAnswer:
        self.writes += 1
        before = self.values.get(call.path)
        version = before.version if before else 0
        if version != call.expected_version:
            return StoreConflict(call.path, version)
        self._revision += 1
        stored = StoredValue(call.path, call.value, version + 1, self._revision)
        self.values[call.path] = stored
        for watch in [w for w in self._watches if self._find(w.call).values]:
            self._end(watch)
        for written in self.on_written:
            written(stored)
        return stored

    def _list(self, prefix: str, after: int) -> StoreListing:
        found = (
            value
            for value in self.values.values()
            if value.path.startswith(prefix) and value.revision > after
        )
        return StoreListing(tuple(found), self._revision)

    def _find(self, call: StoreWatch) -> StoreListing:
        return self._list(call.prefix, call.after)

    def _wait(self, watch: _Watch) -> None:
        self._watches.append(watch)
        if self._find(watch.call).values:
            self._end(watch)
            return
        self._clock.call_in(watch.call.wait, lambda: self._end(watch))

    def _end(self, watch: _Watch) -> None:
        if watch.is_over:
            return
        watch.is_over = True
        self._watches.remove(watch)
        self._answer(CALL_S / 2, watch.answered, self._find(watch.call))

    def _answer(self, delay: float, answered: Answered, answer: StoreAnswer) -> None:
        self._clock.call_in(delay, lambda: answered(answer))


def _fail(call: StoreCall, may_have_applied: bool) -> StoreFailed:
    path = getattr(call, "path", None) or getattr(call, "prefix", "")
    return StoreFailed(path, may_have_applied)
