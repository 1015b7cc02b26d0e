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


class RankRecord:
    """Count the grants and refusals of one rank.

    Answers sustained overload: what urgent ranks take leaves the others a rate of their
    own, and whoever it will not reach in time is told so at once.
    """

    def __init__(self) -> None:
        self._granted: deque[float] = deque()
        # Part of its requests that got places.
        self.granted_share = 1.0

    def note_grant(self, now: float) -> None:
        """Count a grant."""
        self._granted.append(now)
        self._trim(now)
        self.granted_share += (1.0 - self.granted_share) / SHARE_MEMORY

    def note_refusal(self) -> None:
        """Count a refusal."""
        self.granted_share -= self.granted_share / SHARE_MEMORY

    def estimate_wait(self, waiting: int, now: float) -> float:
        """Return the seconds until so many waiting requests have their places."""
        if waiting < MIN_WAITING:
            return 0.0
        self._trim(now)
        # One grant more than seen: a rank that just begins to wait has had none.
        return waiting * RATE_SECONDS / (len(self._granted) + 1)

    def _trim(self, now: float) -> None:
        while self._granted and self._granted[0] < now - RATE_SECONDS:
            self._granted.popleft()
