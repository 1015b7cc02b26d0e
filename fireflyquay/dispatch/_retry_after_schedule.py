"""Retry-After times for refused requests."""

from __future__ import annotations

import random

# A client honors a Retry-After of at most this fraction of its remaining time: the
# limit that the platform states, less a margin for network delay.
HONORED_TIME_SHARE = 0.32
# An earlier retry would find the queue unchanged.
MIN_RETRY_AFTER_SECONDS = 0.3
# Share of the honored time over which retries are spread while a rank is overloaded.
OVERLOAD_SPREAD_SHARE = 0.3


class RetryAfterSchedule:
    """Spread retries of refused clients over the time in which capacity becomes free.

    Guards against repeated bursts: clients that all retry after the same delay would
    cause the next burst.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Loop time from which free capacity is not yet assigned to a retry.
        self._capacity_free_at = 0.0

    def schedule_retry(
        self,
        backlog: float,
        work: float,
        seconds_to_deadline: float,
        now: float,
        is_overloaded: bool = False,
    ) -> float:
        """Return the seconds after which a refused client should retry.

        ``backlog`` and ``work`` are the seconds of work of the queued requests and of
        this one. Under overload no capacity is expected to become free, so the client
        is told to retry as late as it will honor.
        """
        if is_overloaded:
            limit = max(
                MIN_RETRY_AFTER_SECONDS, HONORED_TIME_SHARE * seconds_to_deadline
            )
            return limit * self._rng.uniform(1.0 - OVERLOAD_SPREAD_SHARE, 1.0)
        self._capacity_free_at = max(self._capacity_free_at, now + backlog) + work
        limit = max(MIN_RETRY_AFTER_SECONDS, HONORED_TIME_SHARE * seconds_to_deadline)
        seconds = max(MIN_RETRY_AFTER_SECONDS, self._capacity_free_at - now)
        if seconds > limit:
            seconds = limit
            self._capacity_free_at = min(self._capacity_free_at, now + limit)
        return seconds
