"""The budget for sending requests to a second backend server."""

from __future__ import annotations

from collections import deque

from fireflyquay.world import ServiceId


class RetryBudget:
    """Bound repeats by a part of the requests within a sliding window.

    Answers a service whose backend servers fail at once: repeats would double its load.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        # Repeats for each request.
        self._ratio = ratio
        # Repeats beyond the ratio.
        self._slack = slack
        # Seconds.
        self._window = window
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def record_request(self, service: ServiceId, now: float) -> None:
        """Count a request that arrived for a service."""
        self._trim(self._requests, service, now).append(now)

    def try_acquire(self, service: ServiceId, share: float, now: float) -> bool:
        """Take one repeat if the budget allows it.

        The share is the part of the slack that this book may give out.
        """
        requests = self._trim(self._requests, service, now)
        retries = self._trim(self._retries, service, now)
        if len(retries) + 1 > self._ratio * len(requests) + self._slack * share:
            return False
        retries.append(now)
        return True

    def _trim(
        self, table: dict[ServiceId, deque[float]], service: ServiceId, now: float
    ) -> deque[float]:
        times = table.setdefault(service, deque())
        while times and times[0] < now - self._window:
            times.popleft()
        return times
