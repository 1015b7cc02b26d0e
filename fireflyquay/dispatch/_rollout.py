"""Phases and verdict of one service's roll-out.

Guards against a bad new version under the load of a whole service, and against a good
one that is held back beyond the time limit of its order.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    RolloutOrder,
    RolloutState,
    ServiceId,
    SoftwareVersion,
)

from ._exposure_budget import ExposureBudget, RolloutBounds, merge_parts, replace_part
from ._rollout_evidence import (
    MIN_SLOW_EXCESS,
    SWITCH_SLOW_EXCESS,
    Assessment,
    Finding,
    RolloutEvidence,
)
from ._rollout_messages import PartId, RolloutPhase, RolloutProgress

# Seconds without a reading of the record after which nothing more is granted to a
# version on trial, and the same as a share of the time for a rollback: another
# coordinator may have found it bad.
MAX_PROGRESS_AGE_SECONDS = 2.0
MAX_PROGRESS_AGE_SHARE = 0.4
# Seconds between readings, between writes that only publish counts, and between
# reservations.
REFRESH_SECONDS = 0.5
PUBLISH_SECONDS = 1.0
RESERVE_SECONDS = 0.2
# Seconds at the end of an order that are kept free for an outage of the store, and the
# same as a share of its time.
STORE_MARGIN_SECONDS = 8.0
STORE_MARGIN_SHARE = 0.2
# Seconds at the end of an order within which the last write is tried and repeated.
FINAL_MARGIN_SECONDS = 2.0
FINAL_MARGIN_SHARE = 0.1
# Seconds within which other coordinators learn of a switch, and their entry VMs' grants
# have arrived.
SETTLE_SECONDS = 1.5
# Time for the runs on old backend servers to end, as a multiple of the longest seen,
# and its bounds in seconds and as a share of the order's time.
DRAIN_FACTOR = 1.25
MIN_DRAIN_SECONDS = 2.0
MAX_DRAIN_SHARE = 0.4
# Responses of the target that suffice for a verdict of good, and those that suffice
# where no time is left.
ENOUGH_RESPONSES = 20
FEWEST_RESPONSES = 8
# Seconds before a switch whose responses must be sound, and the same as a share of the
# order's time.
FRESH_SECONDS = 3.0
FRESH_SHARE = 0.2
# Backend servers that the target is tried on, if it has as many.
TRIAL_SERVERS = 3
# Seconds after which another of them is filled first.
ROTATION_SECONDS = 3.0
# Slots that the target needs, as a multiple of the mean of the runs in the latest
# seconds.
CAPACITY_FACTOR = 1.1
LOAD_SECONDS = 10.0

MILLISECONDS_PER_SECOND = 1000.0
STATES = {
    RolloutPhase.TRIAL: RolloutState.ACTIVE,
    RolloutPhase.SWITCH: RolloutState.ACTIVE,
    RolloutPhase.COMPLETED: RolloutState.COMPLETED,
    RolloutPhase.ROLLED_BACK: RolloutState.ROLLED_BACK,
}
PHASE_ORDER = (RolloutPhase.NONE, RolloutPhase.TRIAL, RolloutPhase.SWITCH)


@dataclass(frozen=True, slots=True)
class ReadProgress:
    """Read the stored record of a roll-out."""

    service: ServiceId


@dataclass(frozen=True, slots=True)
class ReserveExposure:
    """Replace the stored record of a roll-out if its revision is the given one."""

    service: ServiceId
    progress: RolloutProgress
    revision: int


@dataclass(frozen=True, slots=True)
class WriteStatus:
    """Write the state of an order if its revision is still the known one."""

    service: ServiceId
    state: RolloutState
    order: RolloutOrder


RolloutAction = ReadProgress | ReserveExposure | WriteStatus


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Hold the backend servers of a service and the runs on them."""

    entries: Sequence[BackendEntry]
    # Those whose clients may still get a response.
    runs: dict[BackendServerId, int]


@dataclass(frozen=True, slots=True)
class _Base:
    """Hold what a write of the record replaces."""

    target: SoftwareVersion
    revision: int
    restore_count: int
    # Loop time at which it was read or written.
    sent_at: float


