"""Requests that wait for a place, in the order in which they get one."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from fireflyquay.world import ClientAccountId, Incarnation

from ._backend_load import SlotRequestKey
from ._slot_messages import SlotRequest

# Requests of one rank that are tried before the next rank: those behind differ little.
MAX_SKIPPED_PER_RANK = 4
# Requests of one client account that are looked at in one pass; the next goes on.
MAX_LISTED_PER_FLOW = 256
# Stands for all client accounts that have no share of their own.
SHARED_FLOW = ClientAccountId("")


@dataclass(slots=True)
class QueuedRequest:
    """Hold an ask that waits."""

    request: SlotRequest
    queued_at: float
    # Loop time at which it is refused.
    expires_at: float
    # Loop time after which it can't be on time.
    latest_start: float
    # Weight of its client account within its rank; None shares one weight with all
    # that have none.
    weight: float | None = None
    # Whether it got a decision or was withdrawn.
    is_done: bool = False

    @property
    def key(self) -> SlotRequestKey:
        """Return what names the ask."""
        return self.request.owner, self.request.number

    @property
    def flow(self) -> ClientAccountId:
        """Return whose turn in its rank it takes."""
        return SHARED_FLOW if self.weight is None else self.request.account

    def is_late(self, now: float) -> bool:
        """Tell whether it can't be on time any more."""
        return now > self.latest_start


