"""The membership as the rest of the node sees it."""

from __future__ import annotations

import random

from fireflyquay.membership._membership import Membership
from fireflyquay.membership._membership_message import MemberRecord
from fireflyquay.membership._rendezvous import choose_one, rank
from fireflyquay.world import (
    NO_WITNESS,
    CustomerId,
    EntryVm,
    HomedKey,
    Incarnation,
    MemberState,
    PoolId,
    RequestKey,
    ZoneId,
)

from ._broker_duty import choose_broker
from ._node_status import EntryAddress, EntryList
from ._peer_view import PeerView

STEWARD_NAME = "steward/"
WITNESS_NAME = "witness/"
DISTRUST_S = 10.0
KEEP_ENTRIES_S = 20.0
NONCE_BITS = 64


class FleetView(PeerView):
    """Answer who runs, who brokers, who witnesses and who keeps limits."""

    def __init__(
        self,
        own: EntryVm,
        membership: Membership,
        rng: random.Random,
        started_at: float,
    ) -> None:
        self._own = own
        self._membership = membership
        self._rng = rng
        self._started_at = started_at
        self._witness = NO_WITNESS
        # Duties chosen among the members of this tuple.
        self._chosen_for: tuple[Incarnation, ...] = ()
        self._brokers: dict[PoolId, Incarnation | None] = {}
        self._stewards: dict[CustomerId, Incarnation | None] = {}
        # Loop times until which silent entry VMs are passed over, in seconds.
        self._distrusted: dict[Incarnation, float] = {}

    @property
    def witness(self) -> Incarnation:
        """Return the witness that new keys of this home name."""
        return self._witness

    def is_live(self, incarnation: Incarnation) -> bool:
        """Tell whether an entry VM is believed to be running."""
        if incarnation == self._own.incarnation:
            return True
        record = self._membership.get(incarnation)
        return record is not None and record.state is not MemberState.DEAD

    def find_vm(self, incarnation: Incarnation) -> EntryVm | None:
        """Return where an entry VM is reached, or None."""
        record = self._membership.get(incarnation)
        return None if record is None else record.vm

    def read_uptime(self, now: float) -> int:
        """Return the own uptime in seconds."""
        return int(now - self._started_at)

    def list_workers(self) -> tuple[Incarnation, ...]:
        """Return the members that take new duties, the same tuple until it changes."""
        return self._membership.live_names()

    def choose_broker(self, pool: PoolId) -> Incarnation | None:
        """Return the broker of a pool."""
        self._forget_stale_choices()
        if pool not in self._brokers:
            self._brokers[pool] = choose_broker(pool, self._chosen_for)
        return self._brokers[pool]

    def choose_steward(self, customer: CustomerId) -> Incarnation | None:
        """Return the steward of a customer's limits."""
        self._forget_stale_choices()
        if customer not in self._stewards:
            name = STEWARD_NAME + customer
            self._stewards[customer] = choose_one(name, self._chosen_for)
        return self._stewards[customer]

    def is_trusted(self, incarnation: Incarnation) -> bool:
        """Tell whether an entry VM runs and has not been silent lately."""
        return self.is_live(incarnation) and incarnation not in self._distrusted

    def make_key(self, now: float) -> RequestKey:
        """Return a fresh key homed here."""
        nonce = f"{self._rng.getrandbits(NONCE_BITS):016x}"
        mark = self.read_uptime(now)
        return HomedKey(self._own.incarnation, self._witness, mark, nonce).format()

    def distrust(self, now: float, incarnation: Incarnation) -> None:
        """Name an entry VM as witness no more for a while, for it is silent."""
        self._distrusted[incarnation] = now + DISTRUST_S
        self.update_witness(now)

    def list_entries(self, now: float, near: ZoneId) -> EntryList:
        """Return the addresses that callers may use, best for a zone first."""
        entries = [
            self._describe_entry(now, record)
            for record in self._membership.live()
            if record.state is MemberState.ALIVE
        ]
        self._rng.shuffle(entries)
        entries.sort(key=lambda entry: (entry.zone != near, round(entry.load, 1)))
        return EntryList(tuple(entries), KEEP_ENTRIES_S)

    def count_members(self) -> dict[MemberState, int]:
        """Count members by believed state."""
        counts = dict.fromkeys(MemberState, 0)
        for record in self._membership.live():
            counts[record.state] += 1
        return counts

    def update_witness(self, now: float) -> None:
        """Keep the witness while it answers; else choose one in another zone."""
        for incarnation, until in tuple(self._distrusted.items()):
            if until <= now:
                del self._distrusted[incarnation]
        if not self._may_witness(self._membership.get(self._witness)):
            others = filter(self._may_witness, self._membership.live())
            self._witness = self._choose_witness([record.vm for record in others])

    def _may_witness(self, record: MemberRecord | None) -> bool:
        if record is None or record.state is not MemberState.ALIVE:
            return False
        name = record.vm.incarnation
        return name != self._own.incarnation and name not in self._distrusted

    def _forget_stale_choices(self) -> None:
        names = self.list_workers()
        if names is self._chosen_for:
            return
        self._chosen_for = names
        self._brokers.clear()
        self._stewards.clear()

    def _choose_witness(self, others: list[EntryVm]) -> Incarnation:
        near = [vm for vm in others if vm.region == self._own.region]
        apart = [vm for vm in near if vm.zone != self._own.zone]
        candidates = [vm.incarnation for vm in apart or near or others]
        ranked = rank(WITNESS_NAME + self._own.incarnation, candidates)
        return ranked[0] if ranked else NO_WITNESS

    def _describe_entry(self, now: float, record: MemberRecord) -> EntryAddress:
        vm = record.vm
        is_own = vm.incarnation == self._own.incarnation
        mark = self._membership.estimate_uptime(vm.incarnation, now) or 0
        if is_own:
            mark = self.read_uptime(now)
        return EntryAddress(
            host=vm.host,
            port=vm.http_port,
            zone=vm.zone,
            incarnation=vm.incarnation,
            witness=self._witness if is_own else record.witness,
            mark=mark,
            load=record.load,
        )
