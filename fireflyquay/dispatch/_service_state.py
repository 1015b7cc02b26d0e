"""Backend servers, queue and statistics of one service."""

from __future__ import annotations

import random
from collections import defaultdict

from fireflyquay.world import BackendServerId, Incarnation

from ._backend_load import BackendLoad
from ._backend_room import BackendRoom
from ._rank_statistics import RankStatistics
from ._retry_after_schedule import RetryAfterSchedule
from ._slot_messages import SlotRequest
from ._slot_queue import SlotQueue


class ServiceState:
    """Hold the backend servers, queue and statistics of one service."""

    def __init__(self, rng: random.Random) -> None:
        self.retry_schedule = RetryAfterSchedule(rng)
        self.ranks: defaultdict[tuple[int, int], RankStatistics] = defaultdict(
            RankStatistics
        )
        self.loads: dict[BackendServerId, BackendLoad] = {}
        self.queue = SlotQueue()
        self.room = BackendRoom()
        # Whether a software version may have left while streams wait for it.
        self.has_lost_backends = False

    def is_version_gone(self, request: SlotRequest) -> bool:
        """Return whether no backend server is left at which a stream may continue."""
        return request.version is not None and not any(
            load.entry.version == request.version
            and load.entry.id not in request.excluded
            for load in self.loads.values()
        )

    def find_starved_rank(self, min_grant_share: float) -> tuple[int, int] | None:
        """Return the rank whose granted share is far below the best one's, if any."""
        if len(self.ranks) < 2:
            return None
        best = max(statistics.granted_share for statistics in self.ranks.values())
        rank = min(self.ranks, key=lambda rank: self.ranks[rank].granted_share)
        if self.ranks[rank].granted_share < min_grant_share * best:
            return rank
        return None

    def estimate_limited_wait(self, waiting: int, share: float) -> float:
        """Return the seconds until so many requests are granted at the stated limits.

        Returns 0 if any backend server states no limit.
        """
        rate = 0.0
        for load in self.loads.values():
            if load.limit is None:
                return 0.0
            rate += load.limit.rate * share
        return max(0, waiting - len(self.loads)) / rate

    def estimate_rest(self, vm: Incarnation, now: float) -> float:
        """Return the seconds until the first backend server takes requests of a VM."""
        ends = [load.rests.get(vm, 0.0) for load in self.loads.values()]
        return max(0.0, min(ends) - now)

    def compute_median_failure_rate(self) -> float:
        """Return the median failure rate of the backend servers."""
        rates = sorted(load.failure_rate for load in self.loads.values())
        return rates[(len(rates) - 1) // 2]