@dataclass(slots=True)
class _FlowQueue:
    """Hold one party's asks by arrival, those past their objective apart."""

    on_time: deque[QueuedRequest] = field(default_factory=deque)
    late: deque[QueuedRequest] = field(default_factory=deque)

    def prune(self, now: float) -> None:
        """Move asks whose objective has passed, and drop those that are over."""
        while self.on_time and (
            self.on_time[0].is_done or self.on_time[0].is_late(now)
        ):
            item = self.on_time.popleft()
            if not item.is_done:
                self.late.append(item)
        while self.late and self.late[0].is_done:
            self.late.popleft()

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing waits, after settling."""
        return not self.on_time and not self.late


class _RankQueue:
    """Hold the parties of one rank and how much each has had."""

    def __init__(self) -> None:
        self.flows: dict[ClientAccountId, _FlowQueue] = {}
        # Work granted over the share, since the rank began to wait.
        self._normalized_usage: dict[ClientAccountId, float] = {}

    def add(self, item: QueuedRequest) -> None:
        """Let an ask wait; a party that comes anew starts level with the others."""
        if item.flow not in self.flows:
            least = min(
                (self._normalized_usage[name] for name in self.flows), default=0.0
            )
            self._normalized_usage[item.flow] = max(
                least, self._normalized_usage.get(item.flow, 0.0)
            )
            self.flows[item.flow] = _FlowQueue()
        self.flows[item.flow].on_time.append(item)

    def record_grant(self, item: QueuedRequest) -> None:
        """Count what a party got."""
        work = max(1.0, float(item.request.prompt_tokens + item.request.output_tokens))
        used = self._normalized_usage.get(item.flow, 0.0)
        self._normalized_usage[item.flow] = used + work / (item.weight or 1.0)

    def prune(self, now: float) -> None:
        """Settle all parties and drop those that wait no more."""
        for name, flow in list(self.flows.items()):
            flow.prune(now)
            if flow.is_empty:
                del self.flows[name]

    def iter_in_fair_order(self) -> Iterator[QueuedRequest]:
        """Return asks to try, on time before late, from who had least for its share."""
        yield from self._iter_least_served_first(
            {n: p.on_time for n, p in self.flows.items()}
        )
        yield from self._iter_least_served_first(
            {n: p.late for n, p in self.flows.items()}
        )

    def _iter_least_served_first(
        self, queues: dict[ClientAccountId, deque[QueuedRequest]]
    ) -> Iterator[QueuedRequest]:
        turns = [
            (
                self._normalized_usage[name],
                name,
                iter(list(itertools.islice(queue, MAX_LISTED_PER_FLOW))),
            )
            for name, queue in queues.items()
        ]
        heapq.heapify(turns)
        skipped = 0
        while turns and skipped < MAX_SKIPPED_PER_RANK:
            _, name, items = heapq.heappop(turns)
            item = next((item for item in items if not item.is_done), None)
            if item is None:
                continue
            yield item
            if not item.is_done:
                skipped += 1
            heapq.heappush(turns, (self._normalized_usage[name], name, items))


class SlotQueue:
    """Order asks by rank, share, lateness and arrival.

    Answers a queue of hundreds: a freed place costs the same however many wait.
    """

    def __init__(self) -> None:
        self._ranks: dict[tuple[int, int], _RankQueue] = {}
        self._by_key: dict[SlotRequestKey, QueuedRequest] = {}
        # By the time of refusal.
        self._expiries: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = itertools.count()
        # Tokens of all asks that wait.
        self.prompt_tokens = 0
        self.output_tokens = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, item: QueuedRequest) -> None:
        """Let an ask wait."""
        self._ranks.setdefault(item.request.rank, _RankQueue()).add(item)
        self._by_key[item.key] = item
        self.prompt_tokens += item.request.prompt_tokens
        self.output_tokens += item.request.output_tokens
        entry = (item.expires_at, next(self._sequence), item)
        heapq.heappush(self._expiries, entry)

    def remove(self, key: SlotRequestKey) -> None:
        """Drop an ask."""
        item = self._by_key.pop(key, None)
        if item is None:
            return
        item.is_done = True
        self.prompt_tokens -= item.request.prompt_tokens
        self.output_tokens -= item.request.output_tokens

    def record_grant(self, item: QueuedRequest) -> None:
        """Count an ask that got a place against its party."""
        self._ranks[item.request.rank].record_grant(item)

    def remove_owner(self, owner: Incarnation) -> None:
        """Drop all asks of a VM."""
        for key in [key for key in self._by_key if key[0] == owner]:
            self.remove(key)

    def count_on_time(self, rank: tuple[int, int], now: float) -> int:
        """Return how many asks of a rank can still be on time."""
        rank_queue = self._ranks.get(rank)
        if rank_queue is None:
            return 0
        rank_queue.prune(now)
        return sum(len(flow.on_time) for flow in rank_queue.flows.values())

    def count_for_account(self, account: ClientAccountId) -> int:
        """Return how many asks of a client account wait."""
        return sum(item.request.account == account for item in self._by_key.values())

    def group_late_by_rank(
        self, now: float
    ) -> dict[tuple[int, int], list[QueuedRequest]]:
        """Return the asks past their objective by rank, the first to try first."""
        found = {}
        for rank, rank_queue in self._ranks.items():
            rank_queue.prune(now)
            late = [
                item
                for flow in rank_queue.flows.values()
                for item in flow.late
                if not item.is_done
            ]
            if late:
                found[rank] = sorted(late, key=lambda item: item.queued_at)
        return found

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the asks that are to be refused by now."""
        expired = []
        while self._expiries and (
            self._expiries[0][2].is_done or self._expiries[0][0] <= now
        ):
            item = heapq.heappop(self._expiries)[2]
            if not item.is_done:
                self.remove(item.key)
                expired.append(item)
        return expired

    def iter_candidates(
        self, now: float, first: tuple[int, int] | None = None
    ) -> Iterator[QueuedRequest]:
        """Return the asks to try in order; those that get a place are removed.

        One ask of the first rank, if given, goes before all others.
        """
        if first in self._ranks:
            rank_queue = self._ranks[first]
            rank_queue.prune(now)
            on_time = itertools.chain(*(p.on_time for p in rank_queue.flows.values()))
            yield from itertools.islice((i for i in on_time if not i.is_done), 1)
        for rank in sorted(self._ranks):
            rank_queue = self._ranks[rank]
            rank_queue.prune(now)
            if rank_queue.flows:
                yield from rank_queue.iter_in_fair_order()
            else:
                del self._ranks[rank]
