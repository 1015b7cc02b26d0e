"""Where requests in progress get their places."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

import logbook
from msgspec.structs import replace

from fireflyquay.dispatch import (
    HANDOVER_USAGE_SECONDS,
    ActiveRun,
    ActiveRunsReport,
    BackendPause,
    Cancellation,
    Coordinator,
    CoordinatorMessage,
    CrashReport,
    Decision,
    Detach,
    FirstOutput,
    FollowerMessage,
    Grant,
    Handover,
    Queued,
    RunEnded,
    SlotRequest,
)
from fireflyquay.membership import Message
from fireflyquay.world import (
    BackendServerId,
    ClientAccountId,
    EntryVm,
    Fingerprint,
    Incarnation,
)

LOG = logbook.Logger("places")

# Seconds between looks at waiting requests.
ADVANCE_SECONDS = 0.02
# Seconds in which a coordinator confirms an ask. The way there and back takes some
# milliseconds, a lost packet 200; beyond this, placing without it costs less.
CONFIRM_SECONDS = 0.1
# Seconds between reports of held places: a place whose end got lost is free after it.
HOLDING_SECONDS = 1.0


class Peers(ABC):
    """Send messages to other VMs and name the one that coordinates."""

    @abstractmethod
    def choose_coordinator(self) -> Incarnation:
        """Return the VM to turn to, the own one if there is no other."""

    @abstractmethod
    def describe_own(self) -> EntryVm:
        """Return the own VM."""

    @abstractmethod
    def send(self, target: Incarnation, message: Message) -> None:
        """Send a message to another VM."""

    @abstractmethod
    def distrust(self, target: Incarnation) -> None:
        """Turn to another VM for a while, for this one is silent."""


@dataclass(slots=True)
class _Pending:
    slot_request: SlotRequest
    asked_at: float
    target: Incarnation
    sent_at: float
    is_confirmed: bool
    future: asyncio.Future[Decision]


@dataclass(slots=True)
class _Held:
    slot_request: SlotRequest
    backend: BackendServerId
    granted_at: float


class SlotDesk:
    """Ask the coordinator for places; without one, decide here on a share.

    Answers a coordinator that is killed, frozen or cut off: a request waits for it for
    a tenth of a second at most.
    """

    def __init__(self, own: Incarnation, coordinator: Coordinator) -> None:
        self._own = own
        self._coordinator = coordinator
        self._peers: Peers | None = None
        self._target = own
        self._pending: dict[int, _Pending] = {}
        self._held: dict[int, _Held] = {}
        # When requests were granted, of whom and with how many quota tokens.
        self._usage: deque[tuple[float, ClientAccountId, float]] = deque()

    def connect(self, peers: Peers) -> None:
        """Use other VMs from now on."""
        self._peers = peers

    async def acquire(self, slot_request: SlotRequest) -> Decision:
        """Wait for the decision on an ask; a cancelled wait withdraws it."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._follow_coordinator(now)
        future: asyncio.Future[Decision] = loop.create_future()
        pending = _Pending(slot_request, now, self._target, now, False, future)
        self._pending[slot_request.number] = pending
        self._submit(pending, now)
        try:
            return await future
        except asyncio.CancelledError:
            self._drop(slot_request)
            raise

    def note_first_output(
        self, slot_request: SlotRequest, backend: BackendServerId
    ) -> None:
        """Tell that a run gives output."""
        self._tell(FirstOutput(slot_request.number, backend))

    def release(
        self,
        slot_request: SlotRequest,
        backend: BackendServerId,
        output_tokens: int = 0,
        longest_gap: float = 0.0,
        failed: bool = False,
    ) -> None:
        """End a run."""
        self._held.pop(slot_request.number, None)
        self._tell(
            RunEnded(slot_request.number, backend, output_tokens, longest_gap, failed)
        )

    def pause(self, backend: BackendServerId, seconds: float) -> None:
        """Leave a backend server alone for a while."""
        self._tell(BackendPause(backend, seconds))

    def note_crash(self, fingerprint: Fingerprint) -> None:
        """Tell that a request crashed a backend server."""
        self._tell(CrashReport(fingerprint))

    def handle_message(self, sender: Incarnation, message: FollowerMessage) -> None:
        """Take a coordinator's message."""
        now = asyncio.get_running_loop().time()
        pending = self._pending.get(message.number)
        if isinstance(message, Queued):
            if pending is not None:
                pending.is_confirmed = True
            return
        if pending is None or pending.target != sender:
            if isinstance(message, Grant) and self._peers is not None:
                self._peers.send(sender, Cancellation(message.number))
            return
        if isinstance(message, Grant):
            # The own coordinator knows all own runs, to take over at any moment.
            self._coordinator.register_run(message.backend, pending.slot_request, now)
        self._settle(message, now)

    def serve(self, sender: Incarnation, message: CoordinatorMessage) -> None:
        """Decide on another VM's message."""
        now = asyncio.get_running_loop().time()
        decisions = self._coordinator.handle_message(sender, message, now)
        self.hand_out(decisions)
        if not isinstance(message, SlotRequest) or self._peers is None:
            return
        if not any(_answers(decision, message) for decision in decisions):
            self._peers.send(sender, Queued(message.number))

    def hand_out(self, decisions: list[Decision]) -> None:
        """Bring decisions of the own coordinator to those who wait."""
        now = asyncio.get_running_loop().time()
        for decision in decisions:
            if decision.owner != self._own:
                if self._peers is not None:
                    self._peers.send(decision.owner, decision)
                continue
            pending = self._pending.get(decision.number)
            if pending is not None and pending.target == self._own:
                self._settle(decision, now)
            elif isinstance(decision, Grant):
                cancellation = Cancellation(decision.number)
                self.hand_out(
                    self._coordinator.handle_message(self._own, cancellation, now)
                )

    def count_waiting(self) -> int:
        """Return how many requests of this VM wait for a place."""
        return len(self._pending)

    async def report_holding(self) -> None:
        """Tell the coordinator again and again what is held until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HOLDING_SECONDS)
            if self._target != self._own and self._peers is not None:
                self._peers.send(
                    self._target, ActiveRunsReport(self._list_held(loop.time()))
                )

    async def tick(self) -> None:
        """Look at waiting requests until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ADVANCE_SECONDS)
            now = loop.time()
            self._follow_coordinator(now)
            self._turn_from_silent(now)
            self.hand_out(self._coordinator.advance(now))

    def _submit(self, pending: _Pending, now: float) -> None:
        if pending.target == self._own:
            pending.is_confirmed = True
            self.hand_out(self._coordinator.submit(pending.slot_request, now))
        elif self._peers is not None:
            self._peers.send(pending.target, pending.slot_request)

    def _follow_coordinator(self, now: float) -> None:
        """Turn to the VM that coordinates now, with all that is in progress."""
        if self._peers is None:
            return
        target = self._peers.choose_coordinator()
        if target == self._target:
            return
        before, self._target = self._target, target
        LOG.info(
            "coordinator changed",
            extra={
                "before": before,
                "after": target,
                "held": len(self._held),
                "waiting": len(self._pending),
            },
        )
        if before != self._own:
            self._peers.send(before, Detach())
        if target != self._own:
            self._peers.send(target, self._make_handover(now))
        for pending in list(self._pending.values()):
            self._resubmit(pending, target, now)

    def _resubmit(self, pending: _Pending, target: Incarnation, now: float) -> None:
        if pending.target == self._own:
            cancellation = Cancellation(pending.slot_request.number)
            self.hand_out(
                self._coordinator.handle_message(self._own, cancellation, now)
            )
        waited = now - pending.asked_at
        pending.slot_request = replace(
            pending.slot_request,
            to_objective=pending.slot_request.to_objective - waited,
            to_give_up=pending.slot_request.to_give_up - waited,
            to_end=pending.slot_request.to_end - waited,
        )
        pending.asked_at = pending.sent_at = now
        pending.target = target
        pending.is_confirmed = False
        self._submit(pending, now)

    def _turn_from_silent(self, now: float) -> None:
        for pending in self._pending.values():
            silence = now - pending.sent_at
            limit = CONFIRM_SECONDS
            if pending.is_confirmed:
                limit += max(0.0, pending.slot_request.to_give_up)
            if silence > limit and pending.target != self._own:
                assert self._peers is not None
                self._peers.distrust(pending.target)
                self._follow_coordinator(now)
                return

    def _make_handover(self, now: float) -> Handover:
        usage: dict[ClientAccountId, tuple[int, float]] = {}
        self._trim_usage(now)
        for _, account, tokens in self._usage:
            requests, sum_tokens = usage.get(account, (0, 0.0))
            usage[account] = (requests + 1, sum_tokens + tokens)
        crashes = tuple(self._coordinator.crashes.get_counts().items())
        assert self._peers is not None
        own = self._peers.describe_own()
        return Handover(
            own,
            self._list_held(now),
            tuple((account, *used) for account, used in usage.items()),
            crashes,
        )

    def _list_held(self, now: float) -> tuple[ActiveRun, ...]:
        return tuple(
            ActiveRun(held.slot_request, held.backend, now - held.granted_at)
            for held in self._held.values()
        )

    def _settle(self, decision: Decision, now: float) -> None:
        pending = self._pending.pop(decision.number)
        if isinstance(decision, Grant):
            slot_request = pending.slot_request
            self._held[slot_request.number] = _Held(slot_request, decision.backend, now)
            if not slot_request.is_retry and slot_request.account:
                self._usage.append(
                    (now, slot_request.account, slot_request.quota_tokens)
                )
                self._trim_usage(now)
        if not pending.future.done():
            pending.future.set_result(decision)

    def _trim_usage(self, now: float) -> None:
        while self._usage and self._usage[0][0] < now - HANDOVER_USAGE_SECONDS:
            self._usage.popleft()

    def _drop(self, slot_request: SlotRequest) -> None:
        self._pending.pop(slot_request.number, None)
        self._held.pop(slot_request.number, None)
        self._tell(Cancellation(slot_request.number))

    def _tell(self, message: CoordinatorMessage) -> None:
        """Tell the own coordinator, and the one that is turned to."""
        now = asyncio.get_running_loop().time()
        self.hand_out(self._coordinator.handle_message(self._own, message, now))
        if self._target != self._own and self._peers is not None:
            self._peers.send(self._target, message)


def _answers(decision: Decision, slot_request: SlotRequest) -> bool:
    return (
        decision.owner == slot_request.owner and decision.number == slot_request.number
    )
