"""A rate learned from work of unlike sizes."""

from __future__ import annotations


class RateEstimator:
    """Keep seconds per unit of work; large pieces count more, old ones fade."""

    def __init__(self, initial: float, memory: float) -> None:
        # Units of work after which an observation has faded to a third.
        self._memory = memory
        # The initial rate counts as a tenth of the memory, so that it fades soon.
        self._units = memory / 10
        self._seconds = initial * self._units

    @property
    def seconds_per_unit(self) -> float:
        """Return the seconds per unit."""
        return self._seconds / self._units

    def record(self, seconds: float, units: float) -> None:
        """Learn from a piece of work."""
        kept = max(0.0, 1.0 - units / self._memory)
        self._seconds = self._seconds * kept + seconds
        self._units = self._units * kept + units
