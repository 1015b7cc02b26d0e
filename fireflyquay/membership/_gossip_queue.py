"""Queue of members whose records are piggybacked on other messages."""

from __future__ import annotations

import heapq
import math

from fireflyquay.world import Incarnation


class GossipQueue:
    """Queue members to gossip about, each for a limited number of transmissions."""

    def __init__(self, dissemination_factor: float) -> None:
        self._dissemination_factor = dissemination_factor
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

    def select(self, max_count: int, member_count: int) -> list[Incarnation]:
        """Return up to max_count least sent members, and count their transmissions."""
        if not self._transmissions:
            return []
        selected = heapq.nsmallest(
            max_count, self._transmissions, key=self._transmissions.__getitem__
        )
        max_transmissions = max(
            2, math.ceil(self._dissemination_factor * math.log10(member_count + 1))
        )
        for incarnation in selected:
            self._count_transmission(incarnation, max_transmissions)
        return selected

    def _count_transmission(
        self, incarnation: Incarnation, max_transmissions: int
    ) -> None:
        transmissions = self._transmissions[incarnation] + 1
        if transmissions >= max_transmissions:
            del self._transmissions[incarnation]
            return
        self._transmissions[incarnation] = transmissions
