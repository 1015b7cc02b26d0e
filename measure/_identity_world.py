"""Nodes, store, backend servers and callers of one run, in virtual time."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from fireflyquay.contracts import (
    StoreAnswer,
    encode_backend_change,
    encode_contract_change,
)
from fireflyquay.decisions import (
    CallStore,
    Dispatch,
    FailureKind,
    Node,
    Redirect,
    Refuse,
    Resume,
    RunReport,
)
from fireflyquay.membership import (
    Action,
    Message,
    Send,
    SendTo,
)
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendServerId,
    ChangeId,
    Contract,
    CustomerId,
    EntryVm,
    ExchangeId,
    Incarnation,
    Limits,
    PoolId,
    RegionId,
    Request,
    Tier,
    VmListing,
    ZoneId,
)

from ._identity_store import Clock, ObjectStore

HOP_S = 0.001
TICK_S = 0.05
LIST_PERIOD_S = 5.0
FIRST_TOKEN_S = 0.3
# Slots of each of the eight backend servers for each node.
SLOTS_PER_NODE = 4
CUSTOMER = CustomerId("treipuu")
KINDS = ("work-order", "timber-booking")
POOLS = {"work-order": PoolId("drafting"), "timber-booking": PoolId("office")}
ENCODER = msgspec.msgpack.Encoder()


class Backends:
    """Run dispatched work for a drawn time; engines keep streams to resume."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.started: Counter[str] = Counter()
        self._clock = clock
        self._rng = rng
        # End of each run by order and server.
        self._runs: dict[tuple[str, BackendServerId], float] = {}

    def start(self, order: str, host: EntryHost, action: Dispatch) -> None:
        """Begin a run when the request arrives."""
        self.started[order] += 1
        end = self._clock.now + FIRST_TOKEN_S + self._rng.uniform(0.2, 2.0)
        self._runs[order, action.backend.server] = end
        exchange = action.request.exchange
        first = self._clock.now + FIRST_TOKEN_S + HOP_S
        self._clock.call_at(first, lambda: host.note_first_token(exchange))
        self._clock.call_at(end + HOP_S, lambda: host.finish(exchange))

    def resume(self, order: str, host: EntryHost, action: Resume) -> None:
        """Go on with a stream, if this is an engine that has it."""
        end = self._runs.get((order, action.backend.server))
        exchange = action.request.exchange
        is_engine = action.backend.kind is BackendKind.MODEL_ENGINE
        if end is None or not is_engine:
            kind = FailureKind.UNKNOWN_STREAM
            self._clock.call_in(HOP_S, lambda: host.fail(exchange, kind))
            return
        end = max(end, self._clock.now) + HOP_S
        self._clock.call_in(HOP_S, lambda: host.note_first_token(exchange))
        self._clock.call_at(end, lambda: host.finish(exchange))


