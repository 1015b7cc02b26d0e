"""Simulated network with virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Protocol

from fireflyquay.membership import (
    Action,
    Message,
    SendToAddress,
    SendToMember,
)
from fireflyquay.world import EntryVm, Incarnation

TICK_SECONDS = 0.05


class SimulatedNode(Protocol):
    """Define the interface of a simulated entry VM."""

    vm: EntryVm

    def process_timers(self, now: float) -> list[Action]: ...

    def receive(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]: ...


class FakeNetwork:
    """Deliver messages with delay, loss, duplication, partitions and paused nodes."""

    def __init__(self, seed: int, delay_seconds: float = 0.005) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.delay_seconds = delay_seconds
        self.loss_probability = 0.0
        self.duplication_probability = 0.0
        self.nodes: dict[Incarnation, SimulatedNode] = {}
        self.paused: set[Incarnation] = set()
        # Partition of the network: messages between different groups are dropped.
        self.groups: dict[Incarnation, int] = {}
        self.on_send: Callable[[Incarnation, Message], None] = lambda *_: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def add(self, node: SimulatedNode) -> None:
        self.nodes[node.vm.incarnation] = node
        start = self.now + self.rng.random() * TICK_SECONDS
        self.call_at(start, lambda: self._tick(node))

    def kill(self, incarnation: Incarnation) -> None:
        del self.nodes[incarnation]

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), callback))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Run until the condition holds and return the elapsed virtual seconds."""
        start = self.now
        while not condition():
            assert self.now - start < limit_seconds, (
                f"condition not met within {limit_seconds} s"
            )
            self.run(TICK_SECONDS)
        return self.now - start

    def send_messages(self, sender: Incarnation, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToMember):
                self._send(sender, action.target, action.message)
            elif isinstance(action, SendToAddress):
                self._send_to_address(sender, action)

    def _tick(self, node: SimulatedNode) -> None:
        incarnation = node.vm.incarnation
        if self.nodes.get(incarnation) is not node:
            return
        if incarnation not in self.paused:
            self.send_messages(incarnation, node.process_timers(self.now))
        self.call_at(self.now + TICK_SECONDS, lambda: self._tick(node))

    def _send_to_address(self, sender: Incarnation, action: SendToAddress) -> None:
        for incarnation, node in self.nodes.items():
            if (node.vm.host, node.vm.peer_port) == (action.host, action.peer_port):
                self._send(sender, incarnation, action.message)

    def _send(self, sender: Incarnation, peer: Incarnation, message: Message) -> None:
        self.on_send(sender, message)
        copies = 2 if self.rng.random() < self.duplication_probability else 1
        for _ in range(copies):
            if self.rng.random() < self.loss_probability:
                continue
            when = self.now + self.delay_seconds * (0.5 + self.rng.random())
            self.call_at(when, lambda: self._deliver(sender, peer, message))

    def _deliver(
        self, sender: Incarnation, peer: Incarnation, message: Message
    ) -> None:
        node = self.nodes.get(peer)
        if node is None or self.groups.get(sender) != self.groups.get(peer):
            return
        if peer in self.paused:
            self.call_at(
                self.now + TICK_SECONDS, lambda: self._deliver(sender, peer, message)
            )
            return
        self.send_messages(peer, node.receive(self.now, sender, message))
