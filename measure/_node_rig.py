"""One node with members, pools and requests in progress, for timing its tick."""

from __future__ import annotations

import random

from fireflyquay.contracts import (
    StoredValue,
    StoreList,
    StoreListing,
    encode_backend_change,
    encode_contract_change,
)
from fireflyquay.decisions import (
    CallStore,
    Node,
)
from fireflyquay.membership import (
    JoinAnswer,
    Ping,
    Send,
)
from fireflyquay.membership._member_beliefs import introduce
from fireflyquay.membership._membership_message import Ack, Gossip
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendServerId,
    ChangeId,
    Contract,
    CustomerId,
    ExchangeId,
    Fingerprint,
    Limits,
    PoolId,
    Request,
    Tier,
    WorkKind,
    ZoneId,
)

from ._member_fleet import build_vm

TICK_S = 0.05
SERVERS_PER_POOL = 5
KIND = "order"
LIMITS = Limits(1e6, 1e9, 100_000)


class NodeRig:
    """Drive one node; pings of its members are acknowledged at once."""

    def __init__(
        self,
        members: int,
        pools: int = 2,
        running: int = 0,
        contracts: int = 5,
        slots: int = 0,
    ) -> None:
        self.now = 0.0
        self._own = build_vm(0)
        self.node = Node(self._own, random.Random(1), 0.0, 0.0)
        self._values = [_build_contract(number) for number in range(contracts)]
        self._values += [
            _build_backend(pool, number, slots or 20 * running + 1)
            for pool in range(pools)
            for number in range(SERVERS_PER_POOL)
        ]
        self.node.start(0.0)
        self.run(4.0)
        for number in range(running):
            self.bring(number)
        self.run(0.5)
        self._join(members)
        self.run(2.0)

    def run(self, seconds: float) -> None:
        """Let virtual time pass in ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def tick(self, _: int = 0) -> None:
        """Advance one tick and answer what the node asks."""
        self.now += TICK_S
        self.node.advance(self.now)
        self.answer()

    def answer(self) -> None:
        """Answer pings and lists; drop the rest."""
        for action in self.node.take_actions():
            if isinstance(action, Send) and isinstance(action.message, Ping):
                ack = Ack(action.message.sequence, Gossip())
                self.node.receive(self.now, action.peer, ack)
            elif isinstance(action, CallStore):
                self._answer_store(action)

    def bring(self, number: int) -> None:
        """Bring a request under a fresh key of this node."""
        key = self.node.make_key(self.now)
        request = Request(
            exchange=ExchangeId(number),
            key=key,
            customer=CustomerId("customer0"),
            kind=WorkKind(KIND, PoolId("pool0"), False, 1e6),
            tier=Tier.URGENT,
            prompt_tokens=1,
            max_tokens=1,
            prefix_hash="",
            fingerprint=Fingerprint(f"{number:032x}"),
            deadline=self.now + 1e6,
            send_count=1,
        )
        self.node.receive_request(self.now, request)
        self.answer()

    def _join(self, members: int) -> None:
        rumors = tuple(introduce(build_vm(number)) for number in range(1, members))
        if rumors:
            sender = build_vm(1).incarnation
            self.node.receive(self.now, sender, JoinAnswer(rumors))

    def _answer_store(self, action: CallStore) -> None:
        if not isinstance(action.call, StoreList):
            return
        prefix = action.call.prefix
        values = tuple(v for v in self._values if v.path.startswith(prefix))
        listing = StoreListing(values, 10_000)
        self.node.receive_store_answer(self.now, action.tag, listing)


def _build_contract(number: int) -> StoredValue:
    customer = CustomerId(f"customer{number}")
    contract = Contract(customer, f"t{number}", {KIND: Tier.URGENT}, LIMITS)
    change = ChangeId(str(number))
    value = encode_contract_change(None, contract, change, "ann", 0.0)
    return StoredValue(f"contracts/{customer}", value, 1, number + 1)


def _build_backend(pool: int, number: int, slots: int) -> StoredValue:
    backend = BackendServer(
        BackendServerId(f"server-{pool}-{number}"),
        PoolId(f"pool{pool}"),
        BackendKind.MODEL_ENGINE,
        ZoneId("tallinn-a"),
        "10.1.0.1",
        8000,
        slots=slots,
        token_slots=10_000_000,
    )
    value = encode_backend_change(None, backend, ChangeId("0"), "ann", 0.0)
    return StoredValue(f"backends/{backend.server}", value, 1, 1000 + number)
