"""Queue of members whose records are piggybacked on other messages."""

from __future__ import annotations

import heapq
import math

from fireflyquay.world import Incarnation


class GossipQueue:
    """Queue that sends each member a limited number of times, least sent first."""

    def __init__(self, factor: float) -> None:
        self._factor = factor
        self._transmissions: dict[Incarnation, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def enqueue(self, incarnation: Incarnation) -> None:
        """Queue a member, or reset its transmission count if it is queued already."""
        self._transmissions[incarnation] = 0

    def remove(self, incarnation: Incarnation) -> None:
        """Remove a member from the queue."""
        self._transmissions.pop(incarnation, None)

    def clear(self) -> None:
        """Remove all members from the queue."""
        self._transmissions.clear()

    def select(self, count: int, members: int) -> list[Incarnation]:
        """Return up to count members to send, and count the transmissions."""
        if not self._transmissions:
            return []
        selected = heapq.nsmallest(
            count, self._transmissions, key=self._transmissions.__getitem__
        )
        limit = max(2, math.ceil(self._factor * math.log10(members + 1)))
        for incarnation in selected:
            self._count_transmission(incarnation, limit)
        return selected

    def _count_transmission(self, incarnation: Incarnation, limit: int) -> None:
        transmissions = self._transmissions[incarnation] + 1
        if transmissions >= limit:
            del self._transmissions[incarnation]
            return
        self._transmissions[incarnation] = transmissions
