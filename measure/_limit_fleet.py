"""Entry VMs' allowance decisions on virtual time, with faults between them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field
from functools import lru_cache

import msgspec
import xxhash

from fireflyquay.decisions import (
    AdmissionState,
    AllowanceHolder,
    AllowanceSettings,
    AllowanceSteward,
)
from fireflyquay.membership import (
    Action,
    Message,
)
from fireflyquay.world import CustomerId, Incarnation, Limits

STEP = 0.05  # Seconds.
_GOSSIP_STEPS = 5
_SILENCE = 1.5  # Seconds.
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class FleetNode:
    """Hold one entry VM."""

    holder: AllowanceHolder
    steward: AllowanceSteward
    known: set[Incarnation]
    heard_at: dict[Incarnation, float] = field(default_factory=dict)
    paused_until: float = 0.0
    is_dead: bool = False
    is_leaving: bool = False
    running: int = 0
    # Views are kept within one step.
    viewed_at: float = -1.0
    live: frozenset[Incarnation] = frozenset()
    members: frozenset[Incarnation] = frozenset()
    inbox: list[tuple[Incarnation, Message]] = field(default_factory=list)


class LimitFleet:
    """Run holders and stewards; log what was admitted."""

    def __init__(
        self,
        settings: AllowanceSettings,
        limits: dict[CustomerId, Limits],
        seed: int = 1,
        longest_delay: float = 0.005,
        loss: float = 0.0,
        holder_class: type[AllowanceHolder] = AllowanceHolder,
    ) -> None:
        self.settings = settings
        self.limits = limits
        self.now = 0.0
        self.nodes: dict[Incarnation, FleetNode] = {}
        self.cuts: set[frozenset[Incarnation]] = set()
        self.gone: set[Incarnation] = set()
        self.admitted: dict[CustomerId, list[tuple[float, int]]] = defaultdict(list)
        self.running: dict[CustomerId, int] = defaultdict(int)
        self.most_running: dict[CustomerId, int] = defaultdict(int)
        self.messages = 0
        self.bytes = 0
        # Messages of one node to another within one step count as one.
        self.batches = 0
        self.by_kind: dict[str, int] = defaultdict(int)
        self.longest_delay = longest_delay
        self.loss = loss
        self.holder_class = holder_class
        self._random = random.Random(seed)
        self._wire: list[tuple[float, int, Incarnation, Incarnation, Message]] = []
        self._ends: list[tuple[float, int, Incarnation, CustomerId]] = []
        self._numbers = itertools.count()
        self._steps = 0

    def join(self, name: str, seed_node: str | None = None) -> None:
        """Start an entry VM that knows what the seed node knows, or all."""
        own = Incarnation(name)
        seed = self.nodes[Incarnation(seed_node)].known if seed_node else self.nodes
        self.nodes[own] = FleetNode(
            self.holder_class(own, self.settings),
            AllowanceSteward(own, self.settings),
            (set(seed) | {own}) - self.gone,
        )

    def kill(self, name: str) -> None:
        """End an entry VM; its requests run on at the backend servers."""
        self.nodes[Incarnation(name)].is_dead = True

    def leave(self, name: str) -> None:
        """Let an entry VM leave as planned: it ends its requests and hands back."""
        self.nodes[Incarnation(name)].is_leaving = True

    def confirm(self, name: str) -> None:
        """Let the platform's list confirm that a dead entry VM is gone."""
        self.gone.add(Incarnation(name))

    def pause(self, name: str, seconds: float) -> None:
        """Stop a process for a while; its messages wait."""
        self.nodes[Incarnation(name)].paused_until = self.now + seconds

    def cut(self, one: str, other: str) -> None:
        """Lose all messages between two entry VMs."""
        self.cuts.add(frozenset({Incarnation(one), Incarnation(other)}))

    def is_up(self, name: Incarnation) -> bool:
        """Say whether the process runs."""
        node = self.nodes[name]
        return not node.is_dead and node.paused_until <= self.now

    def request(
        self, name: str, customer: CustomerId, tokens: int, duration: float
    ) -> AdmissionState | None:
        """Bring a request to an entry VM; None if the VM does not answer."""
        own = Incarnation(name)
        if not self.is_up(own) or self.nodes[own].is_leaving:
            return None
        limits = self.limits[customer]
        holder = self.nodes[own].holder
        state = holder.admit(self.now, customer, limits, tokens).state
        if state is AdmissionState.ADMITTED:
            self.admitted[customer].append((self.now, tokens))
            self.running[customer] += 1
            self.nodes[own].running += 1
            most = max(self.most_running[customer], self.running[customer])
            self.most_running[customer] = most
            end = (self.now + duration, next(self._numbers), own, customer)
            heapq.heappush(self._ends, end)
        return state

    def step(self) -> None:
        """Advance all by one step."""
        self._steps += 1
        self.now = self._steps * STEP
        self._end_requests()
        if self._steps % _GOSSIP_STEPS == 0:
            self._gossip()
        self._deliver()
        for own in list(self.nodes):
            if self.is_up(own):
                self._advance(own)

    def run(self, seconds: float) -> None:
        """Advance by many steps."""
        for _ in range(round(seconds / STEP)):
            self.step()

    def find_steward(self, own: Incarnation, customer: CustomerId) -> Incarnation:
        """Pick the steward by rendezvous hash over the node's live view."""
        return _choose_steward(self._view_live(own), customer)

    def _view_live(self, own: Incarnation) -> frozenset[Incarnation]:
        node = self.nodes[own]
        if node.viewed_at != self.now:
            node.viewed_at = self.now
            heard = {
                peer
                for peer in node.known
                if node.heard_at.get(peer, -_SILENCE) > self.now - _SILENCE
                and not self.nodes[peer].is_leaving
            }
            live = frozenset(heard | {own})
            node.live = node.live if node.live == live else live
            node.members = frozenset(node.known)
        return node.live

    def _gossip(self) -> None:
        up = [name for name in self.nodes if self.is_up(name)]
        for own in up:
            node = self.nodes[own]
            for peer in up:
                if peer != own and frozenset({own, peer}) not in self.cuts:
                    node.known |= self.nodes[peer].known
                    node.heard_at[peer] = self.now
            node.known -= self.gone

    def _deliver(self) -> None:
        while self._wire and self._wire[0][0] <= self.now:
            _, _, sender, receiver, message = heapq.heappop(self._wire)
            self.nodes[receiver].inbox.append((sender, message))
        for own, node in self.nodes.items():
            if not self.is_up(own):
                continue
            inbox, node.inbox = node.inbox, []
            for sender, message in inbox:
                self._receive(own, node, sender, message)

    def _receive(
        self, own: Incarnation, node: FleetNode, sender: Incarnation, message: Message
    ) -> None:
        limits_of = self.limits.get
        live = self._view_live(own)
        actions = node.holder.receive(self.now, sender, message, limits_of)
        actions += node.steward.receive(self.now, sender, message, limits_of, live)
        self._send(own, actions)

    def _advance(self, own: Incarnation) -> None:
        node = self.nodes[own]
        live = self._view_live(own)

        def steward_of(customer: CustomerId) -> Incarnation:
            return _choose_steward(live, customer)

        actions = node.holder.advance(self.now, steward_of, node.members)
        if node.is_leaving and not node.running:
            actions += node.holder.leave(self.now, live)
        actions += node.steward.advance(self.now, live, self.limits.get)
        self._send(own, actions)

    def _send(self, own: Incarnation, actions: list[Action]) -> None:
        self.batches += len({action.peer for action in actions} - {own})
        for action in actions:
            if action.peer == own:
                self._receive(own, self.nodes[own], own, action.message)
                continue
            self.messages += 1
            self.bytes += len(_ENCODER.encode(action.message))
            self.by_kind[type(action.message).__name__] += 1
            is_cut = frozenset({own, action.peer}) in self.cuts
            if is_cut or action.peer not in self.nodes:
                continue
            if self.loss and self._random.random() < self.loss:
                continue
            at = self.now + self._random.uniform(0.001, self.longest_delay)
            heapq.heappush(
                self._wire, (at, next(self._numbers), own, action.peer, action.message)
            )

    def _end_requests(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            _, _, own, customer = heapq.heappop(self._ends)
            self.running[customer] -= 1
            self.nodes[own].running -= 1
            if not self.nodes[own].is_dead:
                self.nodes[own].holder.end(self.now, customer, 0)


@lru_cache(maxsize=100_000)
def _choose_steward(live: frozenset[Incarnation], customer: CustomerId) -> Incarnation:
    return max(
        live, key=lambda peer: xxhash.xxh64_intdigest(f"{peer} {customer}".encode())
    )


def find_worst_window(
    admitted: list[tuple[float, int]], seconds: float
) -> tuple[int, int]:
    """Return the most requests, and the most tokens, in any window."""
    most_requests = most_tokens = tokens = first = 0
    for last, (at, size) in enumerate(admitted):
        tokens += size
        while admitted[first][0] < at - seconds:
            tokens -= admitted[first][1]
            first += 1
        most_requests = max(most_requests, last - first + 1)
        most_tokens = max(most_tokens, tokens)
    return most_requests, most_tokens
