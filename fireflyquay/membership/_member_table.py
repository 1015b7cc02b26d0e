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
_STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}


class ChangeKind(Enum):
    """What happened to a member."""

    JOINED = auto()
    LOST = auto()
    CHANGED = auto()


@dataclass(slots=True)
class Member:
    """A member's latest record, with local data about it."""

    record: MemberRecord
    # Loop time in seconds at which the uptime was received.
    uptime_recorded_at: float
    # Loop time in seconds at which it was declared dead.
    dead_at: float = 0.0
    # Whether it has ended for certain: it left, or another incarnation replaced it.
    is_end_confirmed: bool = False
    # Whether another incarnation runs at its address.
    is_replaced: bool = False

    @property
    def is_dead(self) -> bool:
        """Return whether the member is declared dead."""
        return self.record.state is MemberState.DEAD

    def compute_min_uptime(self, now: float) -> int:
        """Return a lower bound of the whole seconds since the member's start."""
        elapsed = max(0.0, now - self.uptime_recorded_at) * (
            1.0 - MAX_CLOCK_DRIFT_RATIO
        )
        return int(self.record.uptime + elapsed)


class MemberTable:
    """Members by incarnation; an older rumor never replaces a newer one."""

    def __init__(self, retention_seconds: float, max_dead_members: int) -> None:
        self._retention_seconds = retention_seconds
        self._max_dead_members = max_dead_members
        self._members: dict[Incarnation, Member] = {}
        self._addresses: dict[tuple[str, int], Incarnation] = {}
        self._dead: dict[Incarnation, None] = {}
        self._changes: dict[Incarnation, ChangeKind] = {}
        self._running: dict[Incarnation, Member] = {}
        self._live_records: tuple[MemberRecord, ...] | None = None
        self._live_incarnations: tuple[Incarnation, ...] | None = None
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
        """Return members that aren't dead."""
        return list(self._running.values())

    def count_running(self) -> int:
        """Return how many members aren't dead."""
        return len(self._running)

    def list_dead(self) -> list[Member]:
        """Return the dead members that haven't expired, oldest first."""
        return [self._members[incarnation] for incarnation in self._dead]

    def list_bucket_members(self, index: int) -> list[Member]:
        """Return members of one bucket that aren't dead."""
        return [m for m in self.list_running() if _compute_bucket(m) == index]

    def live(self) -> tuple[MemberRecord, ...]:
        """Return records of members that are alive or suspect."""
        if self._live_records is None:
            present = self._running
            self._live_records = tuple(
                present[incarnation].record for incarnation in self.live_incarnations()
            )
        return self._live_records

    def live_incarnations(self) -> tuple[Incarnation, ...]:
        """Return members that are alive or suspect, the same tuple until it changes."""
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
        """Return and clear the changes of members since the last call."""
        changes = list(self._changes.items())
        self._changes.clear()
        return changes

    def apply(self, now: float, rumor: Rumor, is_self_reported: bool = False) -> bool:
        """Apply a rumor if it is newer, and return whether it was applied."""
        member = self._members.get(rumor.incarnation)
        if member is None:
            return self._add(now, rumor, is_self_reported)
        self._update_uptime(now, member, rumor.uptime)
        if not is_newer(rumor, member.record) or member.is_replaced:
            return False
        if not self._resolve_address_conflict(now, rumor, is_self_reported):
            member.is_end_confirmed = member.is_replaced = True
            return False
        self._set_state(now, member, rumor.state, rumor.generation)
        return True

    def expire(self, now: float) -> None:
        """Remove dead members after the retention time, or the oldest if too many."""
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
        """Return whether a rumor's member started last at its address.

        If it did, the member that it replaces is declared dead.
        """
        if rumor.state is MemberState.DEAD:
            return True
        holder = self._addresses.get((rumor.host, rumor.peer_port))
        if holder is None or holder == rumor.incarnation:
            return True
        other = self._members[holder]
        uptime = other.compute_min_uptime(now)
        if uptime < rumor.uptime or (uptime == rumor.uptime and not is_self_reported):
            return False
        other.is_end_confirmed = other.is_replaced = True
        self._set_state(now, other, MemberState.DEAD, other.record.generation)
        return True

    def _set_state(
        self, now: float, member: Member, state: MemberState, generation: int
    ) -> None:
        old = member.record
        self._toggle_hash(member)
        if old.state is MemberState.LEAVING and state is MemberState.DEAD:
            member.is_end_confirmed = True
        member.record = replace(old, state=state, generation=generation)
        self._toggle_hash(member)
        self._live_records = self._live_incarnations = None
        self._record_change(now, member, old.state)

    def _record_change(self, now: float, member: Member, before: MemberState) -> None:
        vm = member.record.vm
        address = (vm.host, vm.peer_port)
        if member.is_dead and before is not MemberState.DEAD:
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
        joined = before is MemberState.DEAD
        if joined:
            self.join_and_loss_count += 1
            member.is_end_confirmed = False
            self._dead.pop(vm.incarnation, None)
        kind = ChangeKind.JOINED if joined else ChangeKind.CHANGED
        if self._changes.get(vm.incarnation) is not ChangeKind.JOINED:
            self._changes[vm.incarnation] = kind

    def _update_uptime(self, now: float, member: Member, uptime: int) -> None:
        """Record a reported uptime if it is above the estimate."""
        if uptime > member.compute_min_uptime(now):
            member.record = replace(member.record, uptime=uptime)
            member.uptime_recorded_at = now
            self._live_records = None

    def _toggle_hash(self, member: Member) -> None:
        record = member.record
        if record.state is MemberState.DEAD:
            return
        leaving = record.state is MemberState.LEAVING
        text = f"{record.vm.incarnation}:{record.generation}:{leaving}"
        self.bucket_hashes[_compute_bucket(member)] ^= xxh64_intdigest(text.encode())


def is_newer(rumor: Rumor, record: MemberRecord) -> bool:
    """Return whether a rumor overrides a record, by generation and then by state."""
    ours = (record.generation, _STATE_PRECEDENCE[record.state])
    return (rumor.generation, _STATE_PRECEDENCE[rumor.state]) > ours


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
