"""Client of the coordinator, for acquiring and releasing slots."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import logbook
from msgspec.structs import replace

from fireflyquay.dispatch import (
    ActiveRun,
    ActiveRunsReport,
    BackendNews,
    BackendPause,
    Cancellation,
    Coordinator,
    Decision,
    Detach,
    FirstOutput,
    Grant,
    Handover,
    MachineReading,
    MessageToCoordinator,
    MessageToFollower,
    OriginResponse,
    Queued,
    Rejection,
    RunEnded,
    SlotRequest,
    UsageLog,
)
from fireflyquay.membership import Message
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    BackendServerId,
    EntryVm,
    Incarnation,
    ServiceId,
    ZoneId,
)

from ._dialect import ResponseMetadata

LOG = logbook.Logger("places")

ADVANCE_INTERVAL_SECONDS = 0.02
# Seconds to wait until a coordinator confirms a slot request. A round trip takes a few
# milliseconds, a retransmission 200; after this time a local decision costs less than
# waiting longer.
CONFIRM_TIMEOUT_SECONDS = 0.1
# Seconds between reports of active runs. A slot whose release message is lost is freed
# by the next report.
RUNS_REPORT_INTERVAL_SECONDS = 1.0
# Seconds without grants on a backend server that no VM reaches; one that restarts is
# back after seconds.
UNREACHABLE_PAUSE_SECONDS = 0.5


class RunResult(Enum):
    """Name what a run tells of the backend server's software."""

    UNKNOWN = "UNKNOWN"
    SOUND = "SOUND"
    # The response was an error, broken or too late by the server's own doing.
    FAULTY = "FAULTY"
    # The server's process ended.
    CRASHED = "CRASHED"
    # Nothing was sent, or the server declined the request.
    NOT_RUN = "NOT_RUN"


class Peers(ABC):
    """Send messages to other VMs and choose the coordinator."""

    @abstractmethod
    def choose_coordinator(self) -> Incarnation:
        """Return the VM to send slot requests to; this VM if there is no other."""

    @abstractmethod
    def get_own_vm(self) -> EntryVm:
        """Return the description of this VM."""

    @abstractmethod
    def send(self, target: Incarnation, message: Message) -> None:
        """Send a message to another VM."""

    @abstractmethod
    def list_others(self) -> Sequence[Incarnation]:
        """Return the other live VMs."""

    @abstractmethod
    def mark_unresponsive(self, target: Incarnation) -> None:
        """Exclude an unresponsive VM from the choice of coordinator for a while."""


@dataclass(slots=True)
class _PendingRequest:
    """Hold a slot request without a decision."""

    slot_request: SlotRequest
    # Loop time at which the request was last submitted; its relative times count from
    # then.
    submitted_at: float
    # VM that decides on the request.
    target: Incarnation
    # Loop time at which the request was last sent to the target.
    sent_at: float
    is_confirmed: bool
    future: asyncio.Future[Decision]


@dataclass(slots=True)
class _LocalRun:
    """Hold a granted request of this VM that occupies a slot."""

    slot_request: SlotRequest
    backend: BackendServerId
    granted_at: float
    # Other runs on the backend server at the grant.
    occupancy: int


