"""What responses of backend servers state, merged from all VMs."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fireflyquay.world import BackendEntry, BackendServerId

from ._control_message import BackendNews, Rejection
from ._occupancy_limit import OccupancyLimit
from ._request_limit import RequestLimit

# Time for which the statements of an unregistered backend server are remembered. An
# outage of the store may hide its registration.
MEMORY_SECONDS = 60.0


@dataclass(slots=True)
class Belief:
    """Hold what the responses of one backend server's process state."""

    request_limit: RequestLimit | None = None
    occupancy_limit: OccupancyLimit | None = None
    # Whether it leaves; a process that leaves does not come back.
    is_leaving: bool = False
    # Loop time of the latest statement.
    stated_at: float = 0.0


class BackendBeliefs:
    """Merge what the responses of backend servers state, from whichever VM.

    Statements hold for one process of a backend server. A later statement replaces an
    earlier one; a response that states nothing ends what was stated before its request
    was sent.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # By backend server and the start of its process.
        self._beliefs: dict[tuple[BackendServerId, int], Belief] = {}
        # Called when a process is known to leave.
        self.on_leaving: Callable[[BackendServerId, int], None] = lambda *_: None

    def get(self, backend: BackendServerId, born_ms: int) -> Belief | None:
        """Return what is known of a backend server's process, or None."""
        return self._beliefs.get((backend, born_ms))

    def merge(self, news: BackendNews, slots: int | None, now: float) -> bool:
        """Follow what a response states; return whether that is new.

        ``slots`` are those of the registered process; None if it is not registered.
        """
        key, at = (news.backend, news.born_ms), now - news.age_seconds
        absent_at = None
        if news.sent_age_seconds is not None:
            absent_at = now - news.sent_age_seconds
        belief = self._beliefs.get(key)
        if belief is None:
            states_nothing = news.limit is None and news.max_rejections is None
            if states_nothing and not news.is_leaving:
                return False
            belief = self._beliefs[key] = Belief()
        belief.stated_at = max(belief.stated_at, at)
        is_new = _merge_request_limit(belief, news, slots, at, absent_at, now)
        is_new = _merge_occupancy_limit(belief, news, at, absent_at, now) or is_new
        if news.is_leaving and not belief.is_leaving:
            belief.is_leaving = is_new = True
            self.on_leaving(*key)
        return is_new

    def inherit(self, entry: BackendEntry, others: Iterable[BackendEntry]) -> None:
        """Assume that a new process is as brittle as the others of its service."""
        known = [self.get(it.id, it.born_ms) for it in others]
        limits = [
            it.occupancy_limit for it in known if it and it.occupancy_limit is not None
        ]
        if not limits or (entry.id, entry.born_ms) in self._beliefs:
            return
        stated_at = max(it.stated_at for it in limits)
        limit = OccupancyLimit(min(it.max_rejections for it in limits), stated_at)
        limit.limit_room(min(it.room for it in limits))
        self._beliefs[entry.id, entry.born_ms] = Belief(None, limit, stated_at)

    def list_news(self, now: float) -> tuple[BackendNews, ...]:
        """Return all statements with their ages."""
        return tuple(
            _make_news(key, belief, now) for key, belief in self._beliefs.items()
        )

    def restart_pacing(self, now: float) -> None:
        """Drop the credit of all limits, which other VMs may have used.

        A random part stays, so that VMs that take over together don't grant together.
        """
        for belief in self._beliefs.values():
            if belief.request_limit is not None:
                belief.request_limit.reset_credit(self._rng.random(), now)
        self.hold_grants(now)

    def hold_grants(self, now: float) -> None:
        """Wait for the runs that other VMs granted on brittle servers."""
        for belief in self._beliefs.values():
            if belief.occupancy_limit is not None:
                belief.occupancy_limit.hold_grants(now)

    def forget(self, registered: set[tuple[BackendServerId, int]], now: float) -> None:
        """Forget old statements of backend servers that are not registered."""
        for key, belief in list(self._beliefs.items()):
            if key not in registered and belief.stated_at < now - MEMORY_SECONDS:
                del self._beliefs[key]


def _merge_request_limit(
    belief: Belief,
    news: BackendNews,
    slots: int | None,
    at: float,
    absent_at: float | None,
    now: float,
) -> bool:
    limit = belief.request_limit
    if news.limit is not None:
        if limit is not None:
            return limit.record_statement(news.limit, at)
        belief.request_limit = RequestLimit(news.limit, at)
        belief.request_limit.reset_credit(0.0, now)
        return True
    if limit is None or absent_at is None or not limit.record_absence(absent_at):
        return False
    if slots is not None and limit.has_ended(slots):
        belief.request_limit = None
    return True


def _merge_occupancy_limit(
    belief: Belief, news: BackendNews, at: float, absent_at: float | None, now: float
) -> bool:
    limit = belief.occupancy_limit
    if news.max_rejections is None:
        if limit is None or absent_at is None or absent_at <= limit.stated_at:
            return False
        belief.occupancy_limit = None
        return True
    is_new = limit is None
    if limit is None:
        limit = OccupancyLimit(news.max_rejections, at)
        belief.occupancy_limit = limit
    is_new = limit.record_statement(news.max_rejections, at) or is_new
    for it in news.rejections:
        rejected_at = now - it.age_seconds
        is_unknown = limit.record_rejection(it.occupancy, rejected_at, it.delay_seconds)
        is_new = is_new or is_unknown
    if news.room is not None:
        limit.limit_room(news.room)
        if is_new:
            # A handover; those of other VMs may not have arrived.
            limit.hold_grants(now)
    return is_new


def _make_news(
    key: tuple[BackendServerId, int], belief: Belief, now: float
) -> BackendNews:
    limit, occupancy = belief.request_limit, belief.occupancy_limit
    age = now - (limit.stated_at if limit is not None else belief.stated_at)
    if occupancy is None:
        rate = None if limit is None else limit.stated_rate
        return BackendNews(*key, rate, max(0.0, age), is_leaving=belief.is_leaving)
    return BackendNews(
        *key,
        None if limit is None else limit.stated_rate,
        max(0.0, age),
        max_rejections=occupancy.max_rejections,
        room=occupancy.room,
        rejections=tuple(
            Rejection(held, max(0.0, now - at), 0.0)
            for at, held in occupancy.list_rejections(now)
        ),
        is_leaving=belief.is_leaving,
    )
