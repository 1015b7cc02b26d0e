"""What a rank got lately: how long it waits, and whether it starves."""

from __future__ import annotations

from collections import deque

# Seconds over which grants are counted for the forecast: longer than the pauses between
# places that come free, shorter than a burst.
GRANT_RATE_WINDOW_SECONDS = 1.0
# Waiting requests of a rank below which the wait is not forecast: too few grants tell
# of their rate.
MIN_FORECAST_REQUESTS = 4
# Requests after which an older decision has faded to a third.
GRANTED_SHARE_MEMORY_REQUESTS = 40
# Seconds over which arrivals and grants are compared: long enough for a few dozen.
OVERLOAD_WINDOW_SECONDS = 2.0
# Arrivals for each grant, and besides, from which a rank counts as overrun.
OVERLOAD_FACTOR = 1.15
OVERLOAD_MARGIN_REQUESTS = 3


class _SlidingWindowCounter:
    """Count events of the last seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count an event."""
        self._times.append(now)
        self.count(now)

    def count(self, now: float) -> int:
        """Return how many events there were."""
        while self._times and self._times[0] < now - self._seconds:
            self._times.popleft()
        return len(self._times)


class RankStatistics:
    """Count the grants and refusals of one rank.

    Answers sustained overload: what urgent ranks take leaves the others a rate of their
    own, and whoever it will not reach in time is told so at once.
    """

    def __init__(self) -> None:
        self._rate_grants = _SlidingWindowCounter(GRANT_RATE_WINDOW_SECONDS)
        # Over a longer time: grants and arrivals, whatever became of them.
        self._overload_grants = _SlidingWindowCounter(OVERLOAD_WINDOW_SECONDS)
        self._overload_arrivals = _SlidingWindowCounter(OVERLOAD_WINDOW_SECONDS)
        # Part of its requests that got places.
        self.granted_share = 1.0

    def record_arrival(self, now: float) -> None:
        """Count a request that asked for a place."""
        self._overload_arrivals.record(now)

    def record_grant(self, now: float) -> None:
        """Count a grant."""
        self._rate_grants.record(now)
        self._overload_grants.record(now)
        self.granted_share += (1.0 - self.granted_share) / GRANTED_SHARE_MEMORY_REQUESTS

    def record_refusal(self) -> None:
        """Count a refusal."""
        self.granted_share -= self.granted_share / GRANTED_SHARE_MEMORY_REQUESTS

    def estimate_wait(self, waiting: int, now: float) -> float:
        """Return the seconds until so many waiting requests have their places."""
        if waiting < MIN_FORECAST_REQUESTS:
            return 0.0
        # One grant more than seen: a rank that just begins to wait has had none.
        return waiting * GRANT_RATE_WINDOW_SECONDS / (self._rate_grants.count(now) + 1)

    def is_overloaded(self, now: float) -> bool:
        """Tell whether far more has asked than got places lately."""
        granted = self._overload_grants.count(now)
        return (
            self._overload_arrivals.count(now)
            > OVERLOAD_FACTOR * granted + OVERLOAD_MARGIN_REQUESTS
        )
