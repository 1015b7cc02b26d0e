"""Log of what coordinators granted this VM recently."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fireflyquay.world import ClientAccountId, Incarnation

from ._quota_limiter import REPORTED_USAGE_SECONDS
from ._slot_messages import SlotRequest
from ._usage_messages import CoordinatorUsage, GrantedUsage

# Grants within this time are reported as one.
REPORT_RESOLUTION_SECONDS = 0.1


@dataclass(slots=True)
class _Entry:
    """Hold what a client account was granted about the same time."""

    coordinator: Incarnation
    account: ClientAccountId
    granted_at: float
    requests: int
    tokens: float


class UsageLog:
    """Remember the grants of a window for the next coordinator."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._entries: deque[_Entry] = deque()

    def record_grant(
        self, request: SlotRequest, coordinator: Incarnation, now: float
    ) -> None:
        """Record a grant that was charged to a client account."""
        self._forget(now)
        for entry in reversed(self._entries):
            if now - entry.granted_at > REPORT_RESOLUTION_SECONDS:
                break
            if (entry.coordinator, entry.account) == (coordinator, request.account):
                entry.requests += 1
                entry.tokens += request.quota_tokens
                return
        self._entries.append(
            _Entry(coordinator, request.account, now, 1, request.quota_tokens)
        )

    def list_granted(self, now: float) -> tuple[CoordinatorUsage, ...]:
        """Return the grants of the window by coordinator."""
        self._forget(now)
        by_coordinator: dict[Incarnation, list[GrantedUsage]] = {}
        for it in self._entries:
            by_coordinator.setdefault(it.coordinator, []).append(
                GrantedUsage(it.account, now - it.granted_at, it.requests, it.tokens)
            )
        return tuple(
            CoordinatorUsage(coordinator, tuple(usage))
            for coordinator, usage in by_coordinator.items()
        )

    def sum_recent(self, now: float) -> tuple[tuple[ClientAccountId, int, float], ...]:
        """Return sums by client account, for a coordinator that reads no history."""
        sums: dict[ClientAccountId, tuple[int, float]] = {}
        for it in self._entries:
            if it.granted_at >= now - REPORTED_USAGE_SECONDS:
                requests, tokens = sums.get(it.account, (0, 0.0))
                sums[it.account] = (requests + it.requests, tokens + it.tokens)
        return tuple((account, *used) for account, used in sums.items())

    def _forget(self, now: float) -> None:
        while (
            self._entries and self._entries[0].granted_at < now - self._window_seconds
        ):
            self._entries.popleft()
