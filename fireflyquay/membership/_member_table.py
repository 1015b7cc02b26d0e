"""Table of members: precedence of rumors, and expiry of dead members."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from xxhash import xxh64_intdigest

from fireflyquay.world import Incarnation, MemberState

from ._membership_message import MemberRecord, Rumor

BUCKET_COUNT = 16
# Clock rates of two machines differ by less than this ratio.
MAX_CLOCK_DRIFT_RATIO = 0.0005
# Of two states with the same generation, the one with the higher number overrides.
_STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}


class ChangeKind(Enum):
    """State how a member changed."""

    JOINED = auto()
    LOST = auto()
    CHANGED = auto()


@dataclass(slots=True)
class Member:
    """Hold a member's latest record, and data that only this entry VM keeps."""

    record: MemberRecord
    # Loop time in seconds at which the uptime was received.
    uptime_recorded_at: float
    # Loop time in seconds at which the member was declared dead.
    dead_at: float = 0.0
    # Whether the member's process is known to have ended: it left, or was replaced.
    is_end_confirmed: bool = False
    # Whether a later incarnation has started at the member's address.
    is_replaced: bool = False

    @property
    def is_dead(self) -> bool:
        """Return whether the member is declared dead."""
        return self.record.state is MemberState.DEAD

    def compute_min_uptime(self, now: float) -> int:
        """Return a lower bound of the whole seconds since the member started."""
        elapsed = max(0.0, now - self.uptime_recorded_at) * (
            1.0 - MAX_CLOCK_DRIFT_RATIO
        )
        return int(self.record.uptime + elapsed)


