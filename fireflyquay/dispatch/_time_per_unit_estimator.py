"""Estimate of the time per unit of work."""

from __future__ import annotations


class TimePerUnitEstimator:
    """Estimate the seconds per unit of work as a decaying average weighted by size."""

    def __init__(self, initial_seconds_per_unit: float, decay_units: float) -> None:
        # Units of work after which an observation has about a third of its weight.
        self._decay_units = decay_units
        # The initial estimate has a tenth of the full weight, so that observations
        # soon outweigh it.
        self._units = decay_units / 10
        self._seconds = initial_seconds_per_unit * self._units

    @property
    def seconds_per_unit(self) -> float:
        """Return the estimated seconds per unit of work."""
        return self._seconds / self._units

    def record(self, seconds: float, units: float) -> None:
        """Record a completed piece of work."""
        kept = max(0.0, 1.0 - units / self._decay_units)
        self._seconds = self._seconds * kept + seconds
        self._units = self._units * kept + units
