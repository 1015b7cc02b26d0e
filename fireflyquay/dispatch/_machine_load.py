"""How long work takes on the machines of backend servers at this moment.

Guards against load on shared machines: some of them are several times slower than
usual for fractions of a second, and other ones each time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from fireflyquay.world import ServiceId

# Width and number of the intervals of age for which the weight of a reading is learned.
# Older readings carry no weight.
AGE_STEP_SECONDS = 0.1
AGE_STEPS = 10
MAX_AGE = AGE_STEPS * AGE_STEP_SECONDS
# Age from which a reading is assumed to carry no information until work has shown more.
ASSUMED_LIFETIME_SECONDS = 0.6
# Bounds of a reading relative to the mean: a single odd one must not outweigh all.
MAX_RATIO = 10.0
MIN_RATIO = 1 / MAX_RATIO
# Weight of the assumed slope, as the sum of squared deviations: about ten runs on slow
# and fast machines.
ASSUMED_SLOPE_WEIGHT = 3.0
# Least weight that earlier runs keep: about one run.
MIN_SLOPE_WEIGHT = ASSUMED_SLOPE_WEIGHT / 10
# Decay constants of what is learned, in runs.
SERVICE_DECAY_RUNS = 300
SERVER_DECAY_RUNS = 40
# Decay constant of a machine's mean slowness, and the weight of what is assumed first.
# Each machine has its own: false figures of others must not shift it.
MEAN_DECAY_SECONDS = 30.0
ASSUMED_MEAN_SECONDS = 2.0
USUAL_SLOWNESS = 1.0
# Readings of a process that are kept, for the runs that began after them.
KEPT_READINGS = 8
# Change of the weight of a fresh reading that is reported.
REPORTED_WEIGHT_CHANGE = 0.25


class MachineReading(msgspec.Struct, frozen=True, array_like=True):
    """Describe how long work took on a machine, as a response stated."""

    # Factor by which work takes longer than usual.
    slowness: float
    # Seconds since the response's head was received.
    age_seconds: float


class _Slope:
    """Learn how much of a predicted deviation shows in measured times.

    The result is 1 if measured times deviate as predicted, and 0 if the prediction
    explains nothing.
    """

    def __init__(self, assumed: float, decay_runs: int) -> None:
        self._decay = 1.0 - 1.0 / decay_runs
        self._products = assumed * ASSUMED_SLOPE_WEIGHT
        self._squares = ASSUMED_SLOPE_WEIGHT

    @property
    def value(self) -> float:
        """Return the share of a predicted deviation to expect."""
        return min(1.0, max(0.0, self._products / self._squares))

    def record(self, predicted: float, measured: float) -> None:
        """Record the predicted and measured deviation of a run's time."""
        if self._squares * self._decay >= MIN_SLOPE_WEIGHT:
            self._products *= self._decay
            self._squares *= self._decay
        self._products += predicted * measured
        self._squares += predicted * predicted


class _Mean:
    """Learn the mean slowness over time.

    Counting readings instead would find the machines too fast: those that are slow get
    fewer requests, and so state less.
    """

    def __init__(self) -> None:
        self._integral = USUAL_SLOWNESS * ASSUMED_MEAN_SECONDS
        self._seconds = ASSUMED_MEAN_SECONDS

    @property
    def value(self) -> float:
        """Return the mean."""
        return self._integral / self._seconds

    def bound_ratio(self, slowness: float) -> float:
        """Return the ratio of a slowness to the mean, within the bounds."""
        return min(MAX_RATIO, max(MIN_RATIO, slowness / self.value))

    def record(self, slowness: float, seconds: float) -> None:
        """Record a slowness that stands for the given seconds."""
        bounded = self.value * self.bound_ratio(slowness)
        kept = 1.0 - seconds / MEAN_DECAY_SECONDS
        self._integral = self._integral * kept + bounded * seconds
        self._seconds = self._seconds * kept + seconds


class ServiceMachines:
    """Learn what readings of a service's backend servers are worth.

    The weight of a reading falls with its age. For each interval of age it is the slope
    of measured on stated deviations, so figures that explain nothing lose it.
    """

    def __init__(self) -> None:
        self.readings_received = 0
        # Forecasts that a reading changed.
        self.adjusted_forecasts = 0
        # Called with the weight of a fresh reading after a change.
        self.on_change: Callable[[float], None] | None = None
        self._reported_weight = 1.0
        middles = [(step + 0.5) * AGE_STEP_SECONDS for step in range(AGE_STEPS)]
        self._slopes = [
            _Slope(max(0.0, 1.0 - it / ASSUMED_LIFETIME_SECONDS), SERVICE_DECAY_RUNS)
            for it in middles
        ]
        # Integral of the weight over the age, at the bounds of the intervals.
        self._integral: list[float] = []
        self._update_integral()

    @property
    def fresh_weight(self) -> float:
        """Return the weight of a reading that was just made."""
        return self._slopes[0].value

    def compute_mean_weight(self, start_age: float, end_age: float) -> float:
        """Return the mean weight of a reading between two ages, which may be equal."""
        if end_age - start_age < 1e-6:
            end_age = start_age + 1e-6
        area = self._integrate(end_age) - self._integrate(start_age)
        return area / (end_age - start_age)

    def record_run(self, age: float, stated: float, measured: float) -> None:
        """Record the stated and measured deviation of a run's time.

        ``age`` is that of the reading in the middle of the run.
        """
        step = int(age / AGE_STEP_SECONDS)
        if not 0 <= step < AGE_STEPS:
            return
        self._slopes[step].record(stated, measured)
        self._update_integral()
        weight = self.fresh_weight
        if abs(weight - self._reported_weight) >= REPORTED_WEIGHT_CHANGE:
            self._reported_weight = weight
            if self.on_change is not None:
                self.on_change(weight)

    def _update_integral(self) -> None:
        total, self._integral = 0.0, [0.0]
        weight = 1.0
        for slope in self._slopes:
            # An older reading never tells more than a newer one.
            weight = min(weight, slope.value)
            total += weight * AGE_STEP_SECONDS
            self._integral.append(total)

    def _integrate(self, age: float) -> float:
        """Return the integral of the weight up to an age; odd for negative ages."""
        if age < 0:
            return -self._integrate(-age)
        position = age / AGE_STEP_SECONDS
        step = int(position)
        if step >= AGE_STEPS:
            return self._integral[-1]
        before, after = self._integral[step], self._integral[step + 1]
        return before + (position - step) * (after - before)


