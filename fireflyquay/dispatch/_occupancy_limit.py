"""Limit of the runs on a backend server that falls over if it rejects too many."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from ._slot_messages import Run

# Window in which rejections are counted: the second that a statement refers to, and the
# time by which rejections may be delayed on their way.
REJECTION_WINDOW_SECONDS = 1.3
# Seconds after which a grant without a rejection counts as accepted, at first, and the
# maximum; twice the longest time that a rejection took.
INITIAL_ACCEPTANCE_SECONDS = 0.03
MAX_ACCEPTANCE_SECONDS = 0.5
ACCEPTANCE_FACTOR = 2.0
# Factor of the runs beside which a request was rejected unexpectedly: the room may have
# shrunk far below them.
REDUCTION_FACTOR = 0.5
# Seconds between attempts to use more room; doubled with each that is rejected.
MIN_RAISE_INTERVAL_SECONDS = 2.0
MAX_RAISE_INTERVAL_SECONDS = 30.0
# Seconds without grants after another VM granted: its runs may not be known yet.
TAKEOVER_SECONDS = 0.5
# Rejections that count as the same if two VMs report them.
SAME_REJECTION_SECONDS = 0.05


class OccupancyLimit:
    """Bound the runs on a backend server, so that it has to reject few requests.

    At no time may more requests be rejected than the server stands in a second: those
    rejected lately and those that were granted too recently to be known as accepted
    count together. The room is learned from rejections and tried again slowly.
    """

    def __init__(self, max_rejections: float, stated_at: float) -> None:
        # As the backend server stated it, rejections per second.
        self.max_rejections = max_rejections
        # Loop time of the latest statement.
        self.stated_at = stated_at
        # Runs that the server seems to hold; infinite before any rejection.
        self.room = math.inf
        # Loop times of recent rejections, and the runs beside the rejected one.
        self._rejections: deque[tuple[float, int]] = deque()
        self._acceptance_seconds = INITIAL_ACCEPTANCE_SECONDS
        self._raise_interval_seconds = MIN_RAISE_INTERVAL_SECONDS
        # Whether the room was raised since it was last reduced.
        self._is_raised = False
        # Loop times of recent grants, and the runs with each of them.
        self._grants: deque[tuple[float, int]] = deque()
        # Most runs that were accepted together since the room was last reduced.
        self._accepted_runs = 0
        self._next_raise_at = 0.0
        self._resumes_at = 0.0

    def record_statement(self, max_rejections: float, stated_at: float) -> bool:
        """Follow a statement; return whether it changes anything."""
        if stated_at < self.stated_at:
            return False
        is_new = max_rejections != self.max_rejections
        self.max_rejections, self.stated_at = max_rejections, stated_at
        return is_new

    def record_rejection(self, occupancy: int, at: float, delay_seconds: float) -> bool:
        """Follow a rejection beside some runs; return whether it was not known."""
        if any(
            known == occupancy and abs(at - known_at) < SAME_REJECTION_SECONDS
            for known_at, known in self._rejections
        ):
            return False
        self._rejections.append((at, occupancy))
        self._grants = deque(it for it in self._grants if it[1] != occupancy + 1)
        self._acceptance_seconds = min(
            MAX_ACCEPTANCE_SECONDS,
            max(self._acceptance_seconds, ACCEPTANCE_FACTOR * delay_seconds),
        )
        if occupancy < self.room:
            self._reduce_room(occupancy)
        self._next_raise_at = at + self._raise_interval_seconds
        return True

    def record_grant(self, occupancy: int, now: float) -> None:
        """Record a grant beside some runs."""
        self._settle_grants(now)
        self._grants.append((now, occupancy + 1))

    def _settle_grants(self, now: float) -> None:
        """Count the grants that were not rejected in time as accepted."""
        accepted_until = now - self._acceptance_seconds
        while self._grants and self._grants[0][0] <= accepted_until:
            runs = self._grants.popleft()[1]
            self._accepted_runs = max(self._accepted_runs, runs)

    def _reduce_room(self, occupancy: int) -> None:
        """Reduce the room below the runs beside which a request was rejected.

        If as many were accepted before, the server has less room than it had, and how
        much less is not known.
        """
        if self._is_raised:
            self._raise_interval_seconds = min(
                MAX_RAISE_INTERVAL_SECONDS, 2 * self._raise_interval_seconds
            )
        has_shrunk = occupancy < self._accepted_runs
        room = math.floor(occupancy * REDUCTION_FACTOR)
        if not has_shrunk:
            room = max(room, self._accepted_runs)
        self.room = max(1, room)
        self._accepted_runs = 0
        self._is_raised = False

    def limit_room(self, room: float) -> None:
        """Use no more room than another VM learned."""
        self.room = min(self.room, max(1, room))

    def list_rejections(self, now: float) -> list[tuple[float, int]]:
        """Return the loop times of recent rejections, and the runs beside them."""
        while self._rejections and (
            self._rejections[0][0] <= now - REJECTION_WINDOW_SECONDS
        ):
            self._rejections.popleft()
        return list(self._rejections)

    def hold_grants(self, now: float) -> None:
        """Grant nothing until the runs that other VMs granted are known."""
        self._resumes_at = max(self._resumes_at, now + TAKEOVER_SECONDS)

    def can_grant(self, runs: Iterable[Run], share: float, now: float) -> bool:
        """Return whether another run may be granted.

        ``share`` is the fraction of the room and of the rejections that this VM may
        use.
        """
        runs = list(runs)
        if now < self._resumes_at:
            return False
        if not runs:
            return True
        unknown = sum(
            run.first_output_at is None
            and now - run.granted_at < self._acceptance_seconds
            for run in runs
        )
        self._settle_grants(now)
        rejected = len(self.list_rejections(now))
        # Another part of the fleet may use the rest; a fraction of one is none.
        least = 1.0 if share >= 1.0 else 0.0
        if rejected + unknown + 1 > max(least, self.max_rejections * share):
            return False
        if len(runs) < max(1.0, self.room * share):
            return True
        if now < self._next_raise_at:
            return False
        self.room += 1
        self._is_raised = True
        self._next_raise_at = now + self._raise_interval_seconds
        return True
