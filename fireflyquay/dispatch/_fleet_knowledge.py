"""Time for which a VM knows what all coordinators of the fleet granted."""

from __future__ import annotations

import math

from ._usage_messages import is_valid

# Longest time that is reported; longer than all windows in which limits count.
MAX_REPORTED_SECONDS = 120.0


class FleetKnowledge:
    """Hold since when the usage of the whole fleet is known.

    Guards against granting the same limits again after all VMs were killed.
    """

    def __init__(self) -> None:
        self.known_since = -math.inf

    def mark_unknown(self, now: float) -> None:
        """Assume nothing about the usage before the given time."""
        self.known_since = now

    def adopt(self, known_seconds: float, now: float) -> None:
        """Follow a VM that has known the usage of the fleet for some time."""
        if is_valid(known_seconds):
            self.known_since = min(self.known_since, now - known_seconds)

    def get_known_seconds(self, now: float) -> float:
        """Return the time for which the usage is known."""
        return min(MAX_REPORTED_SECONDS, now - self.known_since)

    def covers(self, seconds: float, now: float) -> bool:
        """Return whether all usage of the last seconds is known."""
        return self.known_since <= now - seconds
