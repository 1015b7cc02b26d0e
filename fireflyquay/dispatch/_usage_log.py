"""Log of what coordinators granted this VM recently."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fireflyquay.world import ClientAccountId, Incarnation, ServiceId

from ._quota_limiter import REPORTED_USAGE_SECONDS
from ._slot_messages import SlotRequest
from ._usage_messages import CoordinatorUsage, GrantedUsage, ServiceUsage

# Grants within this time are reported as one.
REPORT_RESOLUTION_SECONDS = 0.1


@dataclass(slots=True)
class _Entry:
    """Hold what was granted about the same time."""

    coordinator: Incarnation
    # Whom it was charged to; empty if to no quota.
    account: ClientAccountId
    service: ServiceId
    granted_at: float
    requests: int = 0
    retries: int = 0
    tokens: float = 0.0


class UsageLog:
    """Remember the grants of a window for the next coordinator."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._entries: deque[_Entry] = deque()

    def record_grant(
        self, request: SlotRequest, coordinator: Incarnation, now: float
    ) -> None:
        """Record a grant, unless an earlier one of the request was charged."""
        if request.is_charged:
            return
        self._forget(now)
        entry = self._find_or_add(request, coordinator, now)
        if request.is_retry:
            entry.retries += 1
            return
        entry.requests += 1
        entry.tokens += request.quota_tokens

    def list_granted(self, now: float) -> tuple[CoordinatorUsage, ...]:
        """Return the grants of the window by coordinator."""
        self._forget(now)
        quotas: dict[Incarnation, list[GrantedUsage]] = {}
        services: dict[Incarnation, list[ServiceUsage]] = {}
        for it in self._entries:
            age = now - it.granted_at
            if it.account and it.requests:
                quotas.setdefault(it.coordinator, []).append(
                    GrantedUsage(it.account, age, it.requests, it.tokens)
                )
            services.setdefault(it.coordinator, []).append(
                ServiceUsage(it.service, age, it.requests, it.retries)
            )
        return tuple(
            CoordinatorUsage(key, tuple(quotas.get(key, ())), tuple(usage))
            for key, usage in services.items()
        )

    def sum_recent(self, now: float) -> tuple[tuple[ClientAccountId, int, float], ...]:
        """Return sums by client account, for a coordinator that reads no history."""
        sums: dict[ClientAccountId, tuple[int, float]] = {}
        for it in self._entries:
            is_recent = it.granted_at >= now - REPORTED_USAGE_SECONDS
            if it.account and it.requests and is_recent:
                requests, tokens = sums.get(it.account, (0, 0.0))
                sums[it.account] = (requests + it.requests, tokens + it.tokens)
        return tuple((account, *used) for account, used in sums.items())

    def _find_or_add(
        self, request: SlotRequest, coordinator: Incarnation, now: float
    ) -> _Entry:
        key = coordinator, request.account, request.service
        for entry in reversed(self._entries):
            if now - entry.granted_at > REPORT_RESOLUTION_SECONDS:
                break
            if (entry.coordinator, entry.account, entry.service) == key:
                return entry
        entry = _Entry(*key, now)
        self._entries.append(entry)
        return entry

    def _forget(self, now: float) -> None:
        while (
            self._entries and self._entries[0].granted_at < now - self._window_seconds
        ):
            self._entries.popleft()
