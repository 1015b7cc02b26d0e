"""Broker of a cell: grants the slots of backend servers to entry VMs."""

from __future__ import annotations

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.membership._message import Message
from fireflyquay.world import (
    BackendServer,
    BackendServerId,
    Code,
    Incarnation,
    PoolId,
    Tier,
)

from ._cell_forecast import CellForecast
from ._cell_grants import CellGrants
from ._cell_message import Deny, Held, Outcome, Permit, Release, Unwant, Want
from ._cell_settings import CellSettings
from ._fair_queue import FairQueue, Waiting
from ._lease import Lease, LeaseId
from ._recent import RecentEnds
from ._server_slots import ServerSlots
from ._speed import SpeedBook, SpeedState
from ._tier_gate import TierGate


class CellBroker:
    """Queue wants in strict tier order and answer with permits or denials.

    A holder answers a permit that it no longer wants with a Release of outcome
    UNUSED. It may ask again for the same attempt after that, or with the
    released backend server excluded; any other new want needs a new attempt.
    """

    def __init__(self, own: Incarnation, pool: PoolId, settings: CellSettings) -> None:
        self.own = own
        self.pool = pool
        self._settings = settings
        self._speeds = SpeedBook(settings)
        self._slots = ServerSlots(settings, self._speeds)
        self._queue = FairQueue(settings.queue_limit)
        self._forecast = CellForecast(self._slots, self._queue)
        self._ends = RecentEnds(settings.memory_seconds, settings.memory_limit)
        # Decides which tiers may be served now.
        self.gate = TierGate(settings.closing_hold)
        self._grants = CellGrants(self._queue, self._slots, self.gate)
        self._unheard: set[Incarnation] = set()
        self._grace_until = 0.0
        self._sequence = 0
        self._next_sweep = 0.0

    def queue_depths(self) -> dict[Tier, int]:
        """Count the wants that wait in each tier."""
        return self._queue.count_by_tier()

    def list_leases(self) -> list[Lease]:
        """List the slots in use."""
        return list(self._slots.leases.values())

    def get_speed_state(self, server: BackendServerId) -> SpeedState:
        """Return whether a backend server is ejected or on probe."""
        return self._speeds.get_state(server)

    def update_servers(self, now: float, servers: tuple[BackendServer, ...]) -> None:
        """Take over the registered backend servers of the pool."""
        own = tuple(server for server in servers if server.pool == self.pool)
        self._slots.update(now, own)

    def take_over(self, now: float, holders: tuple[Incarnation, ...]) -> None:
        """Grant nothing until all holders told what they run, or the grace is over."""
        self._unheard = set(holders)
        self._grace_until = now + self._settings.takeover_grace

    def list_unheard(self, now: float) -> list[Incarnation]:
        """List the entry VMs whose holds a new broker still waits for."""
        return sorted(self._unheard) if self._is_taking_over(now) else []

    def forget_holder(self, now: float, incarnation: Incarnation) -> list[Action]:
        """Drop a lost entry VM's wants; its slots come back after a bounded time."""
        self._unheard.discard(incarnation)
        for entry in self._queue:
            if entry.lease_id.holder == incarnation:
                self._queue.remove(entry)
        self._slots.orphan(now, incarnation)
        return self._grant(now)

    def receive(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        """Take one message of an entry VM."""
        match message:
            case Want():
                actions = self._take_want(now, sender, message)
            case Unwant():
                actions = self._take_unwant(now, sender, message)
            case Release():
                actions = self._take_release(now, sender, message)
            case Held():
                actions = self._take_held(now, sender, message)
            case _:
                return []
        return actions + self._grant(now)

    def advance(self, now: float) -> list[Action]:
        """Act on the time: expiries, deadlines, overdue leases, probes, grants."""
        actions: list[Action] = []
        if now >= self._next_sweep:
            self._next_sweep = now + self._settings.sweep_interval
            actions = self._sweep(now)
        return actions + self._grant(now)

    def _sweep(self, now: float) -> list[Action]:
        self._ends.expire(now)
        self._slots.expire(now)
        for lease, ratio in self._slots.find_overdue(now):
            self._speeds.note_overdue(now, lease.server, ratio)
        self._speeds.advance(now)
        return self._deny_hopeless(now)

    def _deny_hopeless(self, now: float) -> list[Action]:
        """Deny queued wants whose deadline even an idle server would miss."""
        actions: list[Action] = []
        for entry in self._queue:
            if entry.lease_id not in self._queue:
                continue
            servers = self._slots.list_eligible(entry.want)
            if not servers:
                actions += self._deny(now, entry, Code.NO_BACKEND_SERVER)
            elif self._forecast.is_hopeless(now, entry, servers):
                code = Code.DEADLINE_UNREACHABLE
                actions += self._deny_for_capacity(now, entry, code)
        return actions

    def _take_want(self, now: float, sender: Incarnation, want: Want) -> list[Action]:
        lease_id = LeaseId(sender, want.key, want.attempt)
        lease = self._slots.leases.get(lease_id)
        if lease is not None and lease.server in want.excluded:
            # The release of the earlier try is on its way or lost.
            self._slots.free(lease_id)
        elif lease is not None:
            return self._repeat_permit(now, lease)
        if lease_id in self._queue:
            return []
        ended = self._ends.get(now, lease_id)
        if ended is not None and ended.server not in want.excluded:
            return [Send(sender, ended.denial)] if ended.denial else []
        return self._enqueue(now, lease_id, want)

    def _repeat_permit(self, now: float, lease: Lease) -> list[Action]:
        if now >= lease.usable_until:
            if not self._slots.is_serving(lease.server):
                # The holder's next report frees the slot if it is unused.
                return []
            lease.usable_until = now + self._settings.permit_lifetime
        return [self._build_permit(lease, lease.usable_until - now)]

    def _enqueue(self, now: float, lease_id: LeaseId, want: Want) -> list[Action]:
        self._sequence += 1
        servers = self._slots.list_eligible(want)
        service = self._forecast.find_mean_service(want, servers)
        deadline = now + want.budget
        entry = Waiting(lease_id, want, self._sequence, now, deadline, service)
        self._queue.push(entry)
        refusal = self._find_refusal(now, want, servers)
        if refusal is not None:
            return self._deny(now, entry, refusal)
        actions: list[Action] = []
        if self._queue.is_over_limit:
            newest = self._queue.find_eviction()
            actions += self._deny_for_capacity(now, newest, Code.OVERLOADED)
        if lease_id not in self._queue or self._is_reachable(now, entry, servers):
            return actions
        return actions + self._deny_for_capacity(now, entry, Code.DEADLINE_UNREACHABLE)

    def _find_refusal(
        self, now: float, want: Want, servers: list[BackendServerId]
    ) -> Code | None:
        """Find a reason to refuse that has nothing to do with the queue."""
        if not servers:
            return Code.NO_BACKEND_SERVER
        if self._forecast.find_least_service(want, servers) >= want.budget:
            return Code.DEADLINE_UNREACHABLE
        if not self.gate.is_closed(now, want.tier):
            return None
        if want.tier < max(Tier):
            # It is shed by this, so the tiers below stay closed as long again.
            self.gate.close_below(now, want.tier)
        return Code.OVERLOADED

    def _is_reachable(
        self, now: float, entry: Waiting, servers: list[BackendServerId]
    ) -> bool:
        weight = self._settings.wait_weight
        return self._is_taking_over(now) or self._forecast.is_reachable(
            now, entry, servers, weight
        )

    def _deny_for_capacity(
        self, now: float, entry: Waiting, code: Code
    ) -> list[Action]:
        """Close all lower tiers, then deny."""
        tier = entry.want.tier
        actions: list[Action] = []
        if tier < max(Tier):
            self.gate.close_below(now, tier)
            for lower in self._queue.list_below(tier):
                actions += self._deny(now, lower, Code.OVERLOADED)
            if not self.gate.may_shed(tier):
                return actions
        return actions + self._deny(now, entry, code)

    def _deny(self, now: float, entry: Waiting, code: Code) -> list[Action]:
        self._queue.remove(entry)
        want = entry.want
        closing = self.gate.get_own(now)
        at_least = closing.until - now if closing else 0.0
        retry_after = self._forecast.find_retry_after(at_least)
        denial = Deny(want.pool, want.key, want.attempt, code, retry_after)
        self._ends.add(now, entry.lease_id, denial=denial)
        return [Send(entry.lease_id.holder, denial)]

    def _take_unwant(
        self, now: float, sender: Incarnation, unwant: Unwant
    ) -> list[Action]:
        lease_id = LeaseId(sender, unwant.key, unwant.attempt)
        self._queue.discard(lease_id)
        self._slots.free(lease_id)
        self._ends.add(now, lease_id)
        return []

    def _take_release(
        self, now: float, sender: Incarnation, release: Release
    ) -> list[Action]:
        lease_id = LeaseId(sender, release.key, release.attempt)
        lease = self._slots.leases.get(lease_id)
        if lease is None or lease.server != release.server:
            if release.outcome is not Outcome.UNUSED and lease_id not in self._queue:
                self._ends.add(now, lease_id, release.server)
            return []
        self._slots.free(lease_id)
        self._forecast.note_release(now)
        if release.outcome is Outcome.UNUSED:
            return []
        self._ends.add(now, lease_id, release.server)
        if release.outcome is Outcome.FINISHED:
            self._slots.learn_prefix(lease, release)
        self._learn_speed(now, lease, release)
        return []

    def _learn_speed(self, now: float, lease: Lease, release: Release) -> None:
        if not self._slots.knows(release.server):
            # A report brought the lease before the book brought the server.
            return
        before = self._speeds.get_state(release.server)
        self._speeds.observe(now, release, lease)
        after = self._speeds.get_state(release.server)
        if before is SpeedState.PROBING and after is SpeedState.NORMAL:
            self._slots.start_slowly(now, release.server)

    def _take_held(self, now: float, sender: Incarnation, held: Held) -> list[Action]:
        self._unheard.discard(sender)
        for hold in held.holds:
            # A want that its holder runs already was sent before that.
            self._queue.discard(LeaseId(sender, hold.key, hold.attempt))
        self._slots.adopt(now, sender, held.holds)
        return []

    def _is_taking_over(self, now: float) -> bool:
        return bool(self._unheard) and now < self._grace_until

    def _grant(self, now: float) -> list[Action]:
        if self._is_taking_over(now):
            return []
        actions: list[Action] = []
        for lease in self._grants.grant(now):
            self._ends.discard(lease.lease_id)
            actions.append(self._build_permit(lease, lease.usable_until - now))
        return actions

    def _build_permit(self, lease: Lease, lifetime: float) -> Send:
        _, key, attempt = lease.lease_id
        permit = Permit(self.pool, key, attempt, lease.server, lifetime)
        return Send(lease.lease_id.holder, permit)
