"""Estimate of the time per unit of work."""

from __future__ import annotations


class RateEstimator:
    """Decaying average of the seconds per unit of work, weighted by size."""

    def __init__(self, initial: float, memory: float) -> None:
        # Units of work after which an observation has decayed to a third.
        self._memory = memory
        # The initial rate weighs a tenth of the memory, so that it decays soon.
        self._units = memory / 10
        self._seconds = initial * self._units

    @property
    def seconds_per_unit(self) -> float:
        """Return the estimated seconds per unit."""
        return self._seconds / self._units

    def record(self, seconds: float, units: float) -> None:
        """Record a completed piece of work."""
        kept = max(0.0, 1.0 - units / self._memory)
        self._seconds = self._seconds * kept + seconds
        self._units = self._units * kept + units
