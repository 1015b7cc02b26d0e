"""What a rank got lately: how long it waits, and whether it starves."""

from __future__ import annotations

from collections import deque

# Seconds over which grants are counted for the forecast: longer than the pauses between
# places that come free, shorter than a burst.
RATE_SECONDS = 1.0
# Waiting requests of a rank below which the wait is not forecast: too few grants tell
# of their rate.
MIN_WAITING = 4
# Requests after which an older decision has faded to a third.
SHARE_MEMORY = 40
# Seconds over which arrivals and grants are compared: long enough for a few dozen.
BALANCE_SECONDS = 2.0
# Arrivals for each grant, and besides, from which a rank counts as overrun.
OVERRUN_FACTOR = 1.15
OVERRUN_MARGIN = 3


class _Window:
    """Count events of the last seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def note(self, now: float) -> None:
        """Count an event."""
        self._times.append(now)
        self.count(now)

    def count(self, now: float) -> int:
        """Return how many events there were."""
        while self._times and self._times[0] < now - self._seconds:
            self._times.popleft()
        return len(self._times)


class RankRecord:
    """Count the grants and refusals of one rank.

    Answers sustained overload: what urgent ranks take leaves the others a rate of their
    own, and whoever it will not reach in time is told so at once.
    """

    def __init__(self) -> None:
        self._granted = _Window(RATE_SECONDS)
        # Over a longer time: grants and arrivals, whatever became of them.
        self._grants = _Window(BALANCE_SECONDS)
        self._arrivals = _Window(BALANCE_SECONDS)
        # Part of its requests that got places.
        self.granted_share = 1.0

    def note_arrival(self, now: float) -> None:
        """Count a request that asked for a place."""
        self._arrivals.note(now)

    def record_grant(self, now: float) -> None:
        """Count a grant."""
        self._granted.note(now)
        self._grants.note(now)
        self.granted_share += (1.0 - self.granted_share) / SHARE_MEMORY

    def note_refusal(self) -> None:
        """Count a refusal."""
        self.granted_share -= self.granted_share / SHARE_MEMORY

    def estimate_wait(self, waiting: int, now: float) -> float:
        """Return the seconds until so many waiting requests have their places."""
        if waiting < MIN_WAITING:
            return 0.0
        # One grant more than seen: a rank that just begins to wait has had none.
        return waiting * RATE_SECONDS / (self._granted.count(now) + 1)

    def is_overrun(self, now: float) -> bool:
        """Tell whether far more has asked than got places lately."""
        granted = self._grants.count(now)
        return self._arrivals.count(now) > OVERRUN_FACTOR * granted + OVERRUN_MARGIN
