"""Fleet of nodes with membership and books only, in virtual time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import reduce
from operator import or_
from typing import Any

import msgspec

from fireflyquay.contracts import (
    StoredValue,
    encode_contract_change,
)
from fireflyquay.decisions import (
    BackendBook,
    BookBuckets,
    BookDigest,
    BookPull,
    BookPush,
    BookRevisions,
    BookSettings,
    BookSync,
    ContractBook,
)
from fireflyquay.decisions.tests.fake_store import FakeStore
from fireflyquay.membership import (
    Action,
    JoinAnswer,
    JoinRequest,
    MemberBuckets,
    MemberDigest,
    Membership,
    MembershipSettings,
    Message,
    Ping,
    PingRequest,
)
from fireflyquay.membership._membership_message import Ack
from fireflyquay.membership.tests.fake_network import FakeNetwork
from fireflyquay.world import (
    ChangeId,
    Contract,
    CustomerId,
    EntryVm,
    Incarnation,
    Limits,
    RegionId,
    Tier,
    VmListing,
    VmListingState,
    ZoneId,
)

# Length prefix, and headers of IP and TCP, in bytes.
OVERHEAD_BYTES = 4 + 40
STEP_SECONDS = 0.01
LIMIT_SECONDS = 15.0
CONTRACTS = 40
MESSAGES = (
    Ack,
    BookBuckets,
    BookDigest,
    BookPull,
    BookPush,
    BookRevisions,
    JoinAnswer,
    JoinRequest,
    MemberBuckets,
    MemberDigest,
    Ping,
    PingRequest,
)


class MeasuredNode:
    """Run membership and books of one node and time them."""

    def __init__(
        self,
        vm: EntryVm,
        seed: int,
        settings: BookSettings,
        member_settings: MembershipSettings,
    ) -> None:
        self.vm = vm
        self.seconds = 0.0
        self.contracts = ContractBook()
        self._rng = random.Random(seed)
        self.membership = Membership(vm, member_settings, self._rng)
        self.sync = BookSync(
            vm.incarnation,
            self.membership,
            self.contracts,
            BackendBook(),
            settings,
            self._rng,
        )
        self._load = self._rng.random()
        self._next_load = 0.0

    def advance(self, now: float) -> list[Action]:
        """Run what is due, with a load that wanders."""
        if now >= self._next_load:
            self._next_load = now + 1.0
            step = self._rng.uniform(-0.05, 0.05)
            self._load = min(1.0, max(0.0, self._load + step))
        return self._time(lambda: self._advance(now))

    def receive(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        """Take in a message."""
        if type(message).__name__.startswith("Book"):
            return self._time(lambda: self.sync.receive(now, sender, message))
        return self._time(lambda: self.membership.receive(now, sender, message))

    def receive_store_answer(self, now: float, tag: str, answer: Any) -> list[Action]:
        """Take in an answer from the store."""
        return self._time(lambda: self.sync.receive_store_answer(now, tag, answer))

    def _advance(self, now: float) -> list[Action]:
        self.membership.describe_own(self.vm.incarnation, int(now), self._load)
        self.membership.drain_changes()
        return self.membership.advance(now) + self.sync.advance(now)

    def _time(self, call: Callable[[], list[Action]]) -> list[Action]:
        start = time.process_time()
        actions = call()
        self.seconds += time.process_time() - start
        return actions


class MeasuredNetwork(FakeNetwork):
    """Encode and decode each message, and count them."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.messages = 0
        self.bytes = 0
        self.codec_seconds = 0.0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(reduce(or_, MESSAGES))

    def _send(self, sender: Incarnation, peer: Incarnation, message: Message) -> None:
        start = time.process_time()
        data = self._encoder.encode(message)
        decoded = self._decoder.decode(data)
        self.codec_seconds += time.process_time() - start
        self.messages += 1
        self.bytes += len(data) + OVERHEAD_BYTES
        super()._send(sender, peer, decoded)


class MeasuredFleet:
    """Hold a fleet of one size over its store."""

    def __init__(
        self,
        size: int,
        seed: int,
        settings: BookSettings,
        member_settings: MembershipSettings,
    ) -> None:
        self.network = MeasuredNetwork(seed)
        self.store = FakeStore(self.network)
        for number in range(CONTRACTS):
            self.write(number, 1.0)
        vms = [build_vm(number) for number in range(size)]
        listings = [_list_vm(vm) for vm in vms]
        for number, vm in enumerate(vms):
            node = MeasuredNode(vm, seed * 1000 + number, settings, member_settings)
            self.network.add(node)
            self.network.perform(vm.incarnation, node.membership.seed(0.0, listings))
            self.network.perform(vm.incarnation, node.sync.start(0.0))

    @property
    def nodes(self) -> list[MeasuredNode]:
        """Return the running nodes."""
        return list(self.network.nodes.values())

    def write(self, number: int, rate: float) -> None:
        """Change one contract in the store."""
        path = f"contracts/customer{number}"
        current = self.store.values.get(path)
        value = build_contract_value(number, rate, current, 0).value
        self.store.write(path, value)

    def time_change(self, rate: float) -> list[float]:
        """Change a contract and return each node's seconds until it is in force."""
        self.write(0, rate)
        customer = CustomerId("customer0")

        def has_rate(node: MeasuredNode) -> bool:
            record = node.contracts.get(customer)
            return record is not None and (
                record.contract.limits.requests_per_second == rate
            )

        return self._time_all(self.nodes, has_rate)

    def time_kill(self, number: int) -> float:
        """Kill a node and return the seconds until all others know."""
        name = build_vm(number).incarnation
        self.network.kill(name)
        times = self._time_all(self.nodes, lambda n: not n.membership.is_live(name))
        return max(times)

    def _time_all(
        self, nodes: list[MeasuredNode], check: Callable[[MeasuredNode], bool]
    ) -> list[float]:
        start = self.network.now
        waiting = nodes
        times: list[float] = []
        while waiting and self.network.now - start < LIMIT_SECONDS:
            self.network.run(STEP_SECONDS)
            left = [node for node in waiting if not check(node)]
            times += [self.network.now - start] * (len(waiting) - len(left))
            waiting = left
        return times + [LIMIT_SECONDS] * len(waiting)


def build_vm(number: int) -> EntryVm:
    """Return the entry VM with this number."""
    return EntryVm(
        incarnation=Incarnation(f"e{number:011d}"),
        zone=ZoneId(f"tallinn-{'abc'[number % 3]}"),
        region=RegionId("ee-north"),
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        http_port=8080,
        peer_port=9090,
    )


def _list_vm(vm: EntryVm) -> VmListing:
    state = VmListingState.LIVE
    return VmListing(vm.host, vm.peer_port, vm.zone, vm.region, state)


def build_contract_value(
    number: int, rate: float, current: StoredValue | None, revision: int
) -> StoredValue:
    """Return a contract as stored after the current value."""
    customer = CustomerId(f"customer{number}")
    limits = Limits(rate, 1000.0, 10)
    contract = Contract(customer, f"t{number}", {"order": Tier.URGENT}, limits)
    change = ChangeId(f"{number}-{rate}")
    value = encode_contract_change(current, contract, change, "ann", 0.0)
    return StoredValue(f"contracts/{customer}", value, 1, revision)
