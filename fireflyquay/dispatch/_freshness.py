"""How recently a belief was known to be current."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Freshness:
    """Say that a belief held its store's newest state at a moment.

    The moment is when the read that proved it was sent, on a clock that goes on while
    the machine is suspended.
    """

    # Revision of the store up to which the belief is complete.
    revision: int
    # Seconds on the suspend-aware clock.
    confirmed_at: float

    def compute_age(self, now: float) -> float:
        """Return the seconds since the proof."""
        return max(0.0, now - self.confirmed_at)
