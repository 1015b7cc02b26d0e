"""Communication with other VMs: membership, coordinator choice, replica sync."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence

import logbook
from msgspec.structs import replace

from fireflyquay.dispatch import (
    ControlMessage,
    Coordinator,
    CrashNews,
    Handover,
    MessageToCoordinator,
    MessageToFollower,
    OriginRequest,
    OriginResponse,
    Probe,
    ProbeResponse,
    ReplicaSync,
    ReplicaSyncMessage,
)
from fireflyquay.links import (
    Connection,
    ConnectionGuard,
    LinkFactory,
    PeerLink,
    PeerTraffic,
    TunnelOpener,
    TunnelRequest,
    TunnelState,
)
from fireflyquay.membership import (
    Action,
    ChangeKind,
    Membership,
    MembershipSettings,
    Message,
    SendToAddress,
    SendToMember,
    rank_members,
)
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import (
    EntryVm,
    Incarnation,
    MemberState,
    VmListing,
)

from ._backend_paths import Carriers
from ._clock import AgeClock
from ._discovery import MembershipView
from ._quarantine import Quarantine
from ._replica_timing import PROBE_INTERVAL_SECONDS
from ._slot_client import Peers, SlotClient
from ._stream_locator import StreamLocator

LOG = logbook.Logger("fleet")

COORDINATOR_ROLE = "coordinator"
# Width of the strength buckets, in percent. VMs in the same bucket are equally eligible
# as coordinator.
STRENGTH_BUCKET_SIZE = 25
MEMBERSHIP_INTERVAL_SECONDS = 0.05
# Seconds without a message after which a probed coordinator counts as unresponsive.
UNRESPONSIVE_AFTER_SECONDS = 0.6
# Seconds for which an unresponsive VM isn't chosen as coordinator.
SKIP_UNRESPONSIVE_SECONDS = 1.0
# Seconds for which a lost VM still counts in the division of limits: it may be on the
# other side of a partition.
LOST_VM_MEMORY_SECONDS = 30.0
# Seconds for which VMs count that this VM expects at its start but doesn't know yet.
EXPECTED_VM_MEMORY_SECONDS = 8.0
# Seconds without a message after which a follower may be on the other side of a
# partition. Followers probe several times as often.
FOLLOWER_SILENT_SECONDS = 0.5
# Part of the fleet above which no other part can be larger.
HALF = 0.5
# Share of its part of the limits that a minority of the fleet grants.
MINORITY_SHARE = 0.5
# Number of VMs, next in rank, to which a coordinator tells what is left of limits: it
# grows with the client accounts, and those VMs take over first.
LEDGER_RECEIVER_COUNT = 4


class Fleet(Peers, MembershipView, Carriers):
    """Run the membership protocol, choose the coordinator and exchange messages."""

    def __init__(
        self,
        own: EntryVm,
        seeds: Sequence[VmListing],
        coordinator: Coordinator,
        slot_client: SlotClient,
        replica_sync: ReplicaSync,
        quarantine: Quarantine,
        stream_locator: StreamLocator,
        clock: AgeClock,
        is_ready: Callable[[], bool],
        are_replicas_old: Callable[[], bool],
        on_replicas_change: Callable[[], None],
        rng: random.Random,
        errors: UnexpectedErrors,
        make_link: LinkFactory = PeerLink,
    ) -> None:
        self._own = own
        self._errors = errors
        self._seeds = seeds
        self._coordinator = coordinator
        self._slot_client = slot_client
        self._replica_sync = replica_sync
        self._quarantine = quarantine
        self._stream_locator = stream_locator
        self._clock = clock
        self._is_ready = is_ready
        self._are_replicas_old = are_replicas_old
        self._on_replicas_change = on_replicas_change
        self._rng = rng
        self._membership = Membership(own, MembershipSettings(), rng)
        self._link = make_link(own.incarnation, ControlMessage, self._handle_message)
        self._disconnect_tasks: set[asyncio.Task[None]] = set()
        self._ranked_incarnations: tuple[Incarnation, ...] = ()
        self._ranking: tuple[Incarnation, ...] = (own.incarnation,)
        # Senders of probes and handovers, which the membership may not list yet.
        self._unlisted_vms: dict[Incarnation, EntryVm] = {}
        # Loop times until which unresponsive VMs are skipped.
        self._skipped_until: dict[Incarnation, float] = {}
        self._last_heard_at: dict[Incarnation, float] = {}
        self._first_probed_at: dict[Incarnation, float] = {}
        self._started_at = -math.inf
        # Loop times until which VMs count that aren't live, by peer address.
        self._missing_until: dict[tuple[str, int], float] = {}
        # Whether this VM ever lost another.
        self._has_lost_vms = False

    @property
    def is_coordinating(self) -> bool:
        """Return whether this VM acts as the coordinator."""
        return self.choose_coordinator() == self._own.incarnation

    @property
    def traffic(self) -> PeerTraffic:
        """Return the traffic counters of the link to other VMs."""
        return self._link.traffic

    @property
    def carried_count(self) -> int:
        """Return the number of tunnels that this VM carries for others."""
        return self._link.carrier.count

    def get_own_vm(self) -> EntryVm:
        """Return the description of this VM."""
        return self._own

    def use_guard(self, guard: ConnectionGuard) -> None:
        """Keep the account of what connections of other VMs hold."""
        self._link.guard = guard

    def carry_tunnels(self, opener: TunnelOpener | None) -> None:
        """Carry tunnels for other VMs with the given opener, or none any more."""
        self._link.carrier.opener = opener

    def list_carriers(self) -> list[EntryVm]:
        """Return the other VMs that accept requests."""
        own = self._own.incarnation
        return [vm for vm in self.list_entry_vms() if vm.incarnation != own]

    async def open_tunnel(
        self, vm: EntryVm, request: TunnelRequest
    ) -> tuple[TunnelState, Connection | None]:
        """Request a tunnel through another VM; raise OSError if it can't be reached."""
        return await self._link.open_tunnel(vm, request)

    async def start(self) -> None:
        """Listen for other VMs."""
        await self._link.start(self._own.host, self._own.peer_port)

    async def close(self) -> None:
        """Close all connections to other VMs."""
        await self._link.close()

    def leave(self) -> None:
        """Announce to other VMs that this one leaves."""
        now = asyncio.get_running_loop().time()
        self._send_actions(self._membership.leave(now))

    def list_entry_vms(self) -> list[EntryVm]:
        """Return the alive VMs, including this one, except those reported unready."""
        unready = self._replica_sync.unready
        return [
            record.vm
            for record in self._membership.live()
            if record.state is MemberState.ALIVE
            and record.vm.incarnation not in unready
        ]

    def list_short_of_memory(self) -> frozenset[Incarnation]:
        """Return the VMs whose memory is short, as far as this VM knows."""
        return self._replica_sync.list_short_of_memory(self.is_coordinating)

    def list_peer_addresses(self) -> set[tuple[str, int]]:
        """Return the peer addresses of the live VMs, including this one."""
        vms = [record.vm for record in self._membership.live()]
        return {(vm.host, vm.peer_port) for vm in vms}

    def list_served_addresses(self) -> set[tuple[str, int]]:
        """Return the addresses that live VMs listen on, including this one's."""
        vms = [record.vm for record in self._membership.live()]
        return {(vm.host, port) for vm in vms for port in (vm.http_port, vm.peer_port)}

    def send_join_requests(self, listings: Sequence[VmListing]) -> None:
        """Send join requests to registered VMs and seeds, which may no longer run."""
        now = asyncio.get_running_loop().time()
        addresses = {(it.host, it.peer_port) for it in listings}
        self._expect_vms(addresses, now)
        seeds = [it for it in self._seeds if (it.host, it.peer_port) not in addresses]
        self._send_actions(self._membership.update_listings(now, [*listings, *seeds]))

    def choose_coordinator(self) -> Incarnation:
        """Return the first VM of the ranking that isn't skipped as unresponsive."""
        incarnations = self._membership.live_incarnations()
        if incarnations is not self._ranked_incarnations:
            self._ranked_incarnations = incarnations
            ranking = rank_members(COORDINATOR_ROLE, incarnations)
            self._ranking = tuple(sorted(ranking, key=self._strength_key))
            self._update_share()
        now = asyncio.get_running_loop().time()
        for incarnation in self._ranking:
            if incarnation == self._own.incarnation or not self._is_skipped(
                incarnation, now
            ):
                return incarnation
        return self._own.incarnation

    def send(self, target: Incarnation, message: Message) -> None:
        """Send a message to a known VM; drop it if the VM is unknown."""
        record = self._membership.get(target)
        vm = self._unlisted_vms.get(target) if record is None else record.vm
        if vm is not None:
            self._link.send(vm, message)

    def list_others(self) -> Sequence[Incarnation]:
        """Return the other live VMs."""
        own = self._own.incarnation
        return [it for it in self._membership.live_incarnations() if it != own]

    def mark_unresponsive(self, target: Incarnation) -> None:
        """Exclude an unresponsive VM from the choice of coordinator for a while."""
        now = asyncio.get_running_loop().time()
        if not self._is_skipped(target, now):
            LOG.warning("VM silent", extra={"vm": target})
        self._skipped_until[target] = now + SKIP_UNRESPONSIVE_SECONDS
        self._first_probed_at.pop(target, None)

    async def run_membership(self) -> None:
        """Run the membership protocol until cancelled."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self._expect_vms({(it.host, it.peer_port) for it in self._seeds}, loop.time())
        self._send_actions(self._membership.update_listings(loop.time(), self._seeds))
        while True:
            self._send_actions(self._membership.process_timers(loop.time()))
            self._process_changes()
            await asyncio.sleep(MEMBERSHIP_INTERVAL_SECONDS)

    async def run_probes(self) -> None:
        """Probe other VMs for the age of their replicas until cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            self._probe(now)
            self._update_share()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    def _probe(self, now: float) -> None:
        coordinator = self.choose_coordinator()
        targets = set()
        if coordinator != self._own.incarnation:
            targets.add(coordinator)
            since = self._first_probed_at.setdefault(coordinator, now)
            last_heard_at = max(since, self._last_heard_at.get(coordinator, since))
            if now - last_heard_at > UNRESPONSIVE_AFTER_SECONDS:
                self.mark_unresponsive(coordinator)
        others = [it for it in self._ranking if it != self._own.incarnation]
        replica_sync, age_now = self._replica_sync, self._clock.read()
        if coordinator == self._own.incarnation:
            # The other VMs learn from their coordinator.
            targets |= set(replica_sync.choose_witnesses(others, self._rng, age_now))
        if others and self._are_replicas_old():
            targets.add(self._rng.choice(others))
            fresher = replica_sync.find_fresher_vm(age_now)
            if fresher is not None:
                targets.add(fresher)
        for target in targets:
            probe = replica_sync.make_probe(self._is_ready(), age_now)
            self.send(target, probe)

    def _strength_key(self, incarnation: Incarnation) -> int:
        """Return a sort key that puts stronger VMs first."""
        record = self._membership.get(incarnation)
        strength = 0 if record is None else record.vm.strength
        return -(strength // STRENGTH_BUCKET_SIZE)

    def _is_skipped(self, incarnation: Incarnation, now: float) -> bool:
        return now < self._skipped_until.get(incarnation, 0.0)

    def _handle_message(self, sender: Incarnation, message: Message) -> None:
        now = asyncio.get_running_loop().time()
        self._last_heard_at[sender] = now
        # Otherwise it would end the connection, and the messages behind it.
        with self._errors.contain("message", type=type(message).__name__, vm=sender):
            self._dispatch(sender, message, now)

    def _dispatch(self, sender: Incarnation, message: Message, now: float) -> None:
        if isinstance(message, Probe | Handover) and message.vm.incarnation == sender:
            self._unlisted_vms[sender] = message.vm
        if isinstance(message, MessageToCoordinator):
            follower_count = len(self._coordinator.followers)
            self._slot_client.handle_message_to_coordinator(sender, message)
            if len(self._coordinator.followers) != follower_count:
                self._update_share()
        elif isinstance(message, MessageToFollower):
            self._slot_client.handle_message_to_follower(sender, message)
        elif isinstance(message, ReplicaSyncMessage):
            responses, is_changed = self._replica_sync.handle_message(
                sender, message, self._clock.read()
            )
            for response in responses:
                self.send(sender, self._add_ledger(sender, response, now))
            if isinstance(message, ProbeResponse) and message.ledger is not None:
                self._coordinator.limits.adopt_ledger(message.ledger, now)
            if is_changed:
                self._on_replicas_change()
        elif isinstance(message, OriginRequest):
            self._stream_locator.handle_request(sender, message)
        elif isinstance(message, OriginResponse):
            self._stream_locator.handle_response(message)
        elif isinstance(message, CrashNews):
            self._quarantine.handle_news(message)
        else:
            self._send_actions(self._membership.receive(now, sender, message))

    def _add_ledger(
        self, sender: Incarnation, response: Message, now: float
    ) -> Message:
        """Add what is left of limits to the response to a likely successor's probe."""
        is_follower = sender in self._coordinator.followers
        is_successor = sender in self._ranking[: 1 + LEDGER_RECEIVER_COUNT]
        if not (is_follower and is_successor and isinstance(response, ProbeResponse)):
            return response
        return replace(response, ledger=self._coordinator.limits.make_ledger(now))

    def _send_actions(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToMember):
                self.send(action.target, action.message)
            elif isinstance(action, SendToAddress):
                self._link.send_to_address(
                    action.host, action.peer_port, action.message
                )

    def _process_changes(self) -> None:
        now = asyncio.get_running_loop().time()
        for incarnation, kind in self._membership.drain_changes():
            with self._errors.contain("change of the members", vm=incarnation):
                self._process_change(incarnation, kind, now)
        self._forget_missing_vms(now)

    def _process_change(
        self, incarnation: Incarnation, kind: ChangeKind, now: float
    ) -> None:
        record = self._membership.get(incarnation)
        if kind is ChangeKind.CHANGED or record is None:
            return
        LOG.info(
            "VM joined" if kind is ChangeKind.JOINED else "VM lost",
            extra={
                "vm": incarnation,
                "host": record.vm.host,
                "zone": record.vm.zone,
            },
        )
        if kind is ChangeKind.JOINED:
            self._quarantine.send_evidence(incarnation)
            self._on_replicas_change()
            return
        if not self._membership.has_ended(incarnation):
            address = record.vm.host, record.vm.peer_port
            self._missing_until[address] = now + LOST_VM_MEMORY_SECONDS
            self._has_lost_vms = True
        self._replica_sync.remove_vm(incarnation)
        self._last_heard_at.pop(incarnation, None)
        self._unlisted_vms.pop(incarnation, None)
        self._first_probed_at.pop(incarnation, None)
        self._skipped_until.pop(incarnation, None)
        self._disconnect(record.vm)
        self._slot_client.deliver_decisions(
            self._coordinator.remove_vm(incarnation, now)
        )

    def _disconnect(self, vm: EntryVm) -> None:
        task = asyncio.get_running_loop().create_task(self._link.disconnect(vm))
        self._disconnect_tasks.add(task)
        task.add_done_callback(self._disconnect_tasks.discard)

    def _update_share(self) -> None:
        """Set the shares of slots and of limits that the local coordinator grants.

        It grants all slots if at least half of the fleet, counting this VM, follows it;
        otherwise the part of the fleet that follows it.
        """
        live_count = max(1, len(self._ranking))
        follower_count = 1 + len(self._coordinator.followers)
        share = 1.0 if 2 * follower_count >= live_count else follower_count / live_count
        if share != self._coordinator.share:
            self._coordinator.set_share(share)
        now = asyncio.get_running_loop().time()
        # A VM that has joined since the last check would count twice.
        self._forget_missing_vms(now)
        heard_since = now - FOLLOWER_SILENT_SECONDS
        reached_count = 1 + sum(
            self._last_heard_at.get(it, -math.inf) >= heard_since
            for it in self._coordinator.followers
        )
        known_count = live_count + len(self._missing_until)
        part = min(1.0, reached_count / known_count)
        is_starting = now < self._started_at + EXPECTED_VM_MEMORY_SECONDS
        if is_starting and not self._has_lost_vms:
            # The others have probably started too, each with its part.
            share = part
        else:
            share = compute_limit_share(part)
        self._coordinator.set_limit_share(share)

    def _expect_vms(self, addresses: set[tuple[str, int]], now: float) -> None:
        """Count VMs that may run, although the membership does not list them yet."""
        until = self._started_at + EXPECTED_VM_MEMORY_SECONDS
        own = self._own.host, self._own.peer_port
        if now < until:
            for address in addresses - self.list_peer_addresses() - {own}:
                self._missing_until.setdefault(address, until)

    def _forget_missing_vms(self, now: float) -> None:
        """Forget missing VMs that are back, or that have been missing for long."""
        if not self._missing_until:
            return
        addresses = self.list_peer_addresses()
        self._missing_until = {
            address: until
            for address, until in self._missing_until.items()
            if address not in addresses and now < until
        }


def compute_limit_share(part: float) -> float:
    """Return the share of limits that a part of the fleet grants.

    The shares of all parts are 1 in sum at most. A minority grants half of its part, so
    that a majority grants nearly all: clients leave VMs that are cut off.
    """
    if part < HALF:
        return part * MINORITY_SHARE
    if part == HALF:
        return HALF
    return 1.0 - (1.0 - part) * MINORITY_SHARE