class MachineLoad:
    """Forecast the factor by which work takes longer on one server's machine.

    Factors are relative to the machine's own mean, at which its speeds are learned: a
    server that states nothing, or whose reading is old, has the factor 1.
    """

    def __init__(self, service: ServiceMachines) -> None:
        self._service = service
        # Loop time at which each of the latest readings was made, and the slowness.
        self._readings: deque[tuple[float, float]] = deque(maxlen=KEPT_READINGS)
        self._mean = _Mean()
        # Share of the service's forecasts that shows in this server's times.
        self._credibility = _Slope(1.0, SERVER_DECAY_RUNS)

    def record_reading(self, reading: MachineReading, now: float) -> None:
        """Keep a reading, unless a newer one is known."""
        made_at = now - max(0.0, reading.age_seconds)
        previous_at = self._readings[-1][0] if self._readings else made_at - MAX_AGE
        if made_at <= previous_at:
            return
        self._readings.append((made_at, reading.slowness))
        self._service.readings_received += 1
        self._mean.record(reading.slowness, min(MAX_AGE, made_at - previous_at))

    def forecast_factor(self, now: float, seconds: float) -> float:
        """Return the factor for work that takes the given seconds from now."""
        if not self._readings:
            return 1.0
        made_at, slowness = self._readings[-1]
        age = now - made_at
        weight = self._service.compute_mean_weight(age, age + seconds)
        if weight <= 0.0:
            return 1.0
        self._service.adjusted_forecasts += 1
        deviation = self._mean.bound_ratio(slowness) - 1.0
        return 1.0 + self._credibility.value * weight * deviation

    def estimate_factor(self, started_at: float, now: float) -> float:
        """Return the factor for work that was done between two loop times."""
        return 1.0 + self._credibility.value * self._explain(started_at, now)

    def record_run(self, started_at: float, now: float, ratio: float) -> None:
        """Learn from work what readings are worth.

        ``ratio`` is that of the measured time to the one forecast without readings.
        """
        if not self._readings:
            return
        measured = min(MAX_RATIO, ratio) - 1.0
        earlier = [it for it in self._readings if it[0] <= started_at]
        if earlier:
            made_at, slowness = earlier[-1]
            deviation = self._mean.bound_ratio(slowness) - 1.0
            age = (started_at + now) / 2 - made_at
            stated = self._credibility.value * deviation
            self._service.record_run(age, stated, measured)
        self._credibility.record(self._explain(started_at, now), measured)

    def _explain(self, started_at: float, now: float) -> float:
        """Return the deviation of work's time that the latest reading explains."""
        if not self._readings:
            return 0.0
        made_at, slowness = self._readings[-1]
        weight = self._service.compute_mean_weight(started_at - made_at, now - made_at)
        return weight * (self._mean.bound_ratio(slowness) - 1.0)


class MachineLoads:
    """Hold what readings are worth at each service."""

    def __init__(self) -> None:
        self._services: dict[ServiceId, ServiceMachines] = {}
        # Called with the service and the weight of a fresh reading when that changed.
        self.on_change: Callable[[ServiceId, float], None] | None = None

    @property
    def readings_received(self) -> int:
        """Return the number of readings received."""
        return sum(it.readings_received for it in self._services.values())

    @property
    def adjusted_forecasts(self) -> int:
        """Return the number of forecasts that a reading changed."""
        return sum(it.adjusted_forecasts for it in self._services.values())

    @property
    def lowest_weight(self) -> float:
        """Return the lowest weight of fresh readings; 0 if no service states any."""
        weights = [
            it.fresh_weight for it in self._services.values() if it.readings_received
        ]
        return min(weights, default=0.0)

    def track_machine(self, service: ServiceId) -> MachineLoad:
        """Return the load of the machine of a backend server's new process."""
        if service not in self._services:
            machines = self._services[service] = ServiceMachines()
            machines.on_change = lambda weight: self._report(service, weight)
        return MachineLoad(self._services[service])

    def _report(self, service: ServiceId, weight: float) -> None:
        if self.on_change is not None:
            self.on_change(service, weight)
