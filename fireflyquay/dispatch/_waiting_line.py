"""Requests that wait for a place, in the order in which they get one."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from fireflyquay.world import Incarnation

from ._backend_load import AskKey
from ._grant import Ask

# Requests of one rank that are tried before the next rank: those behind differ little.
MAX_TRIED_PER_RANK = 4
# Requests of one rank that are looked at in one pass; the next pass goes on.
MAX_LISTED = 256


@dataclass(slots=True)
class WaitingAsk:
    """Hold an ask that waits."""

    ask: Ask
    asked_at: float
    # Loop time at which it is refused.
    refused_at: float
    # Loop time after which it can't be on time.
    latest_start: float
    # Whether it got a decision or was withdrawn.
    is_over: bool = False

    @property
    def key(self) -> AskKey:
        """Return what names the ask."""
        return self.ask.owner, self.ask.number

    def is_late(self, now: float) -> bool:
        """Tell whether it can't be on time any more."""
        return now > self.latest_start


@dataclass(slots=True)
class _RankLine:
    """Hold the asks of one rank by arrival, those past their objective apart."""

    on_time: deque[WaitingAsk] = field(default_factory=deque)
    late: deque[WaitingAsk] = field(default_factory=deque)

    def settle(self, now: float) -> None:
        """Move asks whose objective has passed, and drop those that are over."""
        while self.on_time and (
            self.on_time[0].is_over or self.on_time[0].is_late(now)
        ):
            item = self.on_time.popleft()
            if not item.is_over:
                self.late.append(item)
        while self.late and self.late[0].is_over:
            self.late.popleft()


class WaitingLine:
    """Order asks by rank, then those still on time, then by arrival.

    Answers a queue of hundreds: a freed place costs the same however many wait.
    """

    def __init__(self) -> None:
        self._ranks: dict[tuple[int, int], _RankLine] = {}
        self._by_key: dict[AskKey, WaitingAsk] = {}
        # By the time of refusal.
        self._refusals: list[tuple[float, int, WaitingAsk]] = []
        self._numbers = itertools.count()
        # Tokens of all asks that wait.
        self.prompt_tokens = 0
        self.output_tokens = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, item: WaitingAsk) -> None:
        """Let an ask wait."""
        line = self._ranks.setdefault(item.ask.rank, _RankLine())
        line.on_time.append(item)
        self._by_key[item.key] = item
        self.prompt_tokens += item.ask.prompt_tokens
        self.output_tokens += item.ask.output_tokens
        entry = (item.refused_at, next(self._numbers), item)
        heapq.heappush(self._refusals, entry)

    def remove(self, key: AskKey) -> None:
        """Drop an ask."""
        item = self._by_key.pop(key, None)
        if item is None:
            return
        item.is_over = True
        self.prompt_tokens -= item.ask.prompt_tokens
        self.output_tokens -= item.ask.output_tokens

    def remove_owner(self, owner: Incarnation) -> None:
        """Drop all asks of a VM."""
        for key in [key for key in self._by_key if key[0] == owner]:
            self.remove(key)

    def count(self, rank: tuple[int, int], now: float) -> int:
        """Return how many asks of a rank can still be on time."""
        line = self._ranks.get(rank)
        if line is None:
            return 0
        line.settle(now)
        return len(line.on_time)

    def take_expired(self, now: float) -> list[WaitingAsk]:
        """Remove and return the asks that are to be refused by now."""
        expired = []
        while self._refusals and (
            self._refusals[0][2].is_over or self._refusals[0][0] <= now
        ):
            item = heapq.heappop(self._refusals)[2]
            if not item.is_over:
                self.remove(item.key)
                expired.append(item)
        return expired

    def list_next(
        self, now: float, first: tuple[int, int] | None = None
    ) -> Iterator[WaitingAsk]:
        """Return the asks to try in order; those that get a place are removed.

        One ask of the first rank, if given, goes before all others.
        """
        if first in self._ranks:
            line = self._ranks[first]
            line.settle(now)
            yield from itertools.islice(_list_first(line.on_time), 1)
        for rank in sorted(self._ranks):
            line = self._ranks[rank]
            line.settle(now)
            if not line.on_time and not line.late:
                del self._ranks[rank]
                continue
            yield from _list_first(line.on_time)
            yield from _list_first(line.late)


def _list_first(items: deque[WaitingAsk]) -> Iterator[WaitingAsk]:
    """Return items from the front until several of them stayed."""
    stayed = 0
    for item in list(itertools.islice(items, 0, MAX_LISTED)):
        if item.is_over:
            continue
        yield item
        if not item.is_over:
            stayed += 1
        if stayed >= MAX_TRIED_PER_RANK:
            return
