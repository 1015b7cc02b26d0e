"""When refused clients are asked to come back."""

from __future__ import annotations

import random
from collections import OrderedDict

from fireflyquay.world import Fingerprint

# Part of the time that a client has left within which it honours an answer, as the
# platform states, less a margin for the way.
HONORED_SHARE = 0.32
# Seconds before which the same queue would meet it again.
MIN_RETRY_SECONDS = 0.3
# Part of that time over which returns are spread while a rank is overrun.
OVERLOAD_SPREAD_SHARE = 0.3
# Refused requests that are remembered, and for how many seconds: as long as clients
# stay away and wait.
MAX_REMEMBERED_REFUSALS = 4096
REFUSAL_MEMORY_SECONDS = 15.0


class RetryAfterSchedule:
    """Spread the returns of refused clients over the time in which there is room.

    Answers a burst: clients that all came back after the same pause would make the next
    one.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Loop time from which there is room that nobody was promised.
        self._capacity_free_at = 0.0
        self._refused: OrderedDict[Fingerprint, float] = OrderedDict()

    def schedule_retry(
        self,
        fingerprint: Fingerprint,
        backlog: float,
        work: float,
        to_end: float,
        now: float,
        is_overloaded: bool = False,
    ) -> float:
        """Return the seconds after which a refused client should come back.

        The backlog is how many seconds the waiting requests take, and the work how many
        this one adds. While more keeps arriving than is served, no room is in sight:
        the client comes as late as it will.
        """
        if is_overloaded:
            self._remember(fingerprint, now)
            latest = max(MIN_RETRY_SECONDS, HONORED_SHARE * to_end)
            return latest * self._rng.uniform(1.0 - OVERLOAD_SPREAD_SHARE, 1.0)
        self._capacity_free_at = max(self._capacity_free_at, now + backlog) + work
        limit = max(MIN_RETRY_SECONDS, HONORED_SHARE * to_end)
        seconds = max(MIN_RETRY_SECONDS, self._capacity_free_at - now)
        if seconds > limit:
            seconds = limit
            self._capacity_free_at = min(self._capacity_free_at, now + limit)
        self._remember(fingerprint, now)
        return seconds

    def _remember(self, fingerprint: Fingerprint, now: float) -> None:
        self._refused[fingerprint] = now
        self._refused.move_to_end(fingerprint)
        while len(self._refused) > MAX_REMEMBERED_REFUSALS:
            self._refused.popitem(last=False)

    def was_refused_recently(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request was refused lately."""
        refused_at = self._refused.get(fingerprint)
        return refused_at is not None and now - refused_at < REFUSAL_MEMORY_SECONDS
