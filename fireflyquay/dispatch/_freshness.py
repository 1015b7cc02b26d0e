"""Freshness of replicated state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Freshness:
    """Record when a replica was last confirmed to match the store.

    ``confirmed_at`` is the time at which the confirming read was sent, on a clock that
    keeps running while the machine is suspended.
    """

    # Store revision up to which the replica is complete.
    revision: int
    # Seconds on the suspend-aware clock.
    confirmed_at: float

    def compute_age(self, now: float) -> float:
        """Return the seconds since the confirmation."""
        return max(0.0, now - self.confirmed_at)
