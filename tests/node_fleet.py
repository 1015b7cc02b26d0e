"""A few nodes in virtual time that reach each other and a store in memory."""

from __future__ import annotations

import random

import msgspec

from fireflyquay.contracts import (
    BACKEND_CODEC,
    CONTRACT_CODEC,
    StoreConflict,
    StoredValue,
    StoreList,
    StoreListing,
    StoreMissing,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from fireflyquay.decisions import (
    PEER_MESSAGE,
    CallStore,
    Dispatch,
    Node,
    Refuse,
    Resume,
    RunReport,
)
from fireflyquay.membership import (
    Message,
    Send,
    SendTo,
)
from fireflyquay.world import (
    BackendKind,
    BackendRecord,
    BackendServer,
    Contract,
    ContractRecord,
    EntryVm,
    Limits,
    Request,
    Tier,
    VmListing,
    WorkKind,
)

TICK_S = 0.05
ZONES = ("tallinn-a", "tallinn-b", "tallinn-c")
REGION = "ee-north"
CUSTOMER, OTHER, POOL, SERVER = "treipuu", "brolga", "drafting", "engine-1"
KIND = WorkKind("label", POOL, idempotent=True)
BACKEND = BackendServer(
    SERVER, POOL, BackendKind.MODEL_ENGINE, ZONES[0], "10.0.1.1", 80, 8, 100_000
)


class NodeFleet:
    """Carry messages and store calls between nodes, one tick at a time."""

    def __init__(self, count: int = 3) -> None:
        self.now = 0.0
        self.values: dict[str, StoredValue] = {}
        for customer in (CUSTOMER, OTHER):
            record = ContractRecord(_make_contract(customer), 1)
            self.write(f"contracts/{customer}", CONTRACT_CODEC.encode(record))
        self.write("backends/engine-1", BACKEND_CODEC.encode(_record_backend()))
        self.nodes = {}
        self.ended: dict[int, object] = {}
        # Whether runs go on without an end.
        self.holds_runs = False
        self._dispatched: list = []
        vms = [_make_vm(index) for index in range(count)]
        self._addresses = {(vm.host, vm.peer_port): vm.incarnation for vm in vms}
        listings = [VmListing(v.host, v.peer_port, v.zone, v.region) for v in vms]
        for vm in vms:
            node = Node(vm, random.Random(vm.incarnation), 0.0, 1000.0)
            self.nodes[vm.incarnation] = node
            node.start(0.0)
            node.seed_members(0.0, listings)

    def write(self, path: str, value: bytes) -> None:
        revision = len(self.values) + 1
        self.values[path] = StoredValue(path, value, 1, revision)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def tick(self) -> None:
        self.now += TICK_S
        for name, node in self.nodes.items():
            node.advance(self.now)
            for action in node.take_actions():
                self._perform(name, action)
        for node, action in () if self.holds_runs else self._dispatched:
            node.note_finished(self.now, action.request.exchange, RunReport(10, 10))
        self._dispatched.clear()

    def send(self, name: str, exchange: int) -> Request:
        """Send a fresh request to a node as its caller would."""
        request = self.make_request(name, exchange)
        self.nodes[name].receive_request(self.now, request)
        return request

    def make_request(self, name: str, exchange: int) -> Request:
        """Make a request with a key homed on a node."""
        return Request(
            exchange=exchange,
            key=self.nodes[name].make_key(self.now),
            customer=CUSTOMER,
            kind=KIND,
            tier=Tier.URGENT,
            prompt_tokens=10,
            max_tokens=10,
            prefix_hash="p",
            fingerprint=f"f{exchange}",
            deadline=self.now + 20.0,
            send_count=1,
        )

    def _perform(self, name: str, action) -> None:
        node = self.nodes[name]
        match action:
            case Send() if action.peer in self.nodes:
                self._deliver(name, action.peer, action.message)
            case SendTo():
                peer = self._addresses.get((action.host, action.peer_port))
                if peer is not None:
                    self._deliver(name, peer, action.message)
            case CallStore():
                answer = self._answer(action.call)
                if answer is not None:
                    node.receive_store_answer(self.now, action.tag, answer)
            case Resume():
                self.ended[action.request.exchange] = action
            case Dispatch():
                self.ended[action.request.exchange] = action
                self._dispatched.append((node, action))
            case Refuse():
                self.ended[action.exchange] = action

    def _deliver(self, sender: str, peer: str, message: Message) -> None:
        # What the system sends itself must pass its own checks.
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(message), type=PEER_MESSAGE
        )
        if peer in self.nodes:
            self.nodes[peer].receive(self.now, sender, decoded)

    def _answer(self, call):
        if isinstance(call, StoreList):
            found = [v for p, v in self.values.items() if p.startswith(call.prefix)]
            return StoreListing(tuple(found), len(self.values))
        if isinstance(call, StoreRead):
            return self.values.get(call.path) or StoreMissing(call.path)
        if isinstance(call, StoreWrite):
            return StoreConflict(call.path, 1)
        assert isinstance(call, StoreWatch)
        return None


def _make_vm(index: int) -> EntryVm:
    return EntryVm(
        f"node{index}", ZONES[index % 3], REGION, f"10.0.0.{index}", 8080, 8081
    )


def _make_contract(customer: str) -> Contract:
    limits = Limits(100.0, 1e6, 50)
    return Contract(customer, f"{customer}-token", {"label": Tier.URGENT}, limits)


def _record_backend() -> BackendRecord:
    return BackendRecord(BACKEND, 1)
