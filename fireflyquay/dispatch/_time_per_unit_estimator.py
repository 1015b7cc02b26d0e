"""Estimate of the time per unit of work."""

from __future__ import annotations

# Largest weight of one observation, as a share of the decay constant.
MAX_OBSERVATION_SHARE = 0.5
# Largest factor by which one observation changes the estimate.
MAX_CHANGE_FACTOR = 4.0
# Largest factor between the estimate and the initial one.
MAX_TOTAL_FACTOR = 10_000.0


class TimePerUnitEstimator:
    """Estimate the seconds per unit of work as a decaying average weighted by size.

    Guards against single observations that tell nothing of the speed, such as a time of
    0 or that of a client that stalled: none of them outweighs all earlier ones, and the
    estimate stays positive and finite.
    """

    def __init__(self, initial_seconds_per_unit: float, decay_units: float) -> None:
        # Units of work after which an observation has about a third of its weight.
        self._decay_units = decay_units
        self._min_seconds_per_unit = initial_seconds_per_unit / MAX_TOTAL_FACTOR
        self._max_seconds_per_unit = initial_seconds_per_unit * MAX_TOTAL_FACTOR
        # The initial estimate has a tenth of the full weight, so that observations
        # soon outweigh it.
        self._units = decay_units / 10
        self._seconds = initial_seconds_per_unit * self._units
        # Estimate and weight before the latest observation, and its seconds and units.
        self._before = self._seconds, self._units
        self._latest = 0.0, 0.0

    @property
    def seconds_per_unit(self) -> float:
        """Return the estimated seconds per unit of work."""
        return self._seconds / self._units

    def record(self, seconds: float, units: float) -> None:
        """Record a completed piece of work."""
        self._before = self._seconds, self._units
        self._latest = seconds, units
        if units <= 0:
            return
        estimate = self.seconds_per_unit
        weight = min(units, MAX_OBSERVATION_SHARE * self._decay_units)
        kept = 1.0 - weight / self._decay_units
        self._seconds = self._seconds * kept + seconds * (weight / units)
        self._units = self._units * kept + weight
        self._limit_estimate(
            max(self._min_seconds_per_unit, estimate / MAX_CHANGE_FACTOR),
            min(self._max_seconds_per_unit, estimate * MAX_CHANGE_FACTOR),
        )

    def extend_latest(self, units: float) -> None:
        """Record work that was completed within the time of the latest observation."""
        seconds, known_units = self._latest
        if known_units <= 0:
            return
        self._seconds, self._units = self._before
        self.record(seconds, known_units + units)

    def _limit_estimate(self, least: float, most: float) -> None:
        limited = min(most, max(least, self.seconds_per_unit))
        if limited != self.seconds_per_unit:
            self._seconds = limited * self._units
