"""Retry-After times for refused requests."""

from __future__ import annotations

import random
from collections import OrderedDict

from fireflyquay.world import Fingerprint

# A client honors a Retry-After time only within this share of the time that it has
# left. The platform states the share; a margin for network delay is subtracted.
HONORED_TIME_SHARE = 0.32
# A client that retries sooner would meet the same queue.
MIN_RETRY_AFTER_SECONDS = 0.3
# Share of the honored time over which retries are spread while a rank is overloaded.
OVERLOAD_SPREAD_SHARE = 0.3
# Refusals are remembered for as long as clients wait before and after a retry.
MAX_REMEMBERED_REFUSALS = 4096
REFUSAL_MEMORY_SECONDS = 15.0


class RetryAfterSchedule:
    """Spread the retries of refused clients over the time in which capacity is free.

    Guards against repeated bursts: clients that all retry after the same delay would
    cause the next burst.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Loop time from which capacity is free and not yet scheduled for a retry.
        self._capacity_free_at = 0.0
        self._refused_at: OrderedDict[Fingerprint, float] = OrderedDict()

    def schedule_retry(
        self,
        fingerprint: Fingerprint,
        backlog: float,
        work: float,
        seconds_to_deadline: float,
        now: float,
        is_overloaded: bool = False,
    ) -> float:
        """Return the seconds after which a refused client should retry.

        ``backlog`` is the seconds of work of the queued requests, ``work`` those that
        this request adds. Under overload no capacity is expected to become free, so the
        client retries as late as it honors.
        """
        if is_overloaded:
            self._record_refusal(fingerprint, now)
            latest = max(
                MIN_RETRY_AFTER_SECONDS, HONORED_TIME_SHARE * seconds_to_deadline
            )
            return latest * self._rng.uniform(1.0 - OVERLOAD_SPREAD_SHARE, 1.0)
        self._capacity_free_at = max(self._capacity_free_at, now + backlog) + work
        limit = max(MIN_RETRY_AFTER_SECONDS, HONORED_TIME_SHARE * seconds_to_deadline)
        seconds = max(MIN_RETRY_AFTER_SECONDS, self._capacity_free_at - now)
        if seconds > limit:
            seconds = limit
            self._capacity_free_at = min(self._capacity_free_at, now + limit)
        self._record_refusal(fingerprint, now)
        return seconds

    def _record_refusal(self, fingerprint: Fingerprint, now: float) -> None:
        self._refused_at[fingerprint] = now
        self._refused_at.move_to_end(fingerprint)
        while len(self._refused_at) > MAX_REMEMBERED_REFUSALS:
            self._refused_at.popitem(last=False)

    def was_refused_recently(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request was refused recently."""
        refused_at = self._refused_at.get(fingerprint)
        return refused_at is not None and now - refused_at < REFUSAL_MEMORY_SECONDS
