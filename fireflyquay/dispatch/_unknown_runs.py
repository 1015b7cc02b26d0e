"""Runs that a backend server holds but no grant known here explains."""

from __future__ import annotations

import math

# Share of the usual time of a run within which the runs that were found under way are
# taken to have ended. They have half of it left on average; slots are tried sooner,
# since a slot that stays idle costs more than a rejection, which costs a message each
# way.
REMAINING_SHARE = 0.25


class UnknownRuns:
    """Estimate how many slots of a backend server hold runs that are not known here.

    Guards against grants of slots that aren't free: after all VMs lost power, backend
    servers still run what was granted before, and each grant there is rejected. A
    rejection proves that all slots were occupied; those without a known run become free
    one by one, as runs end.
    """

    def __init__(self) -> None:
        # Number at the latest rejection, its loop time, and the seconds in which all of
        # them are expected to end.
        self._number = 0
        self._rejected_at = -math.inf
        self._seconds = 0.0

    def record_rejection(
        self, slots: int, known_runs: int, run_seconds: float, now: float
    ) -> None:
        """Record that no slot was free beside some known runs.

        ``run_seconds`` is how long runs there are expected to take.
        """
        self._number = max(self.count(now), 1, slots - known_runs)
        self._rejected_at, self._seconds = now, REMAINING_SHARE * run_seconds

    def count(self, now: float) -> int:
        """Return the number of slots that are expected to be occupied still."""
        if not self._number or self._seconds <= 0.0:
            return 0
        share = 1.0 - (now - self._rejected_at) / self._seconds
        return max(0, math.ceil(share * self._number))