class MemberTable:
    """Store members by incarnation; an older rumor never overrides a newer one."""

    def __init__(self, retention_seconds: float, max_dead_members: int) -> None:
        self._retention_seconds = retention_seconds
        self._max_dead_members = max_dead_members
        self._members: dict[Incarnation, Member] = {}
        self._addresses: dict[tuple[str, int], Incarnation] = {}
        self._dead: dict[Incarnation, None] = {}
        self._changes: dict[Incarnation, ChangeKind] = {}
        # Members that aren't dead: alive, suspect or leaving.
        self._running: dict[Incarnation, Member] = {}
        # Cached alive and suspect members; None after a change.
        self._live_records: tuple[MemberRecord, ...] | None = None
        self._live_incarnations: tuple[Incarnation, ...] | None = None
        # Per bucket, the XOR of the hashes of its members that aren't dead.
        self.bucket_hashes = [0] * BUCKET_COUNT
        # Number of joins and losses so far.
        self.join_and_loss_count = 0

    def get(self, incarnation: Incarnation) -> Member | None:
        """Return a member, which may be dead; None if it is unknown or expired."""
        return self._members.get(incarnation)

    def find_by_address(self, host: str, peer_port: int) -> Member | None:
        """Return the member that runs at an address and isn't dead."""
        incarnation = self._addresses.get((host, peer_port))
        return None if incarnation is None else self._members[incarnation]

    def list_running(self) -> list[Member]:
        """Return the members that aren't dead."""
        return list(self._running.values())

    def count_running(self) -> int:
        """Return the number of members that aren't dead."""
        return len(self._running)

    def list_dead(self) -> list[Member]:
        """Return the dead members that haven't expired, oldest first."""
        return [self._members[incarnation] for incarnation in self._dead]

    def list_bucket_members(self, index: int) -> list[Member]:
        """Return the members in one bucket, except dead ones."""
        return [m for m in self.list_running() if _compute_bucket(m) == index]

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the records of alive and suspect members."""
        if self._live_records is None:
            running = self._running
            self._live_records = tuple(
                running[incarnation].record for incarnation in self.live_incarnations()
            )
        return self._live_records

    def live_incarnations(self) -> tuple[Incarnation, ...]:
        """Return alive and suspect members; the tuple is the same until they change."""
        if self._live_incarnations is None:
            states = (MemberState.ALIVE, MemberState.SUSPECT)
            pairs = self._running.items()
            self._live_incarnations = tuple(
                incarnation
                for incarnation, member in pairs
                if member.record.state in states
            )
        return self._live_incarnations

    def drain_changes(self) -> list[tuple[Incarnation, ChangeKind]]:
        """Return the changes to members since the last call, and clear them."""
        changes = list(self._changes.items())
        self._changes.clear()
        return changes

    def apply(self, now: float, rumor: Rumor, is_self_reported: bool = False) -> bool:
        """Apply a rumor if it overrides the record, and return whether it did."""
        member = self._members.get(rumor.incarnation)
        if member is None:
            return self._add(now, rumor, is_self_reported)
        # Uptimes only grow, so an older rumor may still report a higher one.
        self._update_uptime(now, member, rumor.uptime)
        if not is_newer(rumor, member.record) or member.is_replaced:
            return False
        if not self._resolve_address_conflict(now, rumor, is_self_reported):
            member.is_end_confirmed = member.is_replaced = True
            return False
        self._set_state(now, member, rumor.state, rumor.generation)
        return True

    def expire(self, now: float) -> None:
        """Remove dead members after the retention time, and the oldest if too many."""
        while self._dead:
            oldest = next(iter(self._dead))
            age = now - self._members[oldest].dead_at
            if (
                age < self._retention_seconds
                and len(self._dead) <= self._max_dead_members
            ):
                return
            del self._dead[oldest]
            del self._members[oldest]

    def _add(self, now: float, rumor: Rumor, is_self_reported: bool) -> bool:
        # A new member starts as dead, so that _set_state records that it joined.
        record = MemberRecord(
            vm=rumor.build_vm(),
            state=MemberState.DEAD,
            generation=rumor.generation,
            uptime=rumor.uptime,
        )
        member = Member(record, now, dead_at=now)
        self._members[rumor.incarnation] = member
        self._dead[rumor.incarnation] = None
        if not self._resolve_address_conflict(now, rumor, is_self_reported):
            member.is_end_confirmed = member.is_replaced = True
            return False
        if rumor.state is not MemberState.DEAD:
            self._set_state(now, member, rumor.state, rumor.generation)
        return True

    def _resolve_address_conflict(
        self, now: float, rumor: Rumor, is_self_reported: bool
    ) -> bool:
        """Return whether no later member than the rumor's runs at its address.

        An earlier member at the address is declared dead. Rumors about dead members
        conflict with none.
        """
        if rumor.state is MemberState.DEAD:
            return True
        other_incarnation = self._addresses.get((rumor.host, rumor.peer_port))
        if other_incarnation is None or other_incarnation == rumor.incarnation:
            return True
        other_member = self._members[other_incarnation]
        uptime = other_member.compute_min_uptime(now)
        # The member with the shorter uptime started later. At equal uptimes, the
        # rumor's member counts as the later one only if it sent the rumor itself.
        if uptime < rumor.uptime or (uptime == rumor.uptime and not is_self_reported):
            return False
        other_member.is_end_confirmed = other_member.is_replaced = True
        self._set_state(
            now, other_member, MemberState.DEAD, other_member.record.generation
        )
        return True

    def _set_state(
        self, now: float, member: Member, state: MemberState, generation: int
    ) -> None:
        old_record = member.record
        self._toggle_hash(member)
        if old_record.state is MemberState.LEAVING and state is MemberState.DEAD:
            member.is_end_confirmed = True
        member.record = replace(old_record, state=state, generation=generation)
        self._toggle_hash(member)
        self._live_records = self._live_incarnations = None
        self._record_change(now, member, old_record.state)

    def _record_change(
        self, now: float, member: Member, old_state: MemberState
    ) -> None:
        vm = member.record.vm
        address = (vm.host, vm.peer_port)
        if member.is_dead and old_state is not MemberState.DEAD:
            member.dead_at = now
            self._dead[vm.incarnation] = None
            self._running.pop(vm.incarnation, None)
            self._addresses.pop(address, None)
            self._changes[vm.incarnation] = ChangeKind.LOST
            self.join_and_loss_count += 1
            return
        if member.is_dead:
            return
        self._addresses[address] = vm.incarnation
        self._running[vm.incarnation] = member
        has_joined = old_state is MemberState.DEAD
        if has_joined:
            self.join_and_loss_count += 1
            member.is_end_confirmed = False
            self._dead.pop(vm.incarnation, None)
        kind = ChangeKind.JOINED if has_joined else ChangeKind.CHANGED
        if self._changes.get(vm.incarnation) is not ChangeKind.JOINED:
            self._changes[vm.incarnation] = kind

    def _update_uptime(self, now: float, member: Member, uptime: int) -> None:
        """Record a reported uptime if it raises the known lower bound."""
        if uptime > member.compute_min_uptime(now):
            member.record = replace(member.record, uptime=uptime)
            member.uptime_recorded_at = now
            self._live_records = None

    def _toggle_hash(self, member: Member) -> None:
        record = member.record
        if record.state is MemberState.DEAD:
            return
        is_leaving = record.state is MemberState.LEAVING
        text = f"{record.vm.incarnation}:{record.generation}:{is_leaving}"
        self.bucket_hashes[_compute_bucket(member)] ^= xxh64_intdigest(text.encode())


def is_newer(rumor: Rumor, record: MemberRecord) -> bool:
    """Return whether a rumor overrides a record, by generation and then by state."""
    recorded = (record.generation, _STATE_PRECEDENCE[record.state])
    return (rumor.generation, _STATE_PRECEDENCE[rumor.state]) > recorded


def build_rumor(member: Member, now: float) -> Rumor:
    """Return a member's record as a rumor for other members."""
    record = member.record
    vm = record.vm
    return Rumor(
        incarnation=vm.incarnation,
        zone=vm.zone,
        region=vm.region,
        host=vm.host,
        http_port=vm.http_port,
        peer_port=vm.peer_port,
        state=record.state,
        generation=record.generation,
        uptime=member.compute_min_uptime(now),
        strength=vm.strength,
    )


def _compute_bucket(member: Member) -> int:
    return xxh64_intdigest(member.record.vm.incarnation.encode()) % BUCKET_COUNT
