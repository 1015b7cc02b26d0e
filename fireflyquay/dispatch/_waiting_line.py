"""Requests that wait for a place, in the order in which they get one."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from fireflyquay.world import ClientAccountId, Incarnation

from ._backend_load import SlotRequestKey
from ._grant import SlotRequest

# Requests of one rank that are tried before the next rank: those behind differ little.
MAX_TRIED_PER_RANK = 4
# Requests of one client account that are looked at in one pass; the next goes on.
MAX_LISTED = 256
# Stands for all client accounts that have no share of their own.
COMMON = ClientAccountId("")


@dataclass(slots=True)
class WaitingAsk:
    """Hold an ask that waits."""

    request: SlotRequest
    asked_at: float
    # Loop time at which it is refused.
    refused_at: float
    # Loop time after which it can't be on time.
    latest_start: float
    # Weight of its client account within its rank; None shares one weight with all
    # that have none.
    share: float | None = None
    # Whether it got a decision or was withdrawn.
    is_over: bool = False

    @property
    def key(self) -> SlotRequestKey:
        """Return what names the ask."""
        return self.request.owner, self.request.number

    @property
    def party(self) -> ClientAccountId:
        """Return whose turn in its rank it takes."""
        return COMMON if self.share is None else self.request.account

    def is_late(self, now: float) -> bool:
        """Tell whether it can't be on time any more."""
        return now > self.latest_start


@dataclass(slots=True)
class _PartyLine:
    """Hold one party's asks by arrival, those past their objective apart."""

    on_time: deque[WaitingAsk] = field(default_factory=deque)
    late: deque[WaitingAsk] = field(default_factory=deque)

    def settle(self, now: float) -> None:
        """Move asks whose objective has passed, and drop those that are over."""
        while self.on_time and (
            self.on_time[0].is_over or self.on_time[0].is_late(now)
        ):
            item = self.on_time.popleft()
            if not item.is_over:
                self.late.append(item)
        while self.late and self.late[0].is_over:
            self.late.popleft()

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing waits, after settling."""
        return not self.on_time and not self.late


class _RankLine:
    """Hold the parties of one rank and how much each has had."""

    def __init__(self) -> None:
        self.parties: dict[ClientAccountId, _PartyLine] = {}
        # Work granted over the share, since the rank began to wait.
        self._used: dict[ClientAccountId, float] = {}

    def add(self, item: WaitingAsk) -> None:
        """Let an ask wait; a party that comes anew starts level with the others."""
        if item.party not in self.parties:
            least = min((self._used[name] for name in self.parties), default=0.0)
            self._used[item.party] = max(least, self._used.get(item.party, 0.0))
            self.parties[item.party] = _PartyLine()
        self.parties[item.party].on_time.append(item)

    def note_grant(self, item: WaitingAsk) -> None:
        """Count what a party got."""
        work = max(1.0, float(item.request.prompt_tokens + item.request.output_tokens))
        used = self._used.get(item.party, 0.0)
        self._used[item.party] = used + work / (item.share or 1.0)

    def settle(self, now: float) -> None:
        """Settle all parties and drop those that wait no more."""
        for name, party in list(self.parties.items()):
            party.settle(now)
            if party.is_empty:
                del self.parties[name]

    def list_turns(self) -> Iterator[WaitingAsk]:
        """Return asks to try, on time before late, from who had least for its share."""
        yield from self._take_turns({n: p.on_time for n, p in self.parties.items()})
        yield from self._take_turns({n: p.late for n, p in self.parties.items()})

    def _take_turns(
        self, queues: dict[ClientAccountId, deque[WaitingAsk]]
    ) -> Iterator[WaitingAsk]:
        turns = [
            (self._used[name], name, iter(list(itertools.islice(queue, MAX_LISTED))))
            for name, queue in queues.items()
        ]
        heapq.heapify(turns)
        stayed = 0
        while turns and stayed < MAX_TRIED_PER_RANK:
            _, name, items = heapq.heappop(turns)
            item = next((item for item in items if not item.is_over), None)
            if item is None:
                continue
            yield item
            if not item.is_over:
                stayed += 1
            heapq.heappush(turns, (self._used[name], name, items))


class WaitingLine:
    """Order asks by rank, share, lateness and arrival.

    Answers a queue of hundreds: a freed place costs the same however many wait.
    """

    def __init__(self) -> None:
        self._ranks: dict[tuple[int, int], _RankLine] = {}
        self._by_key: dict[SlotRequestKey, WaitingAsk] = {}
        # By the time of refusal.
        self._refusals: list[tuple[float, int, WaitingAsk]] = []
        self._numbers = itertools.count()
        # Tokens of all asks that wait.
        self.prompt_tokens = 0
        self.output_tokens = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def add(self, item: WaitingAsk) -> None:
        """Let an ask wait."""
        self._ranks.setdefault(item.request.rank, _RankLine()).add(item)
        self._by_key[item.key] = item
        self.prompt_tokens += item.request.prompt_tokens
        self.output_tokens += item.request.output_tokens
        entry = (item.refused_at, next(self._numbers), item)
        heapq.heappush(self._refusals, entry)

    def remove(self, key: SlotRequestKey) -> None:
        """Drop an ask."""
        item = self._by_key.pop(key, None)
        if item is None:
            return
        item.is_over = True
        self.prompt_tokens -= item.request.prompt_tokens
        self.output_tokens -= item.request.output_tokens

    def note_grant(self, item: WaitingAsk) -> None:
        """Count an ask that got a place against its party."""
        self._ranks[item.request.rank].note_grant(item)

    def remove_owner(self, owner: Incarnation) -> None:
        """Drop all asks of a VM."""
        for key in [key for key in self._by_key if key[0] == owner]:
            self.remove(key)

    def count(self, rank: tuple[int, int], now: float) -> int:
        """Return how many asks of a rank can still be on time."""
        line = self._ranks.get(rank)
        if line is None:
            return 0
        line.settle(now)
        return sum(len(party.on_time) for party in line.parties.values())

    def count_account(self, account: ClientAccountId) -> int:
        """Return how many asks of a client account wait."""
        return sum(item.request.account == account for item in self._by_key.values())

    def list_late(self, now: float) -> dict[tuple[int, int], list[WaitingAsk]]:
        """Return the asks past their objective by rank, the first to try first."""
        found = {}
        for rank, line in self._ranks.items():
            line.settle(now)
            late = [
                item
                for party in line.parties.values()
                for item in party.late
                if not item.is_over
            ]
            if late:
                found[rank] = sorted(late, key=lambda item: item.asked_at)
        return found

    def take_expired(self, now: float) -> list[WaitingAsk]:
        """Remove and return the asks that are to be refused by now."""
        expired = []
        while self._refusals and (
            self._refusals[0][2].is_over or self._refusals[0][0] <= now
        ):
            item = heapq.heappop(self._refusals)[2]
            if not item.is_over:
                self.remove(item.key)
                expired.append(item)
        return expired

    def list_next(
        self, now: float, first: tuple[int, int] | None = None
    ) -> Iterator[WaitingAsk]:
        """Return the asks to try in order; those that get a place are removed.

        One ask of the first rank, if given, goes before all others.
        """
        if first in self._ranks:
            line = self._ranks[first]
            line.settle(now)
            on_time = itertools.chain(*(p.on_time for p in line.parties.values()))
            yield from itertools.islice((i for i in on_time if not i.is_over), 1)
        for rank in sorted(self._ranks):
            line = self._ranks[rank]
            line.settle(now)
            if line.parties:
                yield from line.list_turns()
            else:
                del self._ranks[rank]