class SlotClient:
    """Request slots from the coordinator; use the local one if there is no other.

    The local coordinator grants from a share of all slots. An unconfirmed request waits
    0.1 seconds at most for a coordinator that was killed, is frozen or can't be
    reached.
    """

    def __init__(
        self,
        own: Incarnation,
        coordinator: Coordinator,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._own = own
        self._errors = errors or UnexpectedErrors()
        # Decides if this VM is the coordinator or has no other.
        self._local_coordinator = coordinator
        self._peers: Peers | None = None
        # The VM to which slot requests are sent.
        self._coordinator_vm = own
        self._pending: dict[int, _PendingRequest] = {}
        self._runs: dict[int, _LocalRun] = {}
        # Number of origins of streams that were copied to other VMs.
        self._next_copy = 0
        self._usage = UsageLog(coordinator.limits.window_seconds)
        coordinator.machines.on_change = _log_machine_weight
        coordinator.zones.on_change = _log_zone_change

    def connect(self, peers: Peers) -> None:
        """Send messages through the given peers from now on."""
        self._peers = peers

    async def acquire(self, slot_request: SlotRequest) -> Decision:
        """Wait for the decision; a cancelled wait also cancels the slot request."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._follow_coordinator(now)
        future: asyncio.Future[Decision] = loop.create_future()
        pending = _PendingRequest(
            slot_request, now, self._coordinator_vm, now, False, future
        )
        self._pending[slot_request.number] = pending
        self._submit(pending, now)
        try:
            return await future
        except asyncio.CancelledError:
            self.cancel(slot_request)
            raise

    def record_first_output(
        self,
        slot_request: SlotRequest,
        backend: BackendEntry,
        reading: MachineReading | None = None,
    ) -> None:
        """Report the first output of a run to the coordinator."""
        number, version = slot_request.number, backend.version
        self._notify(FirstOutput(number, backend.id, version, reading))
        if slot_request.stream and self._peers is not None:
            with self._errors.contain("copy of an origin", id=slot_request.attempt_id):
                self._copy_origin(slot_request.stream, self._peers)

    def release(
        self,
        slot_request: SlotRequest,
        backend: BackendServerId,
        event_count: int = 0,
        longest_gap: float = 0.0,
        failed: bool = False,
        result: RunResult = RunResult.UNKNOWN,
        seconds: float | None = None,
        reading: MachineReading | None = None,
    ) -> None:
        """Report the end of a run, which frees its slot."""
        self._runs.pop(slot_request.number, None)
        number = slot_request.number
        self._notify(
            RunEnded(
                number,
                backend,
                event_count,
                longest_gap,
                failed,
                result is RunResult.SOUND,
                result is RunResult.FAULTY,
                result is RunResult.CRASHED,
                seconds,
                reading,
                result is not RunResult.NOT_RUN,
            )
        )

    def cancel(self, slot_request: SlotRequest) -> None:
        """Withdraw a slot request, or give back its slot if it was not used.

        Unlike ``release``, this tells nothing about the backend server.
        """
        self._pending.pop(slot_request.number, None)
        self._runs.pop(slot_request.number, None)
        self._notify(Cancellation(slot_request.number))

    def pause(
        self, backend: BackendServerId, seconds: float, may_restart: bool = False
    ) -> None:
        """Suspend grants on a backend server for the given number of seconds."""
        self._notify(BackendPause(backend, seconds, may_restart))

    def report_rejection(
        self, slot_request: SlotRequest, backend: BackendServerId, seconds: float
    ) -> None:
        """Report that no slot was free for a run; suspend grants for some seconds."""
        self._notify(
            BackendPause(backend, seconds, False, rejected=slot_request.number)
        )

    def rest(
        self, backend: BackendServerId, seconds: float, carrier: Incarnation
    ) -> None:
        """Send nothing to a backend server for some seconds, as it requested.

        If another VM carried the rejected request, it rests too.
        """
        self._notify(BackendPause(backend, seconds, False, self._own))
        if carrier and self._peers is not None:
            pause = BackendPause(backend, seconds, False, carrier)
            self._notify(pause)
            self._peers.send(carrier, pause)

    def is_resting(self, backend: BackendServerId) -> bool:
        """Return whether a backend server wants nothing from this VM at present."""
        now = asyncio.get_running_loop().time()
        return self._local_coordinator.is_resting(backend, self._own, now)

    def repeat_rests(self) -> None:
        """Tell the coordinator again from which backend servers this VM rests."""
        now = asyncio.get_running_loop().time()
        for rest in self._local_coordinator.list_rests(self._own, now):
            self._notify(rest)

    def pause_unreachable(self, backend: BackendServerId) -> None:
        """Suspend grants on a backend server that accepts no connections."""
        self.pause(backend, UNREACHABLE_PAUSE_SECONDS, True)

    def record_statements(
        self,
        backend: BackendEntry,
        metadata: ResponseMetadata,
        sent_at: float,
        rejected: SlotRequest | None = None,
    ) -> None:
        """Record what a response states, and the request that it rejects, if any.

        ``sent_at`` is the loop time at which the request was sent. All VMs learn of a
        change, since each of them may have to take over from the coordinator.
        """
        with self._errors.contain("statements of a response", backend=backend.id):
            self._spread_statements(backend, metadata, sent_at, rejected)

    def _spread_statements(
        self,
        backend: BackendEntry,
        metadata: ResponseMetadata,
        sent_at: float,
        rejected: SlotRequest | None,
    ) -> None:
        now = asyncio.get_running_loop().time()
        news = BackendNews(
            backend.id,
            backend.born_ms,
            metadata.request_limit,
            0.0,
            now - sent_at if metadata.proves_absence else None,
            metadata.max_rejections,
            None,
            self._describe_rejection(rejected, now),
            metadata.is_leaving,
        )
        coordinator = self._local_coordinator
        before = coordinator.get_limit_rate(backend.id, backend.born_ms)
        is_new = coordinator.merge_news(news, now)
        if is_new:
            after = coordinator.get_limit_rate(backend.id, backend.born_ms)
            self._log_change(news, before, after)
        if self._peers is None:
            return
        targets: Sequence[Incarnation] = ()
        states_limits = news.limit is not None or news.max_rejections is not None
        if is_new:
            targets = self._peers.list_others()
        elif states_limits and self._coordinator_vm != self._own:
            targets = (self._coordinator_vm,)
        for target in targets:
            self._peers.send(target, news)

    def _describe_rejection(
        self, rejected: SlotRequest | None, now: float
    ) -> tuple[Rejection, ...]:
        run = None if rejected is None else self._runs.get(rejected.number)
        if run is None:
            return ()
        return (Rejection(run.occupancy, 0.0, now - run.granted_at),)

    def _log_change(
        self, news: BackendNews, before: float | None, after: float | None
    ) -> None:
        belief = self._local_coordinator.beliefs.get(news.backend, news.born_ms)
        occupancy = None if belief is None else belief.occupancy_limit
        if before != after:
            LOG.info(
                "request limit changed",
                extra={
                    "backend": news.backend,
                    "stated": news.limit,
                    "before": _round_rate(before),
                    "after": _round_rate(after),
                },
            )
        if news.is_leaving:
            LOG.info("backend server leaves", extra={"backend": news.backend})
        if occupancy is not None:
            has_room = occupancy is not None and math.isfinite(occupancy.room)
            LOG.info(
                "occupancy limit changed",
                extra={
                    "backend": news.backend,
                    "max_rejections": news.max_rejections,
                    "room": occupancy.room if has_room else None,
                    "rejected_beside": [it.occupancy for it in news.rejections],
                },
            )

    def handle_message_to_follower(
        self, sender: Incarnation, message: MessageToFollower
    ) -> None:
        """Handle a decision or confirmation from a coordinator."""
        now = asyncio.get_running_loop().time()
        pending = self._pending.get(message.number)
        if isinstance(message, Queued):
            if pending is not None:
                pending.is_confirmed = True
            return
        if pending is None or pending.target != sender:
            if isinstance(message, Grant) and self._peers is not None:
                self._peers.send(sender, Cancellation(message.number, True))
            return
        if isinstance(message, Grant):
            # The local coordinator tracks all runs of this VM so that it can take over.
            self._local_coordinator.register_run(
                message.backend, pending.slot_request, now
            )
        self._resolve(message, now)

    def handle_message_to_coordinator(
        self, sender: Incarnation, message: MessageToCoordinator
    ) -> None:
        """Handle a message from a follower of this VM."""
        now = asyncio.get_running_loop().time()
        decisions = self._local_coordinator.handle_message(sender, message, now)
        self.deliver_decisions(decisions)
        if not isinstance(message, SlotRequest) or self._peers is None:
            return
        if not any(_is_decision_on(decision, message) for decision in decisions):
            self._peers.send(sender, Queued(message.number))

    def deliver_decisions(self, decisions: list[Decision]) -> None:
        """Deliver decisions of the local coordinator to the owners of the requests."""
        now = asyncio.get_running_loop().time()
        for decision in decisions:
            with self._errors.contain("delivery of a decision", vm=decision.owner):
                self._deliver(decision, now)

    def _deliver(self, decision: Decision, now: float) -> None:
        if decision.owner != self._own:
            if self._peers is not None:
                self._peers.send(decision.owner, decision)
            return
        pending = self._pending.get(decision.number)
        if pending is not None and pending.target == self._own:
            self._resolve(decision, now)
        elif isinstance(decision, Grant):
            cancellation = Cancellation(decision.number, True)
            self.deliver_decisions(
                self._local_coordinator.handle_message(self._own, cancellation, now)
            )

    def count_waiting(self) -> int:
        """Return the number of this VM's requests that wait for a slot."""
        return len(self._pending)

    def count_unknown_runs(self) -> int:
        """Return the slots that the coordinator believes to hold unknown runs."""
        now = asyncio.get_running_loop().time()
        return self._local_coordinator.count_unknown_runs(now)

    def get_most_held_tokens(self) -> int:
        """Return the most tokens that the known runs of a backend server hold."""
        return self._local_coordinator.get_most_held_tokens()

    def count_reduced_rooms(self) -> int:
        """Return the services whose room was learned to be less than stated."""
        now = asyncio.get_running_loop().time()
        return self._local_coordinator.count_reduced_rooms(now)

    async def report_active_runs(self) -> None:
        """Report this VM's active runs to the coordinator until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(RUNS_REPORT_INTERVAL_SECONDS)
            self._local_coordinator.origins.expire(loop.time())
            if self._coordinator_vm != self._own and self._peers is not None:
                self._peers.send(
                    self._coordinator_vm, ActiveRunsReport(self._list_runs(loop.time()))
                )

    async def advance_requests(self) -> None:
        """Follow the chosen coordinator and advance the local one until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_SECONDS)
            now = loop.time()
            with self._errors.contain("choice of the coordinator"):
                self._follow_coordinator(now)
                self._skip_unresponsive(now)
            with self._errors.contain("grants"):
                self.deliver_decisions(self._local_coordinator.advance(now))

    def _submit(self, pending: _PendingRequest, now: float) -> None:
        if pending.target == self._own:
            pending.is_confirmed = True
            self.deliver_decisions(
                self._local_coordinator.submit(pending.slot_request, now)
            )
        elif self._peers is not None:
            self._peers.send(pending.target, pending.slot_request)

    def _follow_coordinator(self, now: float) -> None:
        """Move runs and waiting requests to the current coordinator if it changed."""
        if self._peers is None:
            return
        target = self._peers.choose_coordinator()
        if target == self._coordinator_vm:
            return
        previous, self._coordinator_vm = self._coordinator_vm, target
        LOG.info(
            "coordinator changed",
            extra={
                "before": previous,
                "after": target,
                "held": len(self._runs),
                "waiting": len(self._pending),
            },
        )
        if previous != self._own:
            self._peers.send(previous, Detach())
        if target == self._own:
            granted = self._usage.list_granted(now)
            self._local_coordinator.start_coordinating(granted, now)
        if target != self._own:
            self._peers.send(target, self._make_handover(now))
        for pending in list(self._pending.values()):
            self._resubmit(pending, target, now)

    def _resubmit(
        self, pending: _PendingRequest, target: Incarnation, now: float
    ) -> None:
        if pending.target == self._own:
            cancellation = Cancellation(pending.slot_request.number)
            self.deliver_decisions(
                self._local_coordinator.handle_message(self._own, cancellation, now)
            )
        waited = now - pending.submitted_at
        pending.slot_request = replace(
            pending.slot_request,
            seconds_to_objective=pending.slot_request.seconds_to_objective - waited,
            seconds_to_give_up=pending.slot_request.seconds_to_give_up - waited,
            seconds_to_deadline=pending.slot_request.seconds_to_deadline - waited,
        )
        pending.submitted_at = pending.sent_at = now
        pending.target = target
        pending.is_confirmed = False
        self._submit(pending, now)

    def _skip_unresponsive(self, now: float) -> None:
        for pending in self._pending.values():
            elapsed = now - pending.sent_at
            limit = CONFIRM_TIMEOUT_SECONDS
            if pending.is_confirmed:
                limit += max(0.0, pending.slot_request.seconds_of_use)
            if elapsed > limit and pending.target != self._own:
                assert self._peers is not None
                self._peers.mark_unresponsive(pending.target)
                self._follow_coordinator(now)
                return

    def _copy_origin(self, stream: AttemptId, peers: Peers) -> None:
        """Send the origin of a stream to a VM that neither owns nor granted it.

        Otherwise the end of one VM could leave nobody who knows the origin.
        """
        origin = self._local_coordinator.origins.find(stream)
        others = [it for it in peers.list_others() if it != self._coordinator_vm]
        if origin is None or not others:
            return
        target = others[self._next_copy % len(others)]
        self._next_copy += 1
        peers.send(target, OriginResponse(stream, origin.service, origin.version))

    def _make_handover(self, now: float) -> Handover:
        assert self._peers is not None
        own = self._peers.get_own_vm()
        granted = self._usage.list_granted(now)
        return Handover(
            own,
            self._list_runs(now),
            self._usage.sum_recent(now),
            self._local_coordinator.beliefs.list_news(now),
            tuple(
                OriginResponse(stream, origin.service, origin.version)
                for stream, origin in self._local_coordinator.origins.list_owned(
                    self._own
                )
            ),
            (
                *self._local_coordinator.list_rests(self._own, now),
                *self._local_coordinator.list_doubts(now),
            ),
            self._local_coordinator.limits.make_history(granted, now),
        )

    def _list_runs(self, now: float) -> tuple[ActiveRun, ...]:
        return tuple(
            ActiveRun(run.slot_request, run.backend, now - run.granted_at)
            for run in self._runs.values()
        )

    def _resolve(self, decision: Decision, now: float) -> None:
        pending = self._pending.pop(decision.number)
        if isinstance(decision, Grant):
            slot_request = pending.slot_request
            self._runs[slot_request.number] = _LocalRun(
                slot_request, decision.backend, now, decision.occupancy
            )
            self._usage.record_grant(slot_request, pending.target, now)
        if not pending.future.done():
            pending.future.set_result(decision)

    def _notify(self, message: MessageToCoordinator) -> None:
        """Send a message to the local coordinator and to the one that is followed."""
        now = asyncio.get_running_loop().time()
        work = type(message).__name__
        with self._errors.contain(work):
            self.deliver_decisions(
                self._local_coordinator.handle_message(self._own, message, now)
            )
        if self._coordinator_vm != self._own and self._peers is not None:
            with self._errors.contain(work, vm=self._coordinator_vm):
                self._peers.send(self._coordinator_vm, message)


def _log_machine_weight(service: ServiceId, weight: float) -> None:
    LOG.info(
        "machine readings weighted",
        extra={"service": service, "weight": round(weight, 2)},
    )


def _log_zone_change(
    zone: ZoneId, service: ServiceId, rank: tuple[int, int], is_short: bool
) -> None:
    LOG.info(
        "zone is short of slots" if is_short else "zone has slots again",
        extra={"zone": zone, "service": service, "rank": rank},
    )


def _round_rate(rate: float | None) -> float | None:
    return None if rate is None else round(rate, 2)


def _is_decision_on(decision: Decision, slot_request: SlotRequest) -> bool:
    return (
        decision.owner == slot_request.owner and decision.number == slot_request.number
    )
