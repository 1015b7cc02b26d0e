"""Pacing of requests to a backend server that states how many it takes."""

from __future__ import annotations

# Least requests per second: a backend server that gets none can't state that its limit
# has ended.
MIN_TRIAL_RATE = 0.1
# Factor by which the rate grows with each response that states no limit. Some backend
# servers state their limit on a part of their responses only.
RECOVERY_FACTOR = 1.5
# Requests per second and slot at which a growing rate no longer binds.
UNLIMITED_RATE_PER_SLOT = 2.0
# Seconds of requests that may be granted at once after a pause.
BURST_SECONDS = 0.25
# Maximum credit is at least one whole request.
MIN_BURST_REQUESTS = 1.0


class RequestLimit:
    """Pace requests to one backend server.

    Requests are granted from a credit that grows with time. The limit ends in steps,
    so that no burst follows a response that happens to state none.
    """

    def __init__(self, stated_rate: float, stated_at: float) -> None:
        # As the backend server stated it, in requests per second.
        self.stated_rate = stated_rate
        # Loop time at which the latest statement was received.
        self.stated_at = stated_at
        # Requests per second that are granted at present.
        self.rate = max(MIN_TRIAL_RATE, stated_rate)
        self._credit = 0.0
        self._credited_at = stated_at

    def record_statement(self, rate: float, stated_at: float) -> bool:
        """Follow a statement; return whether it changes the rate."""
        if stated_at < self.stated_at:
            return False
        before = self.rate
        self.stated_rate, self.stated_at = rate, stated_at
        self.rate = max(MIN_TRIAL_RATE, rate)
        return self.rate != before

    def record_absence(self, sent_at: float) -> bool:
        """Raise the rate after a response without a limit; return whether it counts.

        The response to a request sent before the latest statement proves nothing.
        """
        if sent_at <= self.stated_at:
            return False
        self.rate *= RECOVERY_FACTOR
        return True

    def has_ended(self, slots: int) -> bool:
        """Return whether the rate has grown so far that it no longer binds."""
        is_recovering = self.rate > max(MIN_TRIAL_RATE, self.stated_rate)
        return is_recovering and self.rate >= UNLIMITED_RATE_PER_SLOT * slots

    def can_grant(self, share: float, now: float) -> bool:
        """Return whether a request may be granted; ``share`` is that of this VM."""
        self._update_credit(share, now)
        return self._credit >= 1.0

    def charge(self, share: float, now: float) -> None:
        """Take the credit of one granted request."""
        self._update_credit(share, now)
        self._credit -= 1.0

    def reset_credit(self, credit: float, now: float) -> None:
        """Replace the credit, because other VMs have granted requests meanwhile."""
        self._credit, self._credited_at = credit, now

    def _update_credit(self, share: float, now: float) -> None:
        elapsed = max(0.0, now - self._credited_at)
        rate = self.rate * share
        burst = max(MIN_BURST_REQUESTS, rate * BURST_SECONDS)
        self._credit = min(burst, self._credit + elapsed * rate)
        self._credited_at = now
