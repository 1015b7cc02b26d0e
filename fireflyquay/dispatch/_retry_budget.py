"""Budget for retrying requests on another backend server."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fireflyquay.world import Incarnation, ServiceId

from ._fleet_knowledge import FleetKnowledge
from ._usage_messages import CoordinatorUsage, Ledger, ServiceUsage, is_valid

# Requests and retries of a ledger within this time are reported as one.
LEDGER_RESOLUTION_SECONDS = 1.0


@dataclass(slots=True)
class _Counts:
    """Hold the requests and retries of a service about the same time."""

    service: ServiceId
    at: float
    requests: int
    retries: int


@dataclass(frozen=True, slots=True)
class _KnownLedger:
    made_at: float
    counts: tuple[_Counts, ...]


class RetryBudget:
    """Limit retries to a share of the recent requests plus a fixed allowance.

    Guards against a service whose backend servers all fail at the same time: retries
    would double its load.

    Guards against a fresh allowance from each of several coordinators, one after the
    other: what others granted in the window counts, as VMs and ledgers report it.
    """

    def __init__(
        self,
        ratio: float,
        extra_retries: float,
        window_seconds: float,
        unknown_extra_retries: float | None = None,
        knowledge: FleetKnowledge | None = None,
    ) -> None:
        # Retries per request.
        self._ratio = ratio
        # Retries allowed beyond the ratio; fewer while a part of the window is unknown.
        self._extra_retries = extra_retries
        self._unknown_extra_retries = unknown_extra_retries
        # Length of the sliding window.
        self.window_seconds = window_seconds
        self._knowledge = knowledge or FleetKnowledge()
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}
        # The same in steps, since ledgers are made often.
        self._own_counts: dict[ServiceId, deque[_Counts]] = {}
        self._reports: dict[Incarnation, list[_Counts]] = {}
        # The latest ledger of each other coordinator.
        self._ledgers: dict[Incarnation, _KnownLedger] = {}

    def record_request(self, service: ServiceId, now: float) -> None:
        """Record the arrival of a request for a service."""
        self._get_recent(self._requests, service, now).append(now)
        self._count_own(service, 1, 0, now)

    def try_acquire(self, service: ServiceId, share: float, now: float) -> bool:
        """Consume one retry from the budget; return whether one was available.

        ``share`` is the fraction of the extra retries that this VM may grant.
        """
        extra = self._get_extra_retries(now)
        own_requests = len(self._get_recent(self._requests, service, now))
        own_retries = self._get_recent(self._retries, service, now)
        if share < 1.0:
            allowed = self._ratio * own_requests + extra * share
            if len(own_retries) + 1 > allowed:
                return False
        requests, retries = self._count(service, now)
        if retries + 1 > self._ratio * requests + extra:
            return False
        own_retries.append(now)
        self._count_own(service, 0, 1, now)
        return True

    def record_usage(
        self,
        vm: Incarnation,
        granted: tuple[CoordinatorUsage, ...],
        own: Incarnation,
        now: float,
    ) -> None:
        """Record all that other coordinators than this VM granted a VM recently."""
        self._forget(now)
        self._reports[vm] = [
            _read_counts(it, now)
            for granter in granted
            if granter.coordinator != own
            for it in granter.services
            if is_valid(it.age_seconds, it.requests, it.retries)
        ]

    def adopt_ledger(self, ledger: Ledger, now: float) -> None:
        """Remember what another coordinator counted."""
        made_at = now - ledger.age_seconds
        counts = tuple(
            _read_counts(it, made_at)
            for it in ledger.services
            if is_valid(it.age_seconds, it.requests, it.retries)
        )
        self._ledgers[ledger.coordinator] = _KnownLedger(made_at, counts)

    def list_usage(self, now: float) -> tuple[ServiceUsage, ...]:
        """Return the requests and retries of the window, by service."""
        services = {*self._requests, *self._retries}
        for counts in (
            *self._reports.values(),
            *(ledger.counts for ledger in self._ledgers.values()),
        ):
            services.update(it.service for it in counts)
        usage: list[ServiceUsage] = []
        for service in services:
            bins: dict[int, list[int]] = {}
            for it in self._choose_counts(service, now):
                index = int((now - it.at) // LEDGER_RESOLUTION_SECONDS)
                total = bins.setdefault(index, [0, 0])
                total[0] += it.requests
                total[1] += it.retries
            usage += [
                ServiceUsage(service, index * LEDGER_RESOLUTION_SECONDS, *total)
                for index, total in bins.items()
            ]
        return tuple(usage)

    def _get_extra_retries(self, now: float) -> float:
        if self._unknown_extra_retries is None or self._knowledge.covers(
            self.window_seconds, now
        ):
            return self._extra_retries
        return self._unknown_extra_retries

    def _count(self, service: ServiceId, now: float) -> tuple[int, int]:
        """Return the requests and retries of the window, as far as they are known."""
        if not self._reports and not self._ledgers:
            requests = self._get_recent(self._requests, service, now)
            return len(requests), len(self._get_recent(self._retries, service, now))
        counts = self._choose_counts(service, now)
        return sum(it.requests for it in counts), sum(it.retries for it in counts)

    def _choose_counts(self, service: ServiceId, now: float) -> list[_Counts]:
        """Return the counts from the source that knows most retries.

        None of them counts a retry twice.
        """
        since = now - self.window_seconds
        reported = [it for it in self._own_counts.get(service, ()) if it.at >= since]
        reported += [
            it
            for counts in self._reports.values()
            for it in counts
            if it.service == service and it.at >= since
        ]
        choices = [reported]
        for ledger in self._ledgers.values():
            choices.append(
                [it for it in ledger.counts if it.service == service and it.at >= since]
                + [it for it in reported if it.at > ledger.made_at]
            )
        return max(
            choices,
            key=lambda counts: (
                sum(it.retries for it in counts),
                sum(it.requests for it in counts),
            ),
        )

    def _count_own(
        self, service: ServiceId, requests: int, retries: int, now: float
    ) -> None:
        counts = self._own_counts.setdefault(service, deque())
        if counts and now - counts[-1].at < LEDGER_RESOLUTION_SECONDS:
            counts[-1].requests += requests
            counts[-1].retries += retries
            return
        counts.append(_Counts(service, now, requests, retries))
        while counts[0].at < now - self.window_seconds:
            counts.popleft()

    def _forget(self, now: float) -> None:
        """Forget what lies before the window."""
        since = now - self.window_seconds
        for vm, counts in list(self._reports.items()):
            if all(it.at < since for it in counts):
                del self._reports[vm]
        for coordinator, ledger in list(self._ledgers.items()):
            if ledger.made_at < since:
                del self._ledgers[coordinator]

    def _get_recent(
        self,
        times_by_service: dict[ServiceId, deque[float]],
        service: ServiceId,
        now: float,
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] < now - self.window_seconds:
            times.popleft()
        return times


def _read_counts(usage: ServiceUsage, now: float) -> _Counts:
    at = now - usage.age_seconds
    return _Counts(usage.service, at, usage.requests, usage.retries)