class Rollout:
    """Follow one order: bound its target's exposure, judge it, switch or roll back."""

    def __init__(
        self, part: PartId, bounds: RolloutBounds, order: RolloutOrder, now: float
    ) -> None:
        self.order = order
        self.is_withdrawn = False
        # Whether the order was withdrawn after its target had taken over.
        self.was_completed = False
        # Whether the target served before its order, and no other proven version does.
        self.is_established = False
        self.budget = ExposureBudget(part, bounds)
        self.evidence = RolloutEvidence(order.target)
        self.assessment = Assessment(Finding.SOUND)
        # Seconds of the longest run that ended on a server of another version.
        self.longest_run = 0.0
        # Cause of a wait, for operators; empty if it doesn't wait.
        self.waits_for = ""
        self._max_age = min(
            MAX_PROGRESS_AGE_SECONDS, MAX_PROGRESS_AGE_SHARE * bounds.rollback
        )
        self._seen_at = now
        # The record of this order as acknowledged; None if none is known.
        self.progress: RolloutProgress | None = None
        self._base: _Base | None = None
        self._orders_sent_at = -math.inf
        # Why this coordinator found the target bad; empty if it did not.
        self._fault = ""
        self._switched_at: float | None = None
        # Versions that served beside the target before its verdict.
        self._replaced: set[SoftwareVersion] = set()
        # Whether the target got the last grant.
        self._owes_others = False
        self._in_flight = False
        self._retry_at = -math.inf
        self._written_at = -math.inf
        # Runs at recent loop times.
        self._loads: deque[tuple[float, int]] = deque()

    @property
    def phase(self) -> RolloutPhase:
        """Return the phase, as acknowledged."""
        stated = self.order.state
        if self.order.stated_target == self.order.target:
            if stated is RolloutState.COMPLETED:
                return RolloutPhase.COMPLETED
            if stated is RolloutState.ROLLED_BACK:
                return RolloutPhase.ROLLED_BACK
        return RolloutPhase.NONE if self.progress is None else self.progress.phase

    @property
    def is_state_written(self) -> bool:
        """Return whether the order states the phase."""
        is_same = self.order.stated_target == self.order.target
        return is_same and self.order.state is STATES.get(self.phase)

    @property
    def belief(self) -> tuple[Finding, bool, bool]:
        """Return what is logged when it changes, without counts that often do."""
        return self.assessment.finding, bool(self.waits_for), self.is_stopped

    @property
    def is_stopped(self) -> bool:
        """Return whether the target gets nothing more."""
        return bool(self._fault) or self.phase is RolloutPhase.ROLLED_BACK

    def set_order(self, order: RolloutOrder, sent_at: float) -> None:
        """Follow the order as read by a call that was sent at a loop time."""
        self._orders_sent_at = max(self._orders_sent_at, sent_at)
        if order.revision >= self.order.revision or order.target == self.order.target:
            self.order = order

    def note_versions(self, versions: Collection[SoftwareVersion]) -> None:
        """Note which versions the target replaces; later ones have no order yet."""
        if not self.phase.is_final:
            self._replaced |= set(versions) - {self.order.target}

    def withdraw(self) -> None:
        """Follow that the operator has removed the order."""
        if not self.is_withdrawn:
            self.is_withdrawn = True
            self.was_completed = self.phase is RolloutPhase.COMPLETED

    @property
    def is_settled(self) -> bool:
        """Return whether nothing is left to write of a withdrawn order."""
        if not self.is_withdrawn:
            return False
        is_replaced = self._base is not None and self._base.target != self.order.target
        return (
            self.progress is None
            or self.progress.phase is RolloutPhase.WITHDRAWN
            or (self.was_completed and is_replaced)
        )

    def may_grant(self, version: SoftwareVersion, now: float, has_others: bool) -> bool:
        """Return whether a version may get new requests.

        ``has_others`` tells whether other versions serve that could take them.
        """
        if self.was_completed or (self.is_established and version == self.order.target):
            return True
        if version != self.order.target:
            is_later = self.phase.is_final and version not in self._replaced
            return not self._has_switched or not has_others or is_later
        if self.is_stopped:
            return False
        if self._has_switched:
            return True
        if self.is_withdrawn:
            return not has_others
        return self.phase is RolloutPhase.TRIAL and self._may_expose(now)

    @property
    def _has_switched(self) -> bool:
        """Return whether the target has taken over from the other versions."""
        has_verdict = self.phase in (RolloutPhase.SWITCH, RolloutPhase.COMPLETED)
        return has_verdict and not self.is_stopped and not self.is_withdrawn

    def record_grant(self, version: SoftwareVersion) -> None:
        """Charge a grant to the budget; at most every other one goes to the target."""
        self._owes_others = version == self.order.target
        if self._owes_others:
            self.budget.granted += 1

    def is_on_trial(self, version: SoftwareVersion) -> bool:
        """Return whether a version gets requests from the budget only."""
        is_target = version == self.order.target
        is_proven = self._has_switched or self.was_completed or self.is_established
        return is_target and not is_proven

    def rank_trial(self, backends: Collection[BackendServerId], now: float) -> list:
        """Return the target's backend servers, those to fill first at the front.

        One after another is filled, so that the budget loads few of them fully.
        """
        ordered = sorted(set(backends) - self.assessment.suspects)
        count = min(TRIAL_SERVERS, len(ordered))
        if not count:
            return []
        start = int(now / ROTATION_SECONDS) % count
        return ordered[start:count] + ordered[:start] + ordered[count:]

    def apply_progress(
        self,
        found: RolloutProgress,
        revision: int,
        restore_count: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Follow the stored record, as read or as acknowledged."""
        self._in_flight = False
        self._base = _Base(found.target, revision, restore_count, sent_at)
        is_own = found.target == self.order.target and not (
            found.phase is RolloutPhase.WITHDRAWN and not self.is_withdrawn
        )
        if not is_own or found.phase is RolloutPhase.NONE:
            return
        before, known = self.phase, self.progress
        if known is not None:
            phase = found.phase if _rank(found) >= _rank(known) else known.phase
            if known.phase.is_final and not self.is_withdrawn:
                phase = known.phase
            found = replace(
                found,
                phase=phase,
                parts=merge_parts(known, found),
                reason=found.reason if phase is found.phase else known.reason,
                started_ms=min(found.started_ms, known.started_ms),
            )
        if found.restore_count != restore_count and known is None:
            found = replace(found, has_lost_history=True)
        self.progress = found
        self.budget.adopt(found)
        self.evidence.adopt(
            part.evidence
            for part_id, part in found.parts.items()
            if part_id != self.budget.part
        )
        if self.phase is RolloutPhase.SWITCH and before is not RolloutPhase.SWITCH:
            self._switched_at = now

    def apply_status(self, order: RolloutOrder) -> None:
        """Follow the order as acknowledged with its new state."""
        self._in_flight = False
        self.order = order

    def apply_failure(self, now: float, retry_seconds: float) -> None:
        """Forget what a failed or refused call may have changed."""
        self._in_flight = False
        self._base = None
        self._retry_at = now + retry_seconds

    def plan(
        self, load: ServiceLoad, now: float, unix_ms: float
    ) -> RolloutAction | None:
        """Return the next call to the store, if any is due."""
        self._observe(load, now)
        if self._in_flight or now < self._retry_at:
            return None
        action = self._choose_action(load, now, unix_ms)
        self._in_flight = action is not None
        return action

    def _observe(self, load: ServiceLoad, now: float) -> None:
        running = sum(load.runs.values())
        self._loads.append((now, running))
        while now - self._loads[0][0] > LOAD_SECONDS:
            self._loads.popleft()
        target = [it for it in load.entries if it.version == self.order.target]
        slots = max((it.slots for it in target), default=1)
        self.budget.server_slots = slots
        if self.phase in (RolloutPhase.TRIAL, RolloutPhase.SWITCH):
            has_switched = self.phase is RolloutPhase.SWITCH
            slow_excess = SWITCH_SLOW_EXCESS if has_switched else MIN_SLOW_EXCESS
            self.assessment = self.evidence.assess(len(target), now, slow_excess)
            if self.assessment.finding is Finding.BAD:
                self._fault = self._fault or self.assessment.reason

    def _choose_action(
        self, load: ServiceLoad, now: float, unix_ms: float
    ) -> RolloutAction | None:
        service, base = self.order.service, self._base
        if self.phase.is_final and self.is_state_written and not self.is_withdrawn:
            return None
        if base is None:
            return ReadProgress(service)
        is_known = base.target == self.order.target
        if not is_known and base.target:
            if self._orders_sent_at <= base.sent_at:
                # Another VM may know a later order.
                return None
        elif now - base.sent_at > REFRESH_SECONDS:
            return ReadProgress(service)
        progress = self.progress
        if progress is None:
            if self.is_withdrawn:
                return None
            started = self._start(load, now, unix_ms, base)
            return None if started is None else self._write(started, base, now)
        if self.is_withdrawn:
            return self._forget(progress, base, now)
        if progress.phase.is_final or not self._is_active_stated:
            if not is_known:
                return self._write(progress, base, now)
            return WriteStatus(service, STATES[progress.phase], self.order)
        return self._advance(progress, base, load, now, unix_ms)

    def _forget(
        self, progress: RolloutProgress, base: _Base, now: float
    ) -> RolloutAction | None:
        """Return the write by which a later order of the same version starts anew."""
        if self.is_settled or base.target != self.order.target:
            return None
        if self.was_completed:
            return self._write(RolloutProgress(), base, now)
        reason = "the order is gone"
        withdrawn = replace(progress, phase=RolloutPhase.WITHDRAWN, reason=reason)
        return self._write(withdrawn, base, now)

    @property
    def _is_active_stated(self) -> bool:
        is_same = self.order.stated_target == self.order.target
        return is_same and self.order.state is RolloutState.ACTIVE

    def _start(
        self, load: ServiceLoad, now: float, unix_ms: float, base: _Base
    ) -> RolloutProgress | None:
        """Return the first record of the order; None while nothing serves."""
        if not load.entries:
            return None
        started_ms = unix_ms - (now - self._seen_at) * MILLISECONDS_PER_SECOND
        progress = RolloutProgress(
            self.order.target,
            RolloutPhase.TRIAL,
            max(0, int(started_ms)),
            has_lost_history=self._is_active_stated,
            restore_count=base.restore_count,
        )
        is_new = any(it.version != self.order.target for it in load.entries)
        if is_new or progress.has_lost_history:
            return progress
        reason = "no other version serves"
        return replace(progress, phase=RolloutPhase.COMPLETED, reason=reason)

    def _advance(
        self,
        progress: RolloutProgress,
        base: _Base,
        load: ServiceLoad,
        now: float,
        unix_ms: float,
    ) -> RolloutAction | None:
        deadline = self._compute_deadline(progress, now, unix_ms)
        phase, reason = self._decide(progress.phase, deadline, load, now)
        part = self.budget.make_part(progress, self.evidence.make_stored())
        current = replace_part(progress, self.budget.part, part)
        if phase is not progress.phase:
            return self._write(replace(current, phase=phase, reason=reason), base, now)
        since_write = now - self._written_at
        is_trial = phase is RolloutPhase.TRIAL and not self.is_stopped
        if is_trial and self.budget.part in current.parts:
            grown = self.budget.reserve(
                current, self._compute_trial_share(deadline, now)
            )
            is_due = self.budget.needs_block(now) and since_write >= RESERVE_SECONDS
            if is_due and grown.reserved > progress.reserved:
                return self._write(grown, base, now)
        is_changed = current != progress or base.target != self.order.target
        if is_changed and since_write >= PUBLISH_SECONDS:
            return self._write(current, base, now)
        return None

    def _compute_deadline(
        self, progress: RolloutProgress, now: float, unix_ms: float
    ) -> float:
        age = (unix_ms - progress.started_ms) / MILLISECONDS_PER_SECOND
        return min(self._seen_at, now - age) + self.order.duration_seconds

    @property
    def _fresh_seconds(self) -> float:
        return min(FRESH_SECONDS, FRESH_SHARE * self.order.duration_seconds)

    def _compute_end(self, deadline: float) -> float:
        """Return when the switch should be over."""
        duration = self.order.duration_seconds
        return deadline - min(STORE_MARGIN_SECONDS, STORE_MARGIN_SHARE * duration)

    def _compute_drain(self) -> float:
        """Return the seconds that the switch takes."""
        drain = max(MIN_DRAIN_SECONDS, DRAIN_FACTOR * self.longest_run)
        longest = MAX_DRAIN_SHARE * self.order.duration_seconds
        return min(drain + SETTLE_SECONDS, longest)

    def _compute_trial_share(self, deadline: float, now: float) -> float:
        """Return the share of the time before the final block that is over."""
        started_at = deadline - self.order.duration_seconds
        until = self._compute_end(deadline) - self._compute_drain()
        seconds = until - self._fresh_seconds - started_at
        return (now - started_at) / seconds if seconds > 0 else 1.0

    def _decide(
        self, phase: RolloutPhase, deadline: float, load: ServiceLoad, now: float
    ) -> tuple[RolloutPhase, str]:
        """Return the next phase and its cause; the present phase if it lasts."""
        if self._fault:
            return RolloutPhase.ROLLED_BACK, self._fault
        duration = self.order.duration_seconds
        end, drain = self._compute_end(deadline), self._compute_drain()
        last = deadline - min(FINAL_MARGIN_SECONDS, FINAL_MARGIN_SHARE * duration)
        if phase is RolloutPhase.SWITCH:
            switched_at = now if self._switched_at is None else self._switched_at
            return self._decide_end(switched_at + SETTLE_SECONDS, load, now)
        if now < end - drain:
            return phase, ""
        is_last = now >= end - MIN_DRAIN_SECONDS
        self.waits_for = self._find_obstacle(load, is_last, now)
        if not self.waits_for:
            return RolloutPhase.SWITCH, "the target is sound"
        if now >= last - MIN_DRAIN_SECONDS:
            return RolloutPhase.ROLLED_BACK, self.waits_for
        return phase, ""

    def _decide_end(
        self, settled_at: float, load: ServiceLoad, now: float
    ) -> tuple[RolloutPhase, str]:
        """Return COMPLETED once the runs on old backend servers have ended.

        Old servers stop at once then, so runs outlast the time of the order if need be.
        """
        old_runs = sum(
            load.runs.get(it.id, 0)
            for it in load.entries
            if it.version != self.order.target
        )
        if not old_runs and now >= settled_at:
            return RolloutPhase.COMPLETED, "all old runs have ended"
        return RolloutPhase.SWITCH, ""

    def _find_obstacle(self, load: ServiceLoad, is_last: bool, now: float) -> str:
        """Return why the switch can't start; empty if it can."""
        target = [it for it in load.entries if it.version == self.order.target]
        if not target:
            return "the target has no servers"
        found = self.assessment
        fewest = FEWEST_RESPONSES if is_last else ENOUGH_RESPONSES
        if found.responses < fewest:
            return f"{found.responses} responses are too few for a verdict"
        if found.finding is Finding.SUSPECT:
            sound = self.evidence.count_target(found.suspects).responses
            if sound < fewest:
                return f"{found.reason}, too few responses of others"
        if not is_last and found.backends < min(2, len(target)):
            return "only one server of the target was tried"
        fresh = self.evidence.count_fresh(now - self._fresh_seconds)
        if not is_last and fresh < FEWEST_RESPONSES:
            return f"{fresh} fresh responses are too few for a verdict"
        slots = sum(it.slots for it in target)
        old_slots = sum(
            it.slots for it in load.entries if it.version != self.order.target
        )
        runs = sum(count for _, count in self._loads) / len(self._loads)
        if slots < min(old_slots, CAPACITY_FACTOR * runs):
            return f"the target has {slots} slots for {runs:.1f} runs"
        return found.doubt

    def _may_expose(self, now: float) -> bool:
        base = self._base
        is_fresh = base is not None and now - base.sent_at <= self._max_age
        is_same = base is not None and base.target == self.order.target
        # Without responses of the other versions there is nothing to compare with.
        is_comparable = self.evidence.has_comparison and not self._owes_others
        may_expose = is_fresh and is_same and self._is_active_stated
        return may_expose and is_comparable and self.budget.may_spend

    def _write(
        self, progress: RolloutProgress, base: _Base, now: float
    ) -> ReserveExposure:
        self._written_at = now
        progress = replace(progress, restore_count=base.restore_count)
        return ReserveExposure(self.order.service, progress, base.revision)


def _rank(progress: RolloutProgress) -> int:
    if progress.phase in PHASE_ORDER:
        return PHASE_ORDER.index(progress.phase)
    return len(PHASE_ORDER)