class EntryHost:
    """Run one node: its ticks, messages, store calls and freezes."""

    def __init__(self, world: World, vm: EntryVm, seed: int) -> None:
        self.vm = vm
        self.is_alive = True
        self.is_frozen = False
        self.node = Node(vm, random.Random(seed), world.clock.now, 0.0)
        self._world = world
        self._inbox: list[Callable[[], None]] = []

    def call(self, event: Callable[[], None]) -> None:
        """Deliver an event to the node, later while it is frozen."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._inbox.append(event)
            return
        event()
        self._world.perform(self, self.node.take_actions())

    def thaw(self) -> None:
        """Go on after a freeze; what waited is delivered."""
        self.is_frozen = False
        inbox, self._inbox = self._inbox, []
        for event in inbox:
            self.call(event)

    def tick(self) -> None:
        """Let time pass, each tick."""
        if not self.is_alive:
            return
        if not self.is_frozen:
            self.call(lambda: self.node.advance(self._world.clock.now))
        self._world.clock.call_in(TICK_S, self.tick)

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Take a message from another node."""
        self.call(
            lambda: self.node.receive(self._world.clock.now, sender, message),
        )

    def take_store_answer(self, tag: str, answer: StoreAnswer) -> None:
        """Take an answer of the store."""
        now = self._world.clock
        self.call(lambda: self.node.receive_store_answer(now.now, tag, answer))

    def note_first_token(self, exchange: ExchangeId) -> None:
        """Note the begin of an answer."""
        self.call(lambda: self._note_first_token(exchange))

    def _note_first_token(self, exchange: ExchangeId) -> None:
        self.node.note_first_token(self._world.clock.now, exchange)
        self._world.note_streaming(exchange)

    def finish(self, exchange: ExchangeId) -> None:
        """Note a whole answer; the caller gets it a hop later."""
        self.call(lambda: self._finish(exchange))

    def _finish(self, exchange: ExchangeId) -> None:
        clock = self._world.clock
        self.node.note_finished(clock.now, exchange, RunReport(100, 100))
        clock.call_in(HOP_S, lambda: self._world.answer(self, exchange))

    def fail(self, exchange: ExchangeId, kind: FailureKind) -> None:
        """Note a broken run."""
        now = self._world.clock
        self.call(lambda: self.node.note_failed(now.now, exchange, kind, False))


