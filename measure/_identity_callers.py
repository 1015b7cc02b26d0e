"""Callers of one run: keys, resends after a loss, new attempts after NOT_RUN."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from fireflyquay.decisions import (
    Record,
    Redirect,
    Refuse,
)
from fireflyquay.membership import (
    Action,
)
from fireflyquay.world import (
    NO_WITNESS,
    ExchangeId,
    Fingerprint,
    HomedKey,
    Incarnation,
    Request,
    RequestKey,
    Step,
    Tier,
    Verdict,
    WorkKind,
)

from ._identity_world import CUSTOMER, KINDS, POOLS, EntryHost, World

DEADLINE_S = 12.0
SILENCE_TIMEOUT_S = 2.0
RECONNECT_S = 0.02
KEEP_ADDRESS_S = 10.0
MIN_RETRY_S = 0.05


class KeyStyle(StrEnum):
    """Name how callers draw keys."""

    PLAIN = "plain"
    HOMED = "homed"
    WITNESSED = "witnessed"


@dataclass(slots=True)
class Order:
    """Hold one request of a caller from its arrival to its end."""

    name: str
    kind: str
    arrived: float
    home: Incarnation
    host: EntryHost
    key: RequestKey = RequestKey("")
    attempt: int = 1
    send_count: int = 0
    lost: bool = False
    # Exchange of the copy that is waited for.
    exchange: ExchangeId = ExchangeId(0)
    stage: str = "queued"
    # Stage at the time of the fault, when it hit this order.
    hit: str = ""
    ended: float | None = None
    # RAN, NOT_RUN, MAY_HAVE_RUN, or empty while open.
    outcome: str = ""
    code: str = ""
    granted: float | None = None
    added: float | None = None
    exchanges: list[ExchangeId] = field(default_factory=list)


class Callers:
    """Send orders, follow redirects, resend and try again."""

    def __init__(self, world: World, style: KeyStyle) -> None:
        self.orders: list[Order] = []
        self._world = world
        self._style = style
        self._by_exchange: dict[ExchangeId, Order] = {}
        self._by_key: dict[RequestKey, Order] = {}
        self._addresses: dict[Incarnation, tuple[float, Incarnation, int]] = {}
        self._kinds = {
            kind: WorkKind(kind, POOLS[kind], idempotent=False, deadline=DEADLINE_S)
            for kind in KINDS
        }
        world.on_answer = self._take_answer
        world.on_step = self._note_step
        world.on_record = self._note_record
        world.find_order = lambda exchange: self._by_exchange[exchange].name

    def arrive(self, home: EntryHost, kind: str) -> None:
        """Bring a fresh order to a node."""
        name = f"order-{len(self.orders)}"
        now = self._world.clock.now
        order = Order(name, kind, now, home.vm.incarnation, home)
        self.orders.append(order)
        self._set_key(order, self._draw_key(order))
        self._send(order)

    def note_fault(self, hosts: list[EntryHost]) -> None:
        """Mark the open orders on nodes that fail now, by their stage."""
        for order in self.orders:
            if not order.outcome and order.host in hosts:
                order.hit = order.stage

    def lose_host(self, host: EntryHost) -> None:
        """Move the callers of a node that answers no more to another one."""
        for order in self.orders:
            if not order.outcome and order.host is host:
                self._move_on(order)

    def _set_key(self, order: Order, key: RequestKey) -> None:
        if key != order.key:
            order.attempt = 1
        order.key = key
        self._by_key[key] = order

    def _draw_key(self, order: Order) -> RequestKey:
        if self._style is KeyStyle.PLAIN:
            return RequestKey(order.name)
        witness, mark = self._find_address(order.host)
        if self._style is KeyStyle.HOMED:
            witness = NO_WITNESS
        home = order.host.vm.incarnation
        nonce = f"{self._world.rng.getrandbits(64):016x}"
        return HomedKey(home, witness, mark, nonce).format()

    def _find_address(self, host: EntryHost) -> tuple[Incarnation, int]:
        """Return a node's witness and mark, as the caller has kept them."""
        now = self._world.clock.now
        kept = self._addresses.get(host.vm.incarnation)
        if kept is None or kept[0] + KEEP_ADDRESS_S <= now:
            own = host.vm.incarnation
            entries = host.node.list_entries(now, None).entries
            entry = next(entry for entry in entries if entry.incarnation == own)
            kept = (now, entry.witness, entry.mark)
            self._addresses[own] = kept
        return kept[1], kept[2]

    def _send(self, order: Order) -> None:
        now = self._world.clock.now
        if not order.host.is_alive:
            # Refused at once; no copy exists unless one was sent before.
            self._try_next(order)
            return
        if order.send_count == 0 and order.host.vm.incarnation != order.home:
            self._set_key(order, self._draw_key(order))
            order.home = order.host.vm.incarnation
        order.send_count += 1
        order.exchange = self._world.draw_exchange()
        order.exchanges.append(order.exchange)
        self._by_exchange[order.exchange] = order
        request = Request(
            exchange=order.exchange,
            key=order.key,
            customer=CUSTOMER,
            kind=self._kinds[order.kind],
            tier=Tier.STANDARD,
            prompt_tokens=100,
            max_tokens=100,
            prefix_hash="",
            fingerprint=Fingerprint(order.name),
            deadline=now + DEADLINE_S - (now - order.arrived),
            attempt=order.attempt,
            send_count=order.send_count,
        )
        self._world.send_request(order.host, request, order.lost)
        if order.host.is_frozen:
            self._expect_silence(order, order.exchange)

    def _expect_silence(self, order: Order, exchange: ExchangeId) -> None:
        def check() -> None:
            is_waiting = not order.outcome and order.exchange == exchange
            if is_waiting and order.host.is_frozen:
                self._move_on(order)

        self._world.clock.call_in(SILENCE_TIMEOUT_S, check)

    def _move_on(self, order: Order) -> None:
        order.lost = True
        self._world.clock.call_in(RECONNECT_S, lambda: self._try_next(order))

    def _try_next(self, order: Order) -> None:
        hosts = list(self._world.hosts.values())
        place = hosts.index(order.host)
        others = hosts[place + 1 :] + hosts[:place]
        order.host = next(h for h in others if h.is_alive and not h.is_frozen)
        self._send(order)

    def _take_answer(self, exchange: ExchangeId, action: Action | None) -> None:
        order = self._by_exchange[exchange]
        if order.outcome or exchange != order.exchange:
            return
        if action is None:
            self._end(order, Verdict.RAN.value, "")
        elif isinstance(action, Redirect):
            self._follow(order, action)
        elif isinstance(action, Refuse):
            self._take_refusal(order, action)

    def _follow(self, order: Order, action: Redirect) -> None:
        for host in self._world.hosts.values():
            if host.vm.host == action.host:
                order.host = host
        self._world.clock.call_in(0.0, lambda: self._send(order))

    def _take_refusal(self, order: Order, action: Refuse) -> None:
        now = self._world.clock.now
        wait = max(MIN_RETRY_S, action.retry_after or 0.0)
        is_plain = self._style is KeyStyle.PLAIN
        may_retry = action.retry_after is not None or action.new_key is not None
        too_late = now + wait >= order.arrived + DEADLINE_S
        if action.verdict is not Verdict.NOT_RUN or not may_retry or too_late:
            self._end(order, action.verdict.value, action.code.value)
            return
        order.attempt += 1
        if action.new_key is not None and not is_plain:
            self._set_key(order, action.new_key)
            order.home = order.host.vm.incarnation
        order.send_count = 0
        order.lost = False
        order.stage = "queued"
        self._world.clock.call_in(wait, lambda: self._retry(order))

    def _retry(self, order: Order) -> None:
        if order.host.is_alive and not order.host.is_frozen:
            order.home = order.host.vm.incarnation
        self._send(order)

    def _end(self, order: Order, outcome: str, code: str) -> None:
        order.ended = self._world.clock.now
        order.outcome = outcome
        order.code = code

    def _note_step(self, exchange: ExchangeId, stage: str) -> None:
        order = self._by_exchange.get(exchange)
        if order is not None:
            order.stage = stage

    def _note_record(self, action: Action) -> None:
        if not isinstance(action, Record):
            return
        record = action.record
        order = self._by_key.get(record.key)
        if order is None:
            return
        if record.step is Step.GRANTED:
            order.granted = record.at
        if record.step is Step.DISPATCHED and order.granted is not None:
            order.added = record.at - order.granted


def count_outcomes(orders: list[Order]) -> Counter[str]:
    """Count how orders ended."""
    return Counter(order.outcome or "OPEN" for order in orders)
