"""The network between entry VMs: delay, reorder, duplicate, lose and cut."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from fireflyquay.decisions import (
    PEER_MESSAGE,
)
from fireflyquay.membership import (
    Message,
)
from fireflyquay.world import EntryVm, Incarnation

from ._clock import Clock

HOP_S = 0.001

Deliver = Callable[[Incarnation, Incarnation, Message], None]


class Network:
    """Carry encoded messages between incarnations."""

    def __init__(self, clock: Clock, rng: random.Random, deliver: Deliver) -> None:
        # Share of messages lost or sent twice.
        self.loss = 0.0
        self.duplication = 0.0
        # Upper bound of the random delay on top of a hop, in seconds.
        self.jitter = 0.001
        self._clock = clock
        self._rng = rng
        self._deliver = deliver
        self._cuts: set[tuple[str, str]] = set()
        # Called with each message before it leaves; False withholds it.
        self.filter: Callable[[Incarnation, Incarnation, Message], bool] | None = None

    def cut(self, source: str, target: str) -> None:
        """Drop what one zone or entry VM sends to another."""
        self._cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Undo a cut."""
        self._cuts.discard((source, target))

    def is_cut(self, source: EntryVm, target: EntryVm) -> bool:
        """Tell whether messages between two entry VMs are dropped."""
        return any(
            (a, b) in self._cuts
            for a in (source.incarnation, source.zone)
            for b in (target.incarnation, target.zone)
        )

    def send(self, source: EntryVm, target: EntryVm, message: Message) -> None:
        """Send a message, maybe late, twice or never."""
        if self.is_cut(source, target) or self._rng.random() < self.loss:
            return
        if self.filter and not self.filter(
            source.incarnation, target.incarnation, message
        ):
            return
        data = msgspec.msgpack.encode(message)
        copies = 2 if self._rng.random() < self.duplication else 1
        for _ in range(copies):
            delay = HOP_S + self._rng.random() * self.jitter
            self._clock.call_in(
                delay,
                lambda: self._deliver(
                    source.incarnation,
                    target.incarnation,
                    msgspec.msgpack.decode(data, type=PEER_MESSAGE),
                ),
            )
