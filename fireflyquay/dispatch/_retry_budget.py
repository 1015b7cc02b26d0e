"""Budget for retrying requests on another backend server."""

from __future__ import annotations

from collections import deque

from fireflyquay.world import ServiceId


class RetryBudget:
    """Limit retries to a share of the recent requests plus a fixed allowance.

    Guards against a service whose backend servers all fail at the same time: retries
    would double its load.
    """

    def __init__(
        self, ratio: float, extra_retries: float, window_seconds: float
    ) -> None:
        # Retries per request.
        self._ratio = ratio
        # Retries allowed beyond the ratio.
        self._extra_retries = extra_retries
        # Length of the sliding window.
        self._window_seconds = window_seconds
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def record_request(self, service: ServiceId, now: float) -> None:
        """Record the arrival of a request for a service."""
        self._get_recent(self._requests, service, now).append(now)

    def try_acquire(self, service: ServiceId, share: float, now: float) -> bool:
        """Consume one retry from the budget; return whether one was available.

        ``share`` is the fraction of the extra retries that this VM may grant.
        """
        requests = self._get_recent(self._requests, service, now)
        retries = self._get_recent(self._retries, service, now)
        if len(retries) + 1 > self._ratio * len(requests) + self._extra_retries * share:
            return False
        retries.append(now)
        return True

    def _get_recent(
        self,
        times_by_service: dict[ServiceId, deque[float]],
        service: ServiceId,
        now: float,
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] < now - self._window_seconds:
            times.popleft()
        return times
