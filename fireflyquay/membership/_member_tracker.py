"""Processing of rumors: gossip, refutation and suspicion timeouts."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from fireflyquay.world import EntryVm, Incarnation, MemberState

from ._gossip_queue import GossipQueue
from ._member_table import Member, MemberTable, build_rumor
from ._membership_message import Gossip, MemberBuckets, Rumor
from ._membership_settings import MembershipSettings

# States in rumors about this entry VM that it refutes.
_REFUTABLE_STATES = (MemberState.SUSPECT, MemberState.DEAD)


class MemberTracker:
    """Maintain the member table, the gossip queue and the suspicion deadlines."""

    def __init__(self, own_vm: EntryVm, settings: MembershipSettings) -> None:
        self._own_incarnation = own_vm.incarnation
        self._settings = settings
        self._gossip_queue = GossipQueue(settings.dissemination_factor)
        self._suspicion_deadlines: dict[Incarnation, float] = {}
        self.table = MemberTable(settings.dead_retention, settings.max_dead_members)
        # start() sets the time at which the uptime begins.
        self.table.apply(float("inf"), build_own_rumor(own_vm))
        self.table.drain_changes()

    def get_own_member(self) -> Member:
        """Return the member of this entry VM."""
        own_member = self.table.get(self._own_incarnation)
        assert own_member is not None
        return own_member

    def start(self, now: float) -> None:
        """Start the uptime of this entry VM, and queue its record for gossip."""
        self.get_own_member().uptime_recorded_at = now
        self._gossip_queue.enqueue(self._own_incarnation)

    def reset_after_pause(self, now: float) -> None:
        """Clear the gossip queue and restart the suspicion timeouts after a pause."""
        # Rumors and deadlines from before the pause are outdated.
        self._gossip_queue.clear()
        self._gossip_queue.enqueue(self._own_incarnation)
        for incarnation in self._suspicion_deadlines:
            self._suspicion_deadlines[incarnation] = (
                now + self._settings.suspicion_timeout
            )

    def announce_own_state(
        self, now: float, generation: int, state: MemberState
    ) -> None:
        """Gossip this VM's state, with a generation that overrides older rumors."""
        rumor = build_rumor(self.get_own_member(), now)
        rumor = msgspec.structs.replace(rumor, generation=generation, state=state)
        self.table.apply(now, rumor)
        self._gossip_queue.enqueue(self._own_incarnation)

    def select_gossip(self, now: float, peer: Incarnation) -> Gossip:
        """Return rumors for a peer; if it is suspect or dead, also one about itself."""
        member_count = self.table.count_running()
        incarnations = self._gossip_queue.select(
            self._settings.max_rumors_per_message, member_count
        )
        peer_member = self.table.get(peer)
        # The peer refutes that it is suspect or dead once it receives the rumor.
        if (
            peer_member is not None
            and peer_member.record.state in _REFUTABLE_STATES
            and peer not in incarnations
        ):
            incarnations.append(peer)
        members = [self.table.get(incarnation) for incarnation in incarnations]
        rumors = tuple(build_rumor(member, now) for member in members if member)
        return Gossip(rumors)

    def apply_gossip(self, now: float, gossip: Gossip) -> None:
        """Apply the rumors that were piggybacked on a message."""
        self.apply_rumors(now, gossip.rumors)

    def apply_rumors(self, now: float, rumors: Iterable[Rumor]) -> None:
        """Apply rumors, and queue those that are newer than the table for gossip."""
        for rumor in rumors:
            self.apply_rumor(now, rumor)

    def apply_join_response(self, now: float, rumors: Iterable[Rumor]) -> None:
        """Apply rumors of a join response, but don't gossip about new members."""
        for rumor in rumors:
            is_known = self.table.get(rumor.incarnation) is not None
            self.apply_rumor(now, rumor)
            # Other entry VMs know these members already.
            if not is_known:
                self._gossip_queue.remove(rumor.incarnation)

    def apply_rumor(
        self, now: float, rumor: Rumor, is_self_reported: bool = False
    ) -> None:
        """Apply one rumor, which is self-reported if it describes its sender."""
        if rumor.incarnation == self._own_incarnation:
            self._refute(now, rumor)
            return
        if not self.table.apply(now, rumor, is_self_reported):
            return
        self._gossip_queue.enqueue(rumor.incarnation)
        self._suspicion_deadlines.pop(rumor.incarnation, None)
        if rumor.state is MemberState.SUSPECT:
            self._set_suspicion_deadline(now, rumor.incarnation)

    def mark_suspect(self, now: float, target: Incarnation) -> None:
        """Mark a member that didn't answer a probe as suspect, unless it is leaving."""
        member = self.table.get(target)
        if member is None or member.is_dead:
            return
        if member.record.state is MemberState.LEAVING:
            # It is declared dead at the deadline without being suspect before.
            self._set_suspicion_deadline(now, target)
            return
        self._declare_state(now, member, MemberState.SUSPECT)

    def cancel_leaving_timeout(self, target: Incarnation) -> None:
        """Cancel the suspicion timeout of a leaving member that answered a probe."""
        member = self.table.get(target)
        if member is not None and member.record.state is MemberState.LEAVING:
            self._suspicion_deadlines.pop(target, None)

    def expire_suspicions(self, now: float) -> None:
        """Declare the members dead whose suspicion timeout has expired."""
        due = [
            incarnation
            for incarnation, deadline in self._suspicion_deadlines.items()
            if now >= deadline
        ]
        for incarnation in due:
            del self._suspicion_deadlines[incarnation]
            member = self.table.get(incarnation)
            if member is not None and not member.is_dead:
                self._declare_state(now, member, MemberState.DEAD)

    def build_buckets(
        self, now: float, bucket_indices: tuple[int, ...], wants_answer: bool
    ) -> MemberBuckets:
        """Return rumors about all members in the given buckets, except dead ones."""
        members = [
            m for index in bucket_indices for m in self.table.list_bucket_members(index)
        ]
        rumors = tuple(build_rumor(member, now) for member in members)
        return MemberBuckets(bucket_indices, rumors, wants_answer)

    def build_difference(
        self, now: float, peer_buckets: MemberBuckets
    ) -> MemberBuckets:
        """Return rumors that a peer's buckets lack, or that differ or are dead here."""
        peer_generations = {
            rumor.incarnation: rumor.generation for rumor in peer_buckets.rumors
        }
        own_rumors = self.build_buckets(
            now, peer_buckets.bucket_indices, wants_answer=False
        ).rumors
        differing = [
            rumor
            for rumor in own_rumors
            if peer_generations.get(rumor.incarnation) != rumor.generation
        ]
        known = [self.table.get(incarnation) for incarnation in peer_generations]
        dead = [build_rumor(m, now) for m in known if m is not None and m.is_dead]
        return MemberBuckets(
            peer_buckets.bucket_indices, tuple(differing + dead), wants_answer=False
        )

    def _refute(self, now: float, rumor: Rumor) -> None:
        """Announce a higher generation if a rumor about this entry VM is wrong."""
        own_record = self.get_own_member().record
        is_refutable = (
            rumor.state in _REFUTABLE_STATES
            and rumor.generation == own_record.generation
        )
        if is_refutable or rumor.generation > own_record.generation:
            self.announce_own_state(now, rumor.generation + 1, own_record.state)

    def _declare_state(self, now: float, member: Member, state: MemberState) -> None:
        rumor = msgspec.structs.replace(build_rumor(member, now), state=state)
        self.apply_rumor(now, rumor)

    def _set_suspicion_deadline(self, now: float, target: Incarnation) -> None:
        """Set the suspicion deadline of a member that has none yet."""
        deadline = now + self._settings.suspicion_timeout
        self._suspicion_deadlines.setdefault(target, deadline)


def build_own_rumor(own_vm: EntryVm) -> Rumor:
    """Return the rumor that an entry VM first sends about itself."""
    return Rumor(
        incarnation=own_vm.incarnation,
        zone=own_vm.zone,
        region=own_vm.region,
        host=own_vm.host,
        http_port=own_vm.http_port,
        peer_port=own_vm.peer_port,
        state=MemberState.ALIVE,
        generation=1,
        uptime=0,
        strength=own_vm.strength,
    )
