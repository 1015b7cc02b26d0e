"""Queue of updates to be carried on other messages."""

from __future__ import annotations

import heapq
import math

from fireflyquay.world import Incarnation


class GossipQueue:
    """Hand out the updates sent the fewest times, each a bounded number of times."""

    def __init__(self, factor: float) -> None:
        self._factor = factor
        self._transmissions: dict[Incarnation, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def enqueue(self, incarnation: Incarnation) -> None:
        """Queue news of a member, in place of older news of it."""
        self._transmissions[incarnation] = 0

    def remove(self, incarnation: Incarnation) -> None:
        """Drop news of a member."""
        self._transmissions.pop(incarnation, None)

    def clear(self) -> None:
        """Drop all news."""
        self._transmissions.clear()

    def select(self, count: int, members: int) -> list[Incarnation]:
        """Return up to count members to tell of, and count them as sent."""
        if not self._transmissions:
            return []
        chosen = heapq.nsmallest(
            count, self._transmissions, key=self._transmissions.__getitem__
        )
        limit = max(2, math.ceil(self._factor * math.log10(members + 1)))
        for incarnation in chosen:
            self._count_transmission(incarnation, limit)
        return chosen

    def _count_transmission(self, incarnation: Incarnation, limit: int) -> None:
        sent = self._transmissions[incarnation] + 1
        if sent >= limit:
            del self._transmissions[incarnation]
            return
        self._transmissions[incarnation] = sent
