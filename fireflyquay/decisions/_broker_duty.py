"""The broker's duty: cells of backend servers that fall to this entry VM."""

from __future__ import annotations

from collections.abc import Callable

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.membership._message import Message
from fireflyquay.membership._rendezvous import choose_one
from fireflyquay.world import BackendServer, Incarnation, PoolId, Tier

from ._cell import CellBroker
from ._cell_message import Held, NotBroker, Release, Unwant, Want
from ._cell_settings import CellSettings

CellMessage = Want | Unwant | Release | Held
BROKER_NAME = "broker/"
ASK_HELD_S = 0.5


class AskHeld(Message, frozen=True):
    """Ask an entry VM what it has running in a pool, for a new broker."""

    pool: PoolId


def choose_broker(pool: PoolId, members: tuple[Incarnation, ...]) -> Incarnation | None:
    """Choose the entry VM that brokers a pool's backend servers."""
    return choose_one(BROKER_NAME + pool, members)


class BrokerDuty:
    """Run the brokers of the pools that fall to this entry VM."""

    def __init__(
        self,
        own: Incarnation,
        settings: CellSettings,
        choose: Callable[[PoolId], Incarnation | None],
    ) -> None:
        self._own = own
        self._settings = settings
        self._choose = choose
        self._brokers: dict[PoolId, CellBroker] = {}
        self._ask_held_at = 0.0

    def update(
        self,
        now: float,
        servers: dict[PoolId, tuple[BackendServer, ...]],
        live: tuple[Incarnation, ...],
        is_split: bool,
    ) -> None:
        """Take over and give up brokers as members and backend servers change."""
        for pool, members in servers.items():
            if self._choose(pool) != self._own:
                self._brokers.pop(pool, None)
                continue
            broker = self._brokers.get(pool)
            if broker is None:
                broker = CellBroker(self._own, pool, self._settings)
                self._brokers[pool] = broker
                broker.update_servers(now, members)
                broker.take_over(now, live)
            broker.update_servers(now, members)
            broker.gate.split = is_split

    def receive(
        self, now: float, sender: Incarnation, message: CellMessage
    ) -> list[Action]:
        """Hand a message to the pool's broker, or tell that there is none here."""
        broker = self._brokers.get(message.pool)
        if broker is not None:
            return broker.receive(now, sender, message)
        if not isinstance(message, Want):
            return []
        answer = NotBroker(message.pool, message.key, message.attempt)
        return [Send(sender, answer)]

    def advance(self, now: float) -> list[Action]:
        """Let time pass in every broker."""
        actions: list[Action] = []
        is_due = now >= self._ask_held_at
        if is_due:
            self._ask_held_at = now + ASK_HELD_S
        for pool, broker in self._brokers.items():
            if is_due:
                asked = broker.list_unheard(now)
                actions += [Send(holder, AskHeld(pool)) for holder in asked]
            actions += broker.advance(now)
        return actions

    def list_brokers(self) -> dict[PoolId, CellBroker]:
        """Return the brokers that run here, by pool."""
        return self._brokers

    def forget_holder(self, now: float, holder: Incarnation) -> list[Action]:
        """Treat what a lost entry VM held as orphaned."""
        actions: list[Action] = []
        for broker in self._brokers.values():
            actions += broker.forget_holder(now, holder)
        return actions

    def count_queued(self) -> dict[Tier, int]:
        """Count waiting wants by tier."""
        total = dict.fromkeys(Tier, 0)
        for broker in self._brokers.values():
            for tier, depth in broker.queue_depths().items():
                total[tier] += depth
        return total
