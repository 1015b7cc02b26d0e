"""Roll-outs of all services, as the scheduler and the keeper of the store use them."""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    Incarnation,
    RolloutOrder,
    ServiceId,
    SoftwareVersion,
)

from ._backend_load import SlotRequestKey
from ._control_message import RunEnded
from ._exposure_budget import RolloutBounds
from ._rollout import Rollout, RolloutAction, ServiceLoad
from ._rollout_evidence import Response, TimeKind
from ._rollout_messages import PartId, RolloutPhase, RolloutProgress
from ._slot_messages import SlotRequest
from ._version_record import VersionKey

# Bounds of the events that wait to be logged, and of the runs that are followed.
MAX_EVENTS = 100
MAX_RUNS = 100_000
# Part of the occupied slots from which a backend server counts as busy.
BUSY_SHARE = 0.5
# Longest time limit of an order in seconds.
MAX_DURATION_SECONDS = 86_400.0
# Phases of an order in which its target is not proven.
UNPROVEN_PHASES = (
    RolloutPhase.TRIAL,
    RolloutPhase.ROLLED_BACK,
    RolloutPhase.WITHDRAWN,
)
# Events of a stream from which its seconds per event are judged.
MIN_EVENTS = 3


@dataclass(frozen=True, slots=True)
class RolloutEvent:
    """Describe a decision or a change of belief, for the log."""

    name: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class RolloutView:
    """Describe a roll-out for operators."""

    service: ServiceId
    target: SoftwareVersion
    phase: RolloutPhase
    # Requests that reached the service, that may be granted to the target, and that
    # this coordinator granted to it.
    seen: int
    reserved: int
    granted: int
    responses: int
    failures: int
    slow: int


@dataclass(slots=True)
class _FollowedRun:
    """Hold a run that this coordinator granted during a roll-out."""

    rollout: Rollout
    response: Response
    is_retry: bool
    granted_at: float
    first_output_at: float | None = None
    is_counted: bool = False


