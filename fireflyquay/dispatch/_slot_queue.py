"""Weighted fair priority queue of slot requests."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from fireflyquay.world import ClientAccountId, Incarnation

from ._backend_load import SlotRequestKey
from ._slot_messages import SlotRequest

# Maximum number of requests of one rank that are skipped in one pass before the next
# rank is tried: those behind them differ little, so few of them could get a slot.
MAX_SKIPPED_PER_RANK = 4
# Maximum number of requests of one flow considered in one pass.
MAX_CANDIDATES_PER_FLOW = 256
# The flow of all client accounts without a weight of their own.
SHARED_FLOW = ClientAccountId("")


@dataclass(slots=True)
class QueuedRequest:
    """Hold a slot request that waits for a decision."""

    request: SlotRequest
    queued_at: float
    # Loop time at which the request is refused if it still waits.
    expires_at: float
    # Loop time after which a grant would usually miss the objective of its rank.
    latest_start: float
    # Weight of the client account within the rank; all accounts with None share one
    # flow of weight 1.
    weight: float | None = None
    # Loop time of the client's first attempt; 0 if not known.
    arrived_at: float = 0.0
    # Whether the request was decided or cancelled.
    is_done: bool = False

    @property
    def key(self) -> SlotRequestKey:
        """Return the unique key of the request."""
        return self.request.owner, self.request.number

    @property
    def flow(self) -> ClientAccountId:
        """Return the flow of weighted fair queueing that the request belongs to."""
        return SHARED_FLOW if self.weight is None else self.request.account

    def is_late(self, now: float) -> bool:
        """Return whether a grant now would usually miss the objective.

        A stream that has begun has met it, or the client has waited longer already.
        """
        return now > self.latest_start and not self.request.has_begun


@dataclass(slots=True)
class _FlowQueue:
    """Hold the requests of one flow, late ones separately.

    Both are in order of the first attempts of their clients.
    """

    on_time: deque[QueuedRequest] = field(default_factory=deque)
    late: deque[QueuedRequest] = field(default_factory=deque)

    def prune(self, now: float) -> None:
        """Move late requests from the head; remove done ones from both heads."""
        while self.on_time and (
            self.on_time[0].is_done or self.on_time[0].is_late(now)
        ):
            item = self.on_time.popleft()
            if not item.is_done:
                _insert_by_arrival(self.late, item)
        while self.late and self.late[0].is_done:
            self.late.popleft()

    @property
    def is_empty(self) -> bool:
        """Return whether no request waits; call ``prune`` first."""
        return not self.on_time and not self.late


def _insert_by_arrival(queue: deque[QueuedRequest], item: QueuedRequest) -> None:
    index = len(queue)
    while index and queue[index - 1].arrived_at > item.arrived_at:
        index -= 1
    queue.insert(index, item)


class _RankQueue:
    """Order the requests of one rank by weighted fair queueing."""

    def __init__(self) -> None:
        self.flows: dict[ClientAccountId, _FlowQueue] = {}
        # Work granted to each flow divided by its weight, since the rank last had no
        # waiting requests.
        self._normalized_usage: dict[ClientAccountId, float] = {}

    def add(self, item: QueuedRequest) -> None:
        """Add a request.

        A new flow starts at the lowest usage of the waiting flows, or at its own if
        that is higher.
        """
        if item.flow not in self.flows:
            least = min(
                (self._normalized_usage[name] for name in self.flows), default=0.0
            )
            self._normalized_usage[item.flow] = max(
                least, self._normalized_usage.get(item.flow, 0.0)
            )
            self.flows[item.flow] = _FlowQueue()
        _insert_by_arrival(self.flows[item.flow].on_time, item)

    def record_grant(self, item: QueuedRequest) -> None:
        """Add the work of a granted request to the usage of its flow."""
        work = max(
            1.0, float(item.request.prompt_tokens + item.request.max_output_tokens)
        )
        used = self._normalized_usage.get(item.flow, 0.0)
        self._normalized_usage[item.flow] = used + work / (item.weight or 1.0)

    def prune(self, now: float) -> None:
        """Prune all flows and remove empty ones."""
        for name, flow in list(self.flows.items()):
            flow.prune(now)
            if flow.is_empty:
                del self.flows[name]

    def iter_in_fair_order(self) -> Iterator[QueuedRequest]:
        """Yield requests on time, then late ones, each from the least served flow."""
        yield from self._iter_least_served_first(
            {name: flow.on_time for name, flow in self.flows.items()}
        )
        yield from self._iter_least_served_first(
            {name: flow.late for name, flow in self.flows.items()}
        )

    def _iter_least_served_first(
        self, queues: dict[ClientAccountId, deque[QueuedRequest]]
    ) -> Iterator[QueuedRequest]:
        flows = [
            (
                self._normalized_usage[name],
                name,
                iter(list(itertools.islice(queue, MAX_CANDIDATES_PER_FLOW))),
            )
            for name, queue in queues.items()
        ]
        heapq.heapify(flows)
        skipped = 0
        while flows and skipped < MAX_SKIPPED_PER_RANK:
            _, name, items = heapq.heappop(flows)
            item = next((item for item in items if not item.is_done), None)
            if item is None:
                continue
            yield item
            # A stream that waits for its software version says nothing of the others.
            if not item.is_done and item.request.version is None:
                skipped += 1
            heapq.heappush(flows, (self._normalized_usage[name], name, items))


class SlotQueue:
    """Order slot requests by rank, lateness, weighted usage and arrival.

    Guards against a queue of hundreds: granting a freed slot costs about the same
    however many requests wait.
    """

    def __init__(self) -> None:
        self._ranks: dict[tuple[int, int], _RankQueue] = {}
        self._by_key: dict[SlotRequestKey, QueuedRequest] = {}
        # Heap of expiry time, sequence number to break ties, and request.
        self._expiries: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = itertools.count()
        # Totals of all waiting requests.
        self.prompt_tokens = 0
        self.output_tokens = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, item: QueuedRequest) -> None:
        """Add a request."""
        self._ranks.setdefault(item.request.rank, _RankQueue()).add(item)
        self._by_key[item.key] = item
        self.prompt_tokens += item.request.prompt_tokens
        self.output_tokens += item.request.max_output_tokens
        entry = (item.expires_at, next(self._sequence), item)
        heapq.heappush(self._expiries, entry)

    def remove(self, key: SlotRequestKey) -> None:
        """Remove a request, if it waits."""
        item = self._by_key.pop(key, None)
        if item is None:
            return
        item.is_done = True
        self.prompt_tokens -= item.request.prompt_tokens
        self.output_tokens -= item.request.max_output_tokens

    def record_grant(self, item: QueuedRequest) -> None:
        """Add a granted request to the usage of its flow."""
        self._ranks[item.request.rank].record_grant(item)

    def remove_vm(self, owner: Incarnation) -> None:
        """Remove all requests of a VM."""
        for key in [key for key in self._by_key if key[0] == owner]:
            self.remove(key)

    def list_all(self) -> list[QueuedRequest]:
        """Return all requests in order of arrival."""
        return list(self._by_key.values())

    def pop_all(self) -> list[QueuedRequest]:
        """Remove and return all requests in order of arrival."""
        items = self.list_all()
        for item in items:
            self.remove(item.key)
        return items

    def count_on_time(self, rank: tuple[int, int], now: float) -> int:
        """Return about how many requests of a rank can still meet their objective."""
        rank_queue = self._ranks.get(rank)
        if rank_queue is None:
            return 0
        rank_queue.prune(now)
        return sum(len(flow.on_time) for flow in rank_queue.flows.values())

    def count_queued(self, account: ClientAccountId) -> int:
        """Return the number of waiting requests of a client account."""
        return sum(item.request.account == account for item in self._by_key.values())

    def group_late_by_rank(
        self, now: float
    ) -> dict[tuple[int, int], list[QueuedRequest]]:
        """Return the late requests of each rank in order of arrival."""
        late_by_rank = {}
        for rank, rank_queue in self._ranks.items():
            rank_queue.prune(now)
            late = [
                item
                for flow in rank_queue.flows.values()
                for item in flow.late
                if not item.is_done
            ]
            if late:
                late_by_rank[rank] = sorted(late, key=lambda item: item.arrived_at)
        return late_by_rank

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that have expired."""
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
        self, now: float, preferred_rank: tuple[int, int] | None = None
    ) -> Iterator[QueuedRequest]:
        """Yield requests in the order in which they should get slots.

        The caller removes those that it grants. One request of ``preferred_rank`` that
        is on time, if any, precedes all others.
        """
        if preferred_rank in self._ranks:
            rank_queue = self._ranks[preferred_rank]
            rank_queue.prune(now)
            on_time = itertools.chain(
                *(flow.on_time for flow in rank_queue.flows.values())
            )
            yield from itertools.islice(
                (item for item in on_time if not item.is_done), 1
            )
        for rank in sorted(self._ranks):
            rank_queue = self._ranks[rank]
            rank_queue.prune(now)
            if rank_queue.flows:
                yield from rank_queue.iter_in_fair_order()
            else:
                del self._ranks[rank]
