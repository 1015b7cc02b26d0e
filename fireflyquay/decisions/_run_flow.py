"""The flow of a run: permit, leave, dispatch, resume, retry and its end."""

from __future__ import annotations

from collections.abc import Callable

from fireflyquay.membership import (
    Action,
)
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendServerId,
    Code,
    ExchangeId,
    Step,
    Verdict,
)

from ._action import (
    Cancel,
    Dispatch,
    Resume,
)
from ._admitter import Admitter
from ._arbiter_set import ArbiterSet
from ._cell_message import Deny, Outcome, Permit
from ._closer import ASK_AGAIN_S, GIVE_UP_S, Closer
from ._exchange import Exchange, ExchangeState, FailureKind, Refusal, RunReport
from ._exchange_table import ExchangeTable
from ._ledger import KeyState, Ledger
from ._permit_client import PermitClient, RunCost
from ._quarantine import Quarantine
from ._recorder import Recorder
from ._retry_budget import RetryBudget, RetryDecision

MAX_RESUMES = 3
CALLER_GRACE_S = 10.0
SUSPECT_RETRY_AFTER_S = 5.0

FindBackend = Callable[[BackendServerId], BackendServer | None]

DENIAL_SENTENCES = {
    Code.OVERLOADED: "Backend servers are busy with more urgent work.",
    Code.DEADLINE_UNREACHABLE: "The answer can't be ready within the deadline.",
    Code.NO_BACKEND_SERVER: "No backend server serves this kind of work.",
}


