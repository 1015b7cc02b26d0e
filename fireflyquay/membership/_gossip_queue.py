"""Queue of updates to be carried on other messages."""

from __future__ import annotations

import heapq
import math

from fireflyquay.world import Incarnation


class GossipQueue:
    """Hand out the updates sent the fewest times, each a bounded number of times."""

    def __init__(self, factor: float) -> None:
        self._factor = factor
        self._sent: dict[Incarnation, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, incarnation: Incarnation) -> None:
        """Queue news of a member, in place of older news of it."""
        self._sent[incarnation] = 0

    def remove(self, incarnation: Incarnation) -> None:
        """Drop news of a member."""
        self._sent.pop(incarnation, None)

    def clear(self) -> None:
        """Drop all news."""
        self._sent.clear()

    def take(self, count: int, members: int) -> list[Incarnation]:
        """Return up to count members to tell of, and count them as sent."""
        if not self._sent:
            return []
        chosen = heapq.nsmallest(count, self._sent, key=self._sent.__getitem__)
        limit = max(2, math.ceil(self._factor * math.log10(members + 1)))
        for incarnation in chosen:
            self._count(incarnation, limit)
        return chosen

    def _count(self, incarnation: Incarnation, limit: int) -> None:
        sent = self._sent[incarnation] + 1
        if sent >= limit:
            del self._sent[incarnation]
            return
        self._sent[incarnation] = sent