class World:
    """Hold the fleet of one run and carry out its nodes' actions."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.store = ObjectStore(self.clock)
        self.backends = Backends(self.clock, random.Random(seed + 1))
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.hosts: dict[Incarnation, EntryHost] = {}
        self._requests: dict[ExchangeId, Request] = {}
        self._exchanges = itertools.count(1)
        # Called with the exchange and how it ended.
        self.on_answer: Callable[[ExchangeId, Action | None], None] = lambda *_: None
        self.on_step: Callable[[ExchangeId, str], None] = lambda *_: None
        self.on_record: Callable[[object], None] = lambda *_: None
        self.find_order: Callable[[ExchangeId], str] = str
        # Turns a node's store call into the call that is made.
        self.carry_store_call = self.call_store
        self._register(nodes)
        self._start(nodes, seed)

    @property
    def live_hosts(self) -> list[EntryHost]:
        """Return the nodes that run."""
        return [host for host in self.hosts.values() if host.is_alive]

    def draw_exchange(self) -> ExchangeId:
        """Return a fresh exchange id, unique in the run."""
        return ExchangeId(next(self._exchanges))

    def send_request(
        self, host: EntryHost, request: Request, is_home_unreachable: bool
    ) -> None:
        """Deliver a caller's request a hop later."""
        self._requests[request.exchange] = request

        def take() -> None:
            now = self.clock.now
            host.node.receive_request(now, request, is_home_unreachable)

        self.clock.call_in(HOP_S, lambda: host.call(take))

    def kill(self, host: EntryHost) -> None:
        """End a node at once."""
        host.is_alive = False

    def perform(self, host: EntryHost, actions: Iterable[Action]) -> None:
        """Carry out a node's actions."""
        for action in actions:
            self._perform(host, action)

    def _perform(self, host: EntryHost, action: Action) -> None:
        match action:
            case Send():
                self._send(host, action.peer, action.message)
            case SendTo():
                for peer in self.hosts.values():
                    if (peer.vm.host, peer.vm.peer_port) == (
                        action.host,
                        action.peer_port,
                    ):
                        self._send(host, peer.vm.incarnation, action.message)
            case CallStore():
                self.carry_store_call(host, action)
            case Dispatch():
                self._run(host, action, self.backends.start)
            case Resume():
                self._run(host, action, self.backends.resume)
            case Refuse() | Redirect():
                exchange = action.exchange
                self.clock.call_in(HOP_S, lambda: self._answer(host, exchange, action))
        self.on_record(action)

    def _run(self, host: EntryHost, action, begin) -> None:
        exchange = action.request.exchange
        order = self.find_order(exchange)
        self.on_step(exchange, "dispatched")
        self.clock.call_in(HOP_S, lambda: begin(order, host, action))

    def note_streaming(self, exchange: ExchangeId) -> None:
        """Tell that an exchange's answer began."""
        self.on_step(exchange, "streaming")

    def answer(self, host: EntryHost, exchange: ExchangeId) -> None:
        """Tell the caller that its answer is whole."""
        self._answer(host, exchange, None)

    def _answer(self, host: EntryHost, exchange, action: Action | None) -> None:
        if host.is_alive:
            self.on_answer(exchange, action)

    def call_store(self, host: EntryHost, action: CallStore) -> None:
        """Call the store and deliver its answer to the node."""
        tag = action.tag
        self.store.call(action.call, lambda answer: host.take_store_answer(tag, answer))

    def _send(self, host: EntryHost, peer: Incarnation, message: Message) -> None:
        kind = type(message).__name__
        self.messages[kind] += 1
        self.bytes[kind] += len(ENCODER.encode(message))
        sender = host.vm.incarnation
        target = self.hosts.get(peer)
        if target is not None:
            self.clock.call_in(HOP_S, lambda: target.receive(sender, message))

    def _register(self, nodes: int) -> None:
        limits = Limits(100_000.0, 1e9, 100_000)
        tiers = dict.fromkeys(KINDS, Tier.STANDARD)
        contract = Contract(CUSTOMER, "token", tiers, limits)
        change = ChangeId("0")
        value = encode_contract_change(None, contract, change, "ann", 0.0)
        self.store.put(f"contracts/{CUSTOMER}", value)
        for number in range(8):
            is_engine = number < 5
            backend = BackendServer(
                BackendServerId(f"server{number}"),
                POOLS[KINDS[0 if is_engine else 1]],
                BackendKind.MODEL_ENGINE if is_engine else BackendKind.PLAIN_SERVICE,
                ZoneId("tallinn-a"),
                "10.1.0.1",
                8000 + number,
                slots=nodes * SLOTS_PER_NODE,
                token_slots=1_000_000,
            )
            value = encode_backend_change(None, backend, change, "ann", 0.0)
            self.store.put(f"backends/{backend.server}", value)

    def _start(self, nodes: int, seed: int) -> None:
        vms = [_build_vm(number) for number in range(nodes)]
        listings = [VmListing(vm.host, vm.peer_port, vm.zone, vm.region) for vm in vms]
        for number, vm in enumerate(vms):
            host = EntryHost(self, vm, seed * 1000 + number)
            self.hosts[vm.incarnation] = host

            def begin(host: EntryHost = host) -> None:
                host.node.start(self.clock.now)
                host.node.seed_members(self.clock.now, listings)

            self.clock.call_at(0.0, lambda host=host, begin=begin: host.call(begin))
            self.clock.call_at(self.rng.random() * TICK_S, host.tick)
        self.clock.call_in(LIST_PERIOD_S, lambda: self._list_vms(listings, vms))

    def _list_vms(self, shown: list[VmListing], vms: list[EntryVm]) -> None:
        """Give each node the platform's list as it was one period ago."""
        for host in self.live_hosts:

            def seed(host: EntryHost = host) -> None:
                host.node.seed_members(self.clock.now, shown)

            host.call(seed)
        listings = [
            VmListing(vm.host, vm.peer_port, vm.zone, vm.region)
            for vm in vms
            if self.hosts[vm.incarnation].is_alive
        ]
        self.clock.call_in(LIST_PERIOD_S, lambda: self._list_vms(listings, vms))


def _build_vm(number: int) -> EntryVm:
    return EntryVm(
        incarnation=Incarnation(f"e{number:011d}"),
        zone=ZoneId(f"tallinn-{'abc'[number % 3]}"),
        region=RegionId("ee-north"),
        host=f"10.0.0.{number + 1}",
        http_port=8080,
        peer_port=9090,
    )
