"""Membership of entry VMs: SWIM failure detection and gossip over a partial view."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from fireflyquay.world import EntryVm, Incarnation, MemberState, VmListing

from ._action import Action, SendToAddress, SendToMember
from ._join_candidates import JoinCandidates
from ._member_table import ChangeKind, build_rumor
from ._member_tracker import MemberTracker
from ._membership_message import (
    Ack,
    Gossip,
    JoinRequest,
    JoinResponse,
    MemberBuckets,
    MemberDigest,
    MemberRecord,
    Ping,
    PingRequest,
)
from ._membership_settings import MembershipSettings
from ._message import Message
from ._partial_view import PartialView
from ._probes import ProbeTracker


class Membership:
    """Track which entry VMs run, by probes, gossip and the platform's list.

    It performs no I/O: callers pass in the loop time and the received messages, and
    send the messages of the returned actions.
    """

    def __init__(
        self, own_vm: EntryVm, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._own_incarnation = own_vm.incarnation
        self._settings = settings
        self._rng = rng
        self._tracker = MemberTracker(own_vm, settings)
        self._table = self._tracker.table
        self._probes = ProbeTracker(settings.ack_timeout, settings.indirect_timeout)
        self._view = PartialView(own_vm.incarnation, settings, rng)
        self._candidates = JoinCandidates(own_vm, settings, rng)
        self._last_event_at = -math.inf
        self._next_probe_at = 0.0
        self._next_digest_at = 0.0
        self._next_join_at = 0.0

    def update_listings(
        self, now: float, listings: Sequence[VmListing]
    ) -> list[Action]:
        """Replace the platform's list of VMs; send join requests to unknown ones."""
        self._process_elapsed_time(now)
        self._candidates.update(listings)
        return self._send_join_requests(now)

    def process_timers(self, now: float) -> list[Action]:
        """Process the timeouts and periodic tasks that are due."""
        self._process_elapsed_time(now)
        actions: list[Action] = []
        for target in self._probes.pop_failed_targets(now):
            self._tracker.mark_suspect(now, target)
        self._tracker.expire_suspicions(now)
        actions += self._send_ping_requests(now)
        actions += self._probe_when_due(now)
        if now >= self._next_join_at:
            actions += self._send_join_requests(now)
        if now >= self._next_digest_at:
            actions += self._send_digest(now)
        return actions

    def receive(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        """Process a message from another member, and return the messages to send."""
        self._process_elapsed_time(now)
        member = self._table.get(sender)
        if sender == self._own_incarnation or (
            member is not None and member.is_replaced
        ):
            return []
        match message:
            case Ping():
                return self._handle_ping(now, sender, message)
            case Ack():
                return self._handle_ack(now, sender, message)
            case PingRequest():
                return self._handle_ping_request(now, sender, message)
            case JoinRequest():
                return self._handle_join_request(now, sender, message)
            case JoinResponse():
                self._tracker.apply_join_response(now, message.rumors)
            case MemberDigest():
                return self._handle_digest(now, sender, message)
            case MemberBuckets():
                return self._handle_buckets(now, sender, message)
        return []

    def leave(self, now: float) -> list[Action]:
        """Ping the peers to announce that this entry VM is leaving."""
        self._process_elapsed_time(now)
        own_record = self._tracker.get_own_member().record
        if own_record.state is not MemberState.LEAVING:
            self._tracker.announce_own_state(
                now, own_record.generation + 1, MemberState.LEAVING
            )
        return [
            self._start_probe(now, peer)
            for peer in self._view.get_peers(now, self._table)
        ]

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the records of alive and suspect members, including this entry VM."""
        return self._table.live()

    def live_incarnations(self) -> tuple[Incarnation, ...]:
        """Return alive and suspect members; the tuple is the same until they change."""
        return self._table.live_incarnations()

    def get(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of a member, which may be dead; None if it is unknown."""
        member = self._table.get(incarnation)
        return None if member is None else member.record

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether a member left or was replaced, and was not just lost."""
        member = self._table.get(incarnation)
        return member is not None and member.is_end_confirmed

    def is_live(self, incarnation: Incarnation) -> bool:
        """Return whether a member is alive or suspect."""
        record = self.get(incarnation)
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return record is not None and record.state in states

    def drain_changes(self) -> list[tuple[Incarnation, ChangeKind]]:
        """Return the changes to members since the last call, and clear them."""
        return self._table.drain_changes()

    def _process_elapsed_time(self, now: float) -> None:
        """Start on the first call, and reset probes and timeouts after a pause."""
        elapsed = now - self._last_event_at
        self._last_event_at = max(now, self._last_event_at)
        if elapsed < self._settings.pause_threshold:
            return
        if math.isinf(elapsed):
            self._start(now)
            return
        self._probes.clear()
        self._tracker.reset_after_pause(now)

    def _start(self, now: float) -> None:
        self._tracker.start(now)
        self._next_probe_at = now + self._rng.random() * self._settings.probe_period
        self._next_digest_at = now + self._rng.random() * self._settings.digest_period
        self._next_join_at = now

    def _probe_when_due(self, now: float) -> list[Action]:
        if now < self._next_probe_at:
            return []
        self._next_probe_at = max(
            now, self._next_probe_at + self._settings.probe_period
        )
        # Probes that a delayed call has missed are skipped.
        if self._next_probe_at <= now:
            self._next_probe_at = now + self._settings.probe_period
        target = self._view.select_target(now, self._table)
        return [] if target is None else [self._start_probe(now, target)]

    def _start_probe(self, now: float, target: Incarnation) -> Action:
        sequence = self._probes.start(now, target)
        return SendToMember(
            target, Ping(target, sequence, self._tracker.select_gossip(now, target))
        )

    def _send_ping_requests(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sequence, probe in self._probes.start_indirect_probes(now):
            request = PingRequest(probe.target, sequence)
            relays = self._view.sample_live_members(probe.target, self._table)
            actions += [SendToMember(relay, request) for relay in relays]
        return actions

    def _handle_ping(self, now: float, sender: Incarnation, ping: Ping) -> list[Action]:
        self._tracker.apply_gossip(now, ping.gossip)
        if ping.target != self._own_incarnation:
            # The sender expects another process at this address; announce this one.
            rumor = build_rumor(self._tracker.get_own_member(), now)
            return [SendToMember(sender, JoinRequest(rumor))]
        return [
            SendToMember(
                sender, Ack(ping.sequence, self._tracker.select_gossip(now, sender))
            )
        ]

    def _handle_ack(self, now: float, sender: Incarnation, ack: Ack) -> list[Action]:
        self._tracker.apply_gossip(now, ack.gossip)
        probe = self._probes.pop_probe(ack.sequence)
        if probe is None:
            return []
        self._tracker.cancel_leaving_timeout(probe.target)
        if probe.requester is None:
            return []
        return [SendToMember(probe.requester, Ack(probe.requester_sequence, Gossip()))]

    def _handle_ping_request(
        self, now: float, sender: Incarnation, request: PingRequest
    ) -> list[Action]:
        if self._table.get(request.target) is None:
            return []
        sequence = self._probes.start(now, request.target, sender, request.sequence)
        gossip = self._tracker.select_gossip(now, request.target)
        return [SendToMember(request.target, Ping(request.target, sequence, gossip))]

    def _send_join_requests(self, now: float) -> list[Action]:
        self._next_join_at = now + self._settings.join_period
        self._table.expire(now)
        rumor = build_rumor(self._tracker.get_own_member(), now)
        addresses = self._candidates.select_addresses(now, self._table)
        return [
            SendToAddress(host, port, JoinRequest(rumor)) for host, port in addresses
        ]

    def _handle_join_request(
        self, now: float, sender: Incarnation, request: JoinRequest
    ) -> list[Action]:
        if request.rumor.incarnation != sender:
            return []
        self._tracker.apply_rumor(now, request.rumor, is_self_reported=True)
        members = self._table.list_running()
        joining_member = self._table.get(sender)
        # The sender refutes that it is dead once it receives the rumor.
        if joining_member is not None and joining_member.is_dead:
            members.append(joining_member)
        rumors = [build_rumor(member, now) for member in members]
        size = self._settings.max_members_per_join_response
        chunks = [rumors[i : i + size] for i in range(0, len(rumors), size)]
        return [SendToMember(sender, JoinResponse(tuple(chunk))) for chunk in chunks]

    def _send_digest(self, now: float) -> list[Action]:
        self._next_digest_at = now + self._settings.digest_period
        peers = self._view.sample_live_members(self._own_incarnation, self._table)
        digest = MemberDigest(tuple(self._table.bucket_hashes))
        return [SendToMember(peer, digest) for peer in peers[:1]]

    def _handle_digest(
        self, now: float, sender: Incarnation, digest: MemberDigest
    ) -> list[Action]:
        pairs = enumerate(
            zip(self._table.bucket_hashes, digest.bucket_hashes, strict=False)
        )
        bucket_indices = tuple(
            index for index, (ours, theirs) in pairs if ours != theirs
        )
        if not bucket_indices:
            return []
        return [
            SendToMember(
                sender,
                self._tracker.build_buckets(now, bucket_indices, wants_answer=True),
            )
        ]

    def _handle_buckets(
        self, now: float, sender: Incarnation, buckets: MemberBuckets
    ) -> list[Action]:
        self._tracker.apply_rumors(now, buckets.rumors)
        if not buckets.wants_answer:
            return []
        return [SendToMember(sender, self._tracker.build_difference(now, buckets))]
