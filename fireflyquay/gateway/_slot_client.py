"""Where requests in progress get their places."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

import logbook
from msgspec.structs import replace

from fireflyquay.dispatch import (
    USAGE_SECONDS,
    Ask,
    Coordinator,
    CoordinatorMessage,
    Crashed,
    Decision,
    Detach,
    Ended,
    FirstOutput,
    FollowerMessage,
    Grant,
    Handover,
    HeldRun,
    Holding,
    Pause,
    Queued,
    Withdrawal,
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
ADVANCE_INTERVAL_SECONDS = 0.02
# Seconds in which a coordinator confirms an ask. The way there and back takes some
# milliseconds, a lost packet 200; beyond this, placing without it costs less.
CONFIRM_TIMEOUT_SECONDS = 0.1
# Seconds between reports of held places: a place whose end got lost is free after it.
RUNS_REPORT_INTERVAL_SECONDS = 1.0


class Peers(ABC):
    """Send messages to other VMs and name the one that coordinates."""

    @abstractmethod
    def choose_coordinator(self) -> Incarnation:
        """Return the VM to turn to, the own one if there is no other."""

    @abstractmethod
    def get_own_vm(self) -> EntryVm:
        """Return the own VM."""

    @abstractmethod
    def send(self, target: Incarnation, message: Message) -> None:
        """Send a message to another VM."""

    @abstractmethod
    def mark_unresponsive(self, target: Incarnation) -> None:
        """Turn to another VM for a while, for this one is silent."""


@dataclass(slots=True)
class _PendingRequest:
    ask: Ask
    submitted_at: float
    target: Incarnation
    sent_at: float
    is_confirmed: bool
    future: asyncio.Future[Decision]


@dataclass(slots=True)
class _LocalRun:
    ask: Ask
    backend: BackendServerId
    granted_at: float


class SlotClient:
    """Ask the coordinator for places; without one, decide here on a share.

    Answers a coordinator that is killed, frozen or cut off: a request waits for it for
    a tenth of a second at most.
    """

    def __init__(self, own: Incarnation, coordinator: Coordinator) -> None:
        self._own = own
        self._coordinator = coordinator
        self._peers: Peers | None = None
        self._target = own
        self._pending: dict[int, _PendingRequest] = {}
        self._runs: dict[int, _LocalRun] = {}
        # When requests were granted, of whom and with how many quota tokens.
        self._usage: deque[tuple[float, ClientAccountId, float]] = deque()

    def connect(self, peers: Peers) -> None:
        """Use other VMs from now on."""
        self._peers = peers

    async def acquire(self, ask: Ask) -> Decision:
        """Wait for the decision on an ask; a cancelled wait withdraws it."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._follow_coordinator(now)
        future: asyncio.Future[Decision] = loop.create_future()
        pending = _PendingRequest(ask, now, self._target, now, False, future)
        self._pending[ask.number] = pending
        self._submit(pending, now)
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(ask)
            raise

    def record_first_output(self, ask: Ask, backend: BackendServerId) -> None:
        """Tell that a run gives output."""
        self._notify(FirstOutput(ask.number, backend))

    def release(
        self,
        ask: Ask,
        backend: BackendServerId,
        output_tokens: int = 0,
        longest_gap: float = 0.0,
        failed: bool = False,
    ) -> None:
        """End a run."""
        self._runs.pop(ask.number, None)
        self._notify(Ended(ask.number, backend, output_tokens, longest_gap, failed))

    def pause(self, backend: BackendServerId, seconds: float) -> None:
        """Leave a backend server alone for a while."""
        self._notify(Pause(backend, seconds))

    def report_crash(self, fingerprint: Fingerprint) -> None:
        """Tell that a request crashed a backend server."""
        self._notify(Crashed(fingerprint))

    def handle_follower_message(
        self, sender: Incarnation, message: FollowerMessage
    ) -> None:
        """Take a coordinator's message."""
        now = asyncio.get_running_loop().time()
        pending = self._pending.get(message.number)
        if isinstance(message, Queued):
            if pending is not None:
                pending.is_confirmed = True
            return
        if pending is None or pending.target != sender:
            if isinstance(message, Grant) and self._peers is not None:
                self._peers.send(sender, Withdrawal(message.number))
            return
        if isinstance(message, Grant):
            # The own coordinator knows all own runs, to take over at any moment.
            self._coordinator.adopt(message.backend, pending.ask, now)
        self._resolve(message, now)

    def handle_coordinator_message(
        self, sender: Incarnation, message: CoordinatorMessage
    ) -> None:
        """Decide on another VM's message."""
        now = asyncio.get_running_loop().time()
        decisions = self._coordinator.take(sender, message, now)
        self.deliver_decisions(decisions)
        if not isinstance(message, Ask) or self._peers is None:
            return
        if not any(_is_decision_on(decision, message) for decision in decisions):
            self._peers.send(sender, Queued(message.number))

    def deliver_decisions(self, decisions: list[Decision]) -> None:
        """Bring decisions of the own coordinator to those who wait."""
        now = asyncio.get_running_loop().time()
        for decision in decisions:
            if decision.owner != self._own:
                if self._peers is not None:
                    self._peers.send(decision.owner, decision)
                continue
            pending = self._pending.get(decision.number)
            if pending is not None and pending.target == self._own:
                self._resolve(decision, now)
            elif isinstance(decision, Grant):
                withdrawal = Withdrawal(decision.number)
                self.deliver_decisions(
                    self._coordinator.take(self._own, withdrawal, now)
                )

    def count_waiting(self) -> int:
        """Return how many requests of this VM wait for a place."""
        return len(self._pending)

    async def report_active_runs(self) -> None:
        """Tell the coordinator again and again what is held until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(RUNS_REPORT_INTERVAL_SECONDS)
            if self._target != self._own and self._peers is not None:
                self._peers.send(self._target, Holding(self._list_runs(loop.time())))

    async def advance_requests(self) -> None:
        """Look at waiting requests until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_SECONDS)
            now = loop.time()
            self._follow_coordinator(now)
            self._skip_unresponsive(now)
            self.deliver_decisions(self._coordinator.advance(now))

    def _submit(self, pending: _PendingRequest, now: float) -> None:
        if pending.target == self._own:
            pending.is_confirmed = True
            self.deliver_decisions(self._coordinator.ask(pending.ask, now))
        elif self._peers is not None:
            self._peers.send(pending.target, pending.ask)

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
                "held": len(self._runs),
                "waiting": len(self._pending),
            },
        )
        if before != self._own:
            self._peers.send(before, Detach())
        if target != self._own:
            self._peers.send(target, self._make_handover(now))
        for pending in list(self._pending.values()):
            self._resubmit(pending, target, now)

    def _resubmit(
        self, pending: _PendingRequest, target: Incarnation, now: float
    ) -> None:
        if pending.target == self._own:
            withdrawal = Withdrawal(pending.ask.number)
            self.deliver_decisions(self._coordinator.take(self._own, withdrawal, now))
        waited = now - pending.submitted_at
        pending.ask = replace(
            pending.ask,
            to_objective=pending.ask.to_objective - waited,
            to_give_up=pending.ask.to_give_up - waited,
            to_end=pending.ask.to_end - waited,
        )
        pending.submitted_at = pending.sent_at = now
        pending.target = target
        pending.is_confirmed = False
        self._submit(pending, now)

    def _skip_unresponsive(self, now: float) -> None:
        for pending in self._pending.values():
            silence = now - pending.sent_at
            limit = CONFIRM_TIMEOUT_SECONDS
            if pending.is_confirmed:
                limit += max(0.0, pending.ask.to_give_up)
            if silence > limit and pending.target != self._own:
                assert self._peers is not None
                self._peers.mark_unresponsive(pending.target)
                self._follow_coordinator(now)
                return

    def _make_handover(self, now: float) -> Handover:
        usage: dict[ClientAccountId, tuple[int, float]] = {}
        self._trim_usage(now)
        for _, account, tokens in self._usage:
            requests, sum_tokens = usage.get(account, (0, 0.0))
            usage[account] = (requests + 1, sum_tokens + tokens)
        crashes = tuple(self._coordinator.crashes.list_counts().items())
        assert self._peers is not None
        own = self._peers.get_own_vm()
        return Handover(
            own,
            self._list_runs(now),
            tuple((account, *used) for account, used in usage.items()),
            crashes,
        )

    def _list_runs(self, now: float) -> tuple[HeldRun, ...]:
        return tuple(
            HeldRun(run.ask, run.backend, now - run.granted_at)
            for run in self._runs.values()
        )

    def _resolve(self, decision: Decision, now: float) -> None:
        pending = self._pending.pop(decision.number)
        if isinstance(decision, Grant):
            ask = pending.ask
            self._runs[ask.number] = _LocalRun(ask, decision.backend, now)
            if not ask.is_repeat and ask.account:
                self._usage.append((now, ask.account, ask.quota_tokens))
                self._trim_usage(now)
        if not pending.future.done():
            pending.future.set_result(decision)

    def _trim_usage(self, now: float) -> None:
        while self._usage and self._usage[0][0] < now - USAGE_SECONDS:
            self._usage.popleft()

    def _cancel(self, ask: Ask) -> None:
        self._pending.pop(ask.number, None)
        self._runs.pop(ask.number, None)
        self._notify(Withdrawal(ask.number))

    def _notify(self, message: CoordinatorMessage) -> None:
        """Tell the own coordinator, and the one that is turned to."""
        now = asyncio.get_running_loop().time()
        self.deliver_decisions(self._coordinator.take(self._own, message, now))
        if self._target != self._own and self._peers is not None:
            self._peers.send(self._target, message)


def _is_decision_on(decision: Decision, ask: Ask) -> bool:
    return decision.owner == ask.owner and decision.number == ask.number
