"""Recent grants, refusals and arrivals of one rank."""

from __future__ import annotations

import math
from collections import deque

# Window of the grant rate from which waits are forecast: longer than the interval
# between freed slots, shorter than a burst.
GRANT_RATE_WINDOW_SECONDS = 1.0
# Window of the arrival rate from which the grants to late requests are forecast: the
# end of a burst shows within it.
ARRIVAL_RATE_WINDOW_SECONDS = 0.5
# With fewer waiting requests no wait is forecast: too few grants to estimate a rate.
MIN_WAITING_FOR_FORECAST = 4
# Decay constant: requests after which a decision has about a third of its weight.
GRANTED_SHARE_DECAY_REQUESTS = 40
# Window over which arrivals and grants are compared: long enough for a few dozen of
# each.
OVERLOAD_WINDOW_SECONDS = 2.0
# A rank is overloaded if its arrivals exceed its grants by this factor and margin.
OVERLOAD_FACTOR = 1.15
OVERLOAD_MARGIN_REQUESTS = 3
# Time for which a rank has room for late requests after none of the others waited:
# longer than the intervals at which requests arrive in groups.
ROOM_MEMORY_SECONDS = 0.25
# Weight of one run in the moving average of first output delays.
FIRST_OUTPUT_DELAY_WEIGHT = 0.025
# Multiple of the average delay within which most first outputs arrive.
FIRST_OUTPUT_RESERVE_FACTOR = 1.5
# Window over which the shortest objective of a rank is taken: longer than the wait of
# any request, so that those that wait together have the same bound.
OBJECTIVE_WINDOW_SECONDS = 5.0
# Least fraction of the objective within which a waiting request is on time.
MIN_ON_TIME_WAIT_SHARE = 0.2


class _SlidingWindowCounter:
    """Count events within a sliding window."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def record(self, now: float) -> None:
        """Record an event."""
        self._times.append(now)
        self.count(now)

    def count(self, now: float) -> int:
        """Return the number of events within the window."""
        while self._times and self._times[0] < now - self._seconds:
            self._times.popleft()
        return len(self._times)


class RankStatistics:
    """Track the arrivals, grants and refusals of one rank.

    Guards against sustained overload. The grant rate of a rank depends on the slots
    that more urgent ranks leave; requests that can't be granted in time at that rate
    are refused on arrival.
    """

    def __init__(self) -> None:
        # Arrivals include refused requests, but no retries.
        self._forecast_grants = _SlidingWindowCounter(GRANT_RATE_WINDOW_SECONDS)
        self._forecast_arrivals = _SlidingWindowCounter(ARRIVAL_RATE_WINDOW_SECONDS)
        self._overload_grants = _SlidingWindowCounter(OVERLOAD_WINDOW_SECONDS)
        self._overload_arrivals = _SlidingWindowCounter(OVERLOAD_WINDOW_SECONDS)
        # Loop time at which no request waited that could still be on time.
        self._had_room_at = -math.inf
        # Moving average of the share of requests that were granted a slot.
        self.granted_share = 1.0
        # Moving average of the seconds from a grant to the first output.
        self._first_output_delay = 0.0
        # Shortest latency objective of the requests of each of two successive windows,
        # and the loop time at which the current one began.
        self._shortest_objectives = (math.inf, math.inf)
        self._objectives_since = -math.inf

    def record_arrival(self, now: float, latency_objective: float = 0.0) -> None:
        """Record the arrival of a request, and its objective unless it is 0."""
        self._forecast_arrivals.record(now)
        self._overload_arrivals.record(now)
        previous, current = self._shortest_objectives
        if now - self._objectives_since > OBJECTIVE_WINDOW_SECONDS:
            previous, current = current, math.inf
            self._objectives_since = now
        if latency_objective > 0:
            current = min(current, latency_objective)
        self._shortest_objectives = (previous, current)

    def record_grant(self, now: float) -> None:
        """Record a grant."""
        self._forecast_grants.record(now)
        self._overload_grants.record(now)
        self.granted_share += (1.0 - self.granted_share) / GRANTED_SHARE_DECAY_REQUESTS

    def record_refusal(self) -> None:
        """Record a refusal."""
        self.granted_share -= self.granted_share / GRANTED_SHARE_DECAY_REQUESTS

    def record_first_output(self, delay: float) -> None:
        """Record the seconds from a grant to its first output."""
        self._first_output_delay += FIRST_OUTPUT_DELAY_WEIGHT * (
            delay - self._first_output_delay
        )

    def compute_on_time_wait(self, seconds_to_objective: float) -> float:
        """Return the seconds for which a request may wait and still be on time.

        Guards against refusing requests by kind or size: under sustained overload only
        those of the longest bound reach the head of a queue, so all requests of a rank
        get the bound of its shortest objective and of its average run.
        """
        seconds = self.limit_to_shortest_objective(seconds_to_objective)
        return max(
            seconds - FIRST_OUTPUT_RESERVE_FACTOR * self._first_output_delay,
            MIN_ON_TIME_WAIT_SHARE * seconds,
        )

    def limit_to_shortest_objective(self, seconds_to_objective: float) -> float:
        """Return the seconds, at most the shortest recent objective of the rank."""
        return min(seconds_to_objective, *self._shortest_objectives)

    def estimate_wait(self, waiting: int, now: float) -> float:
        """Return the forecast seconds until ``waiting`` requests have got slots."""
        if waiting < MIN_WAITING_FOR_FORECAST:
            return 0.0
        # Adds one because a rank that has just begun to wait has no grants yet.
        return (
            waiting * GRANT_RATE_WINDOW_SECONDS / (self._forecast_grants.count(now) + 1)
        )

    def record_room(self, now: float) -> None:
        """Record that no request of the rank waits that can still be on time."""
        self._had_room_at = now

    def estimate_late_wait(self, waiting: int, now: float) -> float:
        """Return the forecast seconds until late requests have got slots.

        ``waiting`` is their number with that of all before them. They get the slots
        that arriving requests leave: all that become free, if none waited recently that
        could be on time.
        """
        rate = self._forecast_grants.count(now) / GRANT_RATE_WINDOW_SECONDS
        if now - self._had_room_at > ROOM_MEMORY_SECONDS:
            arrivals = self._forecast_arrivals.count(now)
            rate -= arrivals / ARRIVAL_RATE_WINDOW_SECONDS
        return waiting / rate if rate > 0 else math.inf

    def is_overloaded(self, now: float) -> bool:
        """Return whether recent arrivals far exceed recent grants."""
        granted = self._overload_grants.count(now)
        return (
            self._overload_arrivals.count(now)
            > OVERLOAD_FACTOR * granted + OVERLOAD_MARGIN_REQUESTS
        )