class RunFlow:
    """Take an owned request through its runs to its end."""

    def __init__(
        self,
        ledger: Ledger,
        exchanges: ExchangeTable,
        arbiters: ArbiterSet,
        recorder: Recorder,
        closer: Closer,
        admitter: Admitter,
        permits: PermitClient,
        quarantine: Quarantine,
        retries: RetryBudget,
        find_backend: FindBackend,
    ) -> None:
        self._ledger = ledger
        self._exchanges = exchanges
        self._arbiters = arbiters
        self._recorder = recorder
        self._closer = closer
        self._admitter = admitter
        self._permits = permits
        self._quarantine = quarantine
        self._retries = retries
        self._find_backend = find_backend

    def queue(self, now: float, exchange: Exchange) -> list[Action]:
        """Ask the pool's broker for a permit."""
        request = exchange.request
        exchange.state = ExchangeState.QUEUED
        exchange.backend = None
        self._set_key_state(exchange, KeyState.HELD)
        share = self._admitter.read_share(exchange)
        wants = self._permits.want(now, request, share, exchange.excluded)
        record = self._recorder.record(
            now, request, Step.QUEUED, target=request.kind.pool
        )
        return [record, *wants]

    def receive_permit(self, now: float, permit: Permit) -> list[Action]:
        """Ask for leave to dispatch where the permit says."""
        exchange = self._exchanges.find_key(permit.key, permit.attempt)
        if exchange is None or exchange.state is not ExchangeState.QUEUED:
            return self._return_late_permit(exchange, permit)
        request = exchange.request
        self._permits.take_permit(permit, request)
        backend = self._find_backend(permit.server)
        if backend is None or not backend.takes_work:
            # The broker may not know yet; it would grant the same server again.
            exchange.excluded += (permit.server,)
            released = self._release(exchange, permit.server, Outcome.UNUSED)
            return released + self.queue(now, exchange)
        if not self._quarantine.may_start(now, request.fingerprint, permit.server):
            return self._refuse_suspect(now, exchange, permit)
        exchange.backend = backend
        exchange.permit_until = now + permit.lifetime
        record = self._recorder.record(now, request, Step.GRANTED, target=permit.server)
        exchange.state = ExchangeState.CLAIMING
        if exchange.is_free_to_run:
            return [record, *self.dispatch(now, exchange)]
        exchange.ask_again_at = now + ASK_AGAIN_S
        exchange.give_up_at = now + GIVE_UP_S
        exchange.has_claimed = True
        arbiter = self._arbiters.choose(exchange)
        return [record, *arbiter.claim(now, exchange, permit.server)]

    def receive_denial(self, now: float, denial: Deny) -> list[Action]:
        """Refuse a request that the broker won't serve in time."""
        exchange = self._exchanges.find_key(denial.key, denial.attempt)
        if exchange is None or exchange.state is not ExchangeState.QUEUED:
            return []
        self._permits.take_denial(exchange.request)
        code = Code(denial.code)
        sentence = DENIAL_SENTENCES.get(code, "The broker refused the request.")
        refusal = Refusal(code, sentence, denial.retry_after)
        return self._closer.refuse(now, exchange, refusal)

    def dispatch(self, now: float, exchange: Exchange) -> list[Action]:
        """Start the request on its backend server."""
        if exchange.backend is None:
            return []
        backend = self._find_backend(exchange.backend.server)
        # The backend server may have been marked as leaving since the permit.
        is_open = backend is not None and backend.takes_work
        if not is_open or exchange.permit_until < now:
            released = self.return_permit(now, exchange)
            return released + self.queue(now, exchange)
        exchange.runs += 1
        self._begin_run(now, exchange)
        record = self._recorder.record(
            now, exchange.request, Step.DISPATCHED, target=backend.server
        )
        return [record, Dispatch(exchange.request, backend)]

    def resume(
        self, now: float, exchange: Exchange, server: BackendServerId
    ) -> list[Action]:
        """Read again a stream that another entry VM had started."""
        backend = self._find_backend(server)
        if backend is None:
            return self._closer.fail(
                now, exchange, Code.HOME_LOST, "Its backend server is gone."
            )
        exchange.backend = backend
        self._permits.hold(exchange.request, server)
        self._begin_run(now, exchange)
        held = self._permits.announce_hold(exchange.request)
        return [*held, *self._resume_again(now, exchange)]

    def return_permit(self, now: float, exchange: Exchange) -> list[Action]:
        """Give back a permit that won't be used."""
        backend = exchange.backend
        if exchange.state is not ExchangeState.CLAIMING or backend is None:
            return []
        exchange.backend = None
        return self._release(exchange, backend.server, Outcome.UNUSED)

    def let_go(self, exchange: Exchange) -> list[Action]:
        """Stop queueing a request that another entry VM takes over."""
        return self._permits.unwant(exchange.request)

    def note_first_token(self, now: float, exchange_id: ExchangeId) -> None:
        """Note that the backend server began to answer."""
        exchange = self._exchanges.find(exchange_id)
        if exchange is not None and not exchange.first_token_at:
            exchange.first_token_at = now

    def note_finished(
        self, now: float, exchange_id: ExchangeId, report: RunReport
    ) -> list[Action]:
        """End a run whose whole answer has come."""
        exchange = self._exchanges.find(exchange_id)
        if exchange is None or exchange.backend is None:
            return []
        request = exchange.request
        server = exchange.backend.server
        cost = self._measure_run(now, exchange, report)
        actions = self._release(exchange, server, Outcome.FINISHED, cost)
        self._quarantine.note_finished(now, request.fingerprint)
        self._admitter.end(now, exchange, request.prompt_tokens + report.output_tokens)
        self._set_key_state(exchange, KeyState.DONE)
        self._arbiters.choose(exchange).forget(exchange)
        self._exchanges.remove(exchange)
        record = self._recorder.record(
            now, request, Step.FINISHED, target=server, verdict=Verdict.RAN
        )
        return [record, *actions]

    def note_failed(
        self,
        now: float,
        exchange_id: ExchangeId,
        kind: FailureKind,
        has_streamed: bool,
    ) -> list[Action]:
        """Retry, resume or fail a run that broke."""
        exchange = self._exchanges.find(exchange_id)
        if exchange is None or exchange.backend is None:
            return []
        if self._may_resume(now, exchange, kind):
            return self._resume_again(now, exchange)
        is_crash = self._is_crash(exchange, kind)
        if is_crash:
            self._note_crash(now, exchange)
        outcome = Outcome.CRASHED if is_crash else Outcome.FAILED
        actions = self._release(exchange, exchange.backend.server, outcome)
        if exchange.resumes and kind is not FailureKind.STALLED:
            kind = FailureKind.LOST
        return actions + self._retry_or_fail(now, exchange, kind, has_streamed)

    def note_caller_gone(self, now: float, exchange_id: ExchangeId) -> list[Action]:
        """Start the time after which a run that nobody reads is cancelled."""
        exchange = self._exchanges.find(exchange_id)
        if exchange is None:
            return []
        exchange.is_caller_gone = True
        exchange.cancel_at = now + CALLER_GRACE_S
        return []

    def advance(self, now: float, exchange: Exchange) -> list[Action]:
        """Refuse a queued request past its deadline; cancel an unread run."""
        if exchange.is_caller_gone and exchange.cancel_at <= now:
            return self._drop_unread(now, exchange)
        if exchange.state is not ExchangeState.QUEUED:
            return []
        if now < exchange.request.deadline:
            return []
        actions = self._permits.unwant(exchange.request)
        refusal = Refusal(
            Code.DEADLINE_UNREACHABLE, "No permit came within the deadline.", None
        )
        return actions + self._closer.refuse(now, exchange, refusal)

    def _return_late_permit(
        self, exchange: Exchange | None, permit: Permit
    ) -> list[Action]:
        if exchange is not None and exchange.backend is not None:
            if exchange.backend.server == permit.server:
                return []
        return self._permits.release_unknown(permit)

    def _refuse_suspect(
        self, now: float, exchange: Exchange, permit: Permit
    ) -> list[Action]:
        released = self._release(exchange, permit.server, Outcome.UNUSED)
        sentence = "A copy of this request crashed a backend server and runs alone."
        refusal = Refusal(Code.QUARANTINED, sentence, SUSPECT_RETRY_AFTER_S)
        return released + self._closer.refuse(now, exchange, refusal)

    def _begin_run(self, now: float, exchange: Exchange) -> None:
        exchange.state = ExchangeState.RUNNING
        exchange.dispatched_at = now
        exchange.first_token_at = 0.0
        exchange.resumes = 0
        self._set_key_state(exchange, KeyState.RUNNING)
        self._quarantine.note_started(
            now, exchange.request.fingerprint, exchange.backend.server
        )

    def _is_crash(self, exchange: Exchange, kind: FailureKind) -> bool:
        if kind is FailureKind.STALLED:
            return False
        return kind is not FailureKind.NOT_STARTED or exchange.resumes > 0

    def _may_resume(self, now: float, exchange: Exchange, kind: FailureKind) -> bool:
        if exchange.backend.kind is not BackendKind.MODEL_ENGINE:
            return False
        if kind is FailureKind.STALLED:
            # A slow engine still has the stream; only the deadline ends the wait.
            return now < exchange.request.deadline
        if exchange.resumes >= MAX_RESUMES:
            return False
        if kind is FailureKind.NOT_STARTED:
            return exchange.resumes > 0
        return kind is FailureKind.LOST

    def _resume_again(self, now: float, exchange: Exchange) -> list[Action]:
        exchange.resumes += 1
        record = self._recorder.record(
            now, exchange.request, Step.RESUMED, target=exchange.backend.server
        )
        return [record, Resume(exchange.request, exchange.backend)]

    def _retry_or_fail(
        self, now: float, exchange: Exchange, kind: FailureKind, has_streamed: bool
    ) -> list[Action]:
        request = exchange.request
        if not has_streamed and self._spend_retry(now, exchange, kind):
            if kind is not FailureKind.NOT_STARTED:
                exchange.is_free_to_run = True
            exchange.excluded += (exchange.backend.server,)
            record = self._recorder.record(
                now, request, Step.RETRIED, why=kind.value, verdict=kind.verdict
            )
            return [record, *self.queue(now, exchange)]
        if kind is FailureKind.NOT_STARTED:
            refusal = Refusal(
                Code.BACKEND_FAILED, "The backend server took no request.", 1.0
            )
            return self._closer.refuse(now, exchange, refusal)
        if kind is FailureKind.STALLED:
            sentence = "The backend server went silent."
            return self._closer.fail(now, exchange, Code.BACKEND_TIMEOUT, sentence)
        return self._closer.fail(
            now, exchange, Code.STREAM_LOST, "The backend server's answer was lost."
        )

    def _spend_retry(self, now: float, exchange: Exchange, kind: FailureKind) -> bool:
        request = exchange.request
        decision = self._retries.decide_retry(
            now,
            request.customer,
            request.kind,
            kind.verdict,
            exchange.runs,
            request.deadline,
        )
        return decision is RetryDecision.RETRY

    def _note_crash(self, now: float, exchange: Exchange) -> None:
        server = exchange.backend.server
        running = [
            other.request.fingerprint
            for other in self._exchanges
            if other.state is ExchangeState.RUNNING
            and other.backend is not None
            and other.backend.server == server
        ]
        crash = f"{server}/{exchange.request.exchange}"
        self._quarantine.note_crash(now, server, crash, frozenset(running))

    def _drop_unread(self, now: float, exchange: Exchange) -> list[Action]:
        if exchange.state is ExchangeState.QUEUED:
            actions = self._permits.unwant(exchange.request)
            refusal = Refusal(Code.CALLER_GONE, "The caller left the queue.", None)
            return actions + self._closer.refuse(now, exchange, refusal)
        is_engine = (
            exchange.backend is not None
            and exchange.backend.kind is BackendKind.MODEL_ENGINE
        )
        if exchange.state is not ExchangeState.RUNNING or not is_engine:
            return []
        request = exchange.request
        record = self._recorder.record(
            now, request, Step.CANCELLED, target=exchange.backend.server
        )
        cost = self._measure_run(now, exchange, RunReport())
        actions = self._release(
            exchange, exchange.backend.server, Outcome.CANCELLED, cost
        )
        actions += [record, Cancel(request.exchange)]
        return actions + self._closer.fail(
            now, exchange, Code.CALLER_GONE, "The caller left; the run was cancelled."
        )

    def _release(
        self,
        exchange: Exchange,
        server: BackendServerId,
        outcome: Outcome,
        cost: RunCost | None = None,
    ) -> list[Action]:
        return self._permits.release(
            exchange.request, server, outcome, cost or RunCost()
        )

    def _measure_run(
        self, now: float, exchange: Exchange, report: RunReport
    ) -> RunCost:
        first = exchange.first_token_at or now
        return RunCost(
            prefill_tokens=report.prefill_tokens,
            prefill_seconds=first - exchange.dispatched_at,
            output_tokens=report.output_tokens,
            decode_seconds=now - first,
        )

    def _set_key_state(self, exchange: Exchange, state: KeyState) -> None:
        entry = self._ledger.find(exchange.request.key)
        if entry is not None:
            entry.state = state