class Rollouts:
    """Hold back versions that operators have ordered, until they are proven.

    Without bounds there are no roll-outs, and all versions may be granted.
    """

    def __init__(self, own: Incarnation, bounds: RolloutBounds | None = None) -> None:
        self._own = own
        self._bounds = bounds
        self._rollouts: dict[ServiceId, Rollout] = {}
        self._entries: dict[ServiceId, list[BackendEntry]] = {}
        self._versions: dict[ServiceId, set[SoftwareVersion]] = {}
        # Versions whose orders are known, by a read sent after they registered.
        self._cleared: frozenset[VersionKey] = frozenset()
        # Targets of replaced orders, which no verdict has proven.
        self._held: set[VersionKey] = set()
        self._has_read_orders = False
        # A new part for each order: what an earlier one reserved may be spent.
        self._part_numbers = itertools.count(1)
        self._runs: dict[SlotRequestKey, _FollowedRun] = {}
        self._events: deque[RolloutEvent] = deque(maxlen=MAX_EVENTS)
        self._odd: set[tuple[ServiceId, int]] = set()
        # Milliseconds from the loop's time to the epoch.
        self._unix_offset_ms = 0.0

    @property
    def is_enabled(self) -> bool:
        """Return whether orders are followed."""
        return self._bounds is not None

    @property
    def has_unknown_versions(self) -> bool:
        """Return whether a version waits for a read of the orders."""
        return self.is_enabled and not self._list_versions() <= self._cleared

    def set_backends(self, entries: Iterable[BackendEntry]) -> None:
        """Replace the backend servers that accept requests."""
        if not self.is_enabled:
            return
        self._entries, self._versions = {}, {}
        for entry in entries:
            self._entries.setdefault(entry.service, []).append(entry)
            self._versions.setdefault(entry.service, set()).add(entry.version)
        for service, rollout in self._rollouts.items():
            rollout.note_versions(self._versions.get(service, ()))
        versions = self._list_versions()
        self._cleared &= versions
        self._held &= versions

    def begin_read(self) -> frozenset[VersionKey]:
        """Return what a read of the orders that is sent now will clear."""
        return self._list_versions()

    def apply_orders(
        self,
        orders: Iterable[RolloutOrder],
        clears: frozenset[VersionKey],
        sent_at: float,
        now: float,
        unix_ms: float,
    ) -> None:
        """Follow the orders as read by a call that was sent at a loop time."""
        assert self._bounds is not None
        self._unix_offset_ms = unix_ms - now * 1000.0
        found: set[ServiceId] = set()
        for order in orders:
            if not self._is_plain(order):
                continue
            found.add(order.service)
            known = self._rollouts.get(order.service)
            if (
                known is None
                or known.is_withdrawn
                or known.order.target != (order.target)
            ):
                if known is not None:
                    self._hold_replaced(known)
                part = PartId(f"{self._own}/{next(self._part_numbers)}")
                known = Rollout(part, self._bounds, order, now)
                self._rollouts[order.service] = known
                self._held.discard((order.service, order.target))
                known.is_established = self._is_established(order)
                self._report("roll-out ordered", known)
            known.set_order(order, sent_at)
            known.note_versions(self._versions.get(order.service, ()))
        for service, rollout in list(self._rollouts.items()):
            if service not in found:
                self._withdraw(service, rollout)
        self._cleared |= clears & self._list_versions()
        self._has_read_orders = True

    def apply_progress(
        self,
        service: ServiceId,
        progress: RolloutProgress,
        revision: int,
        restore_count: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Follow the stored record, as read or as acknowledged."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        if (
            progress.target != rollout.order.target
            and progress.phase in UNPROVEN_PHASES
        ):
            # Its servers may still run.
            self._held |= {(service, progress.target)} & self._list_versions()
        before = rollout.phase
        rollout.apply_progress(progress, revision, restore_count, sent_at, now)
        if rollout.phase is not before:
            self._report("roll-out phase", rollout)

    def apply_status(self, order: RolloutOrder) -> None:
        """Follow an order as acknowledged with its new state."""
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order.target != order.target:
            return
        rollout.apply_status(order)
        self._report("roll-out state written", rollout)

    def apply_failure(
        self, service: ServiceId, now: float, retry_seconds: float
    ) -> None:
        """Forget what a failed or refused call may have changed."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.apply_failure(now, retry_seconds)

    def may_grant(self, entry: BackendEntry, now: float) -> bool:
        """Return whether a backend server may get new requests."""
        if not self.is_enabled:
            return True
        key = (entry.service, entry.version)
        has_others = len(self._versions.get(entry.service, ())) > 1
        if key not in self._cleared:
            # Before the first read of all, a service's only version has no rival.
            return not self._has_read_orders and not has_others
        if key in self._held and has_others:
            return False
        rollout = self._rollouts.get(entry.service)
        return rollout is None or rollout.may_grant(entry.version, now, has_others)

    def may_continue(self, entry: BackendEntry, now: float) -> bool:
        """Return whether streams that began at a version may continue there."""
        if self.may_grant(entry, now):
            return True
        rollout = self._rollouts.get(entry.service)
        if rollout is None or (entry.service, entry.version) not in self._cleared:
            return False
        is_old = entry.version != rollout.order.target
        return is_old and rollout.phase is RolloutPhase.SWITCH

    def has_rollout(self, service: ServiceId) -> bool:
        """Return whether versions of a service are told apart."""
        return service in self._rollouts

    def is_on_trial(self, entry: BackendEntry) -> bool:
        """Return whether a backend server gets requests from a budget only."""
        rollout = self._rollouts.get(entry.service)
        return rollout is not None and rollout.is_on_trial(entry.version)

    def rank_trial(
        self, service: ServiceId, backends: Collection[BackendServerId], now: float
    ) -> Sequence[BackendServerId]:
        """Return the backend servers on trial, those to fill first at the front."""
        rollout = self._rollouts.get(service)
        return () if rollout is None else rollout.rank_trial(backends, now)

    def record_grant(
        self, entry: BackendEntry, request: SlotRequest, occupancy: int, now: float
    ) -> None:
        """Charge a grant to the budget, and follow its run."""
        rollout = self._rollouts.get(entry.service)
        if rollout is None:
            return
        rollout.record_grant(entry.version)
        if len(self._runs) >= MAX_RUNS:
            del self._runs[next(iter(self._runs))]
        self._runs[request.owner, request.number] = _FollowedRun(
            rollout,
            Response(
                entry.version,
                request.route,
                entry.id,
                occupancy >= BUSY_SHARE * entry.slots,
            ),
            request.is_retry,
            now,
        )

    def record_first_output(self, key: SlotRequestKey, now: float) -> None:
        """Record the first output of a run."""
        run = self._runs.get(key)
        if run is None or run.first_output_at is not None:
            return
        run.first_output_at = now
        self._count(run, now)
        seconds = now - run.granted_at
        run.rollout.evidence.record_time(
            run.response, TimeKind.FIRST_OUTPUT, seconds, now
        )

    def record_end(self, key: SlotRequestKey, ended: RunEnded, now: float) -> None:
        """Record the end of a run, as far as it tells of the backend server."""
        run = self._runs.pop(key, None)
        if run is None:
            return
        evidence, response = run.rollout.evidence, run.response
        if not (ended.is_sound or ended.is_faulty or ended.has_crashed):
            return
        self._count(run, now)
        if ended.has_crashed:
            evidence.record_crash(response, now)
        elif ended.is_faulty:
            evidence.record_end(response, True, now)
        else:
            self._record_sound(run, ended, now)
            evidence.record_end(response, False, now)

    def discard(self, key: SlotRequestKey) -> None:
        """Forget a run whose end tells nothing."""
        self._runs.pop(key, None)

    def plan(
        self,
        now: float,
        count_runs: Callable[[ServiceId, float], dict[BackendServerId, int]],
    ) -> list[RolloutAction]:
        """Return the calls to the store that are due, at most one for each service."""
        unix_ms = now * 1000.0 + self._unix_offset_ms
        actions = []
        for service, rollout in list(self._rollouts.items()):
            entries = [
                it
                for it in self._entries.get(service, ())
                if (service, it.version) not in self._held
            ]
            has_target = any(it.version == rollout.order.target for it in entries)
            if rollout.is_settled and (rollout.was_completed or not has_target):
                del self._rollouts[service]
                continue
            load = ServiceLoad(entries, count_runs(service, now))
            before = rollout.belief
            action = rollout.plan(load, now, unix_ms)
            if rollout.belief != before:
                self._report("roll-out evidence", rollout)
            if action is not None:
                actions.append(action)
        return actions

    def drain_events(self) -> list[RolloutEvent]:
        """Return what happened since the last call."""
        events = list(self._events)
        self._events.clear()
        return events

    def list_views(self) -> list[RolloutView]:
        """Return the roll-outs for operators."""
        return [_make_view(it) for it in self._rollouts.values()]

    def _count(self, run: _FollowedRun, now: float) -> None:
        if run.is_counted:
            return
        run.is_counted = True
        run.rollout.evidence.record_begin(run.response, now)
        if not run.is_retry:
            run.rollout.budget.seen += 1

    def _record_sound(self, run: _FollowedRun, ended: RunEnded, now: float) -> None:
        rollout = run.rollout
        if run.response.version != rollout.order.target:
            rollout.longest_run = max(rollout.longest_run, now - run.granted_at)
        kind, seconds = TimeKind.FIRST_OUTPUT, ended.seconds or now - run.granted_at
        if run.first_output_at is not None:
            if ended.event_count < MIN_EVENTS:
                return
            kind = TimeKind.EVENT
            seconds = (now - run.first_output_at) / (ended.event_count - 1)
        rollout.evidence.record_time(run.response, kind, seconds, now)

    def _list_versions(self) -> frozenset[VersionKey]:
        return frozenset(
            (service, version)
            for service, versions in self._versions.items()
            for version in versions
        )

    def _is_plain(self, order: RolloutOrder) -> bool:
        """Return whether an order can be followed; report others once."""
        is_plain = bool(order.service and order.target) and (
            math.isfinite(order.duration_seconds)
            and 0 < order.duration_seconds <= MAX_DURATION_SECONDS
        )
        key = (order.service, order.revision)
        if not is_plain and key not in self._odd:
            if len(self._odd) >= MAX_EVENTS:
                self._odd.clear()
            self._odd.add(key)
            fields = {"service": order.service, "revision": order.revision}
            self._events.append(RolloutEvent("roll-out unreadable", fields))
        return is_plain

    def _is_established(self, order: RolloutOrder) -> bool:
        """Return whether an order names the only version in use that is not held."""
        service = order.service
        keys = {it for it in self._cleared if it[0] == service} - self._held
        return bool(self._held) and keys == {(service, order.target)}

    def _hold_replaced(self, rollout: Rollout) -> None:
        order = rollout.order
        if rollout.phase is not RolloutPhase.COMPLETED:
            self._held.add((order.service, order.target))

    def _withdraw(self, service: ServiceId, rollout: Rollout) -> None:
        if not rollout.is_withdrawn:
            rollout.withdraw()
            self._report("roll-out withdrawn", rollout)

    def _report(self, name: str, rollout: Rollout) -> None:
        view = _make_view(rollout)
        progress = rollout.progress
        self._events.append(
            RolloutEvent(
                name,
                {
                    "service": view.service,
                    "target": view.target,
                    "phase": view.phase.value,
                    "finding": rollout.assessment.finding.value,
                    "cause": rollout.assessment.reason,
                    "reason": "" if progress is None else progress.reason,
                    "waits_for": rollout.waits_for,
                    "seen": view.seen,
                    "reserved": view.reserved,
                    "responses": view.responses,
                    "failures": view.failures,
                    "slow": view.slow,
                },
            )
        )


def _make_view(rollout: Rollout) -> RolloutView:
    progress = rollout.progress or RolloutProgress()
    tally = rollout.evidence.count_target()
    return RolloutView(
        rollout.order.service,
        rollout.order.target,
        rollout.phase,
        progress.seen,
        progress.reserved,
        rollout.budget.granted,
        tally.responses,
        tally.failures,
        tally.slow,
    )
