"""Ingress: handling of a client's request from admission to response."""

from __future__ import annotations

import asyncio
import itertools
import math
import random

import logbook

from fireflyquay.dispatch import Grant, Refusal, SlotRequest, list_suspects
from fireflyquay.links import (
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
    get_http_status,
)
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import (
    BackendEntry,
    ClientAccount,
    ClientAccountId,
    Code,
    FireflyquayError,
    Incarnation,
    RepeatRule,
    ServiceShare,
    ZoneId,
)

from ._admission import Admission, AdmissionBounds, RejectionError, admit
from ._backend_paths import BackendPaths
from ._call import Call, Outcome, fingerprint_request, met_objectives
from ._claims import KeyClaims
from ._clock import AgeClock
from ._dialect import Dialect, Exchange, Failure, RequestMetadata
from ._forwarder import NOT_RUN_STATUSES, Forwarder
from ._gateway_metrics import GatewayMetrics
from ._quarantine import Quarantine
from ._settings import PromiseSettings
from ._slot_client import SlotClient
from ._state_replicas import StateReplicas
from ._stop_guard import StopGuard
from ._stream_locator import StreamLocator

LOG = logbook.Logger("requests")

# Seconds before the bound for revoked keys at which a configuration counts as stale:
# requests in transit to a backend server must arrive within the bound.
STALE_MARGIN_SECONDS = 0.6
# Timeout of a request whose client states none.
DEFAULT_TIMEOUT_SECONDS = 30.0
# Retry-After of a request that is rejected without a forecast.
DEFAULT_RETRY_AFTER_SECONDS = 0.5
# Number of grants whose backend servers were not reached in any way, after which a
# request is refused.
MAX_UNSENT_ATTEMPTS = 6
# Seconds until a slot is requested again after a grant on a backend server that this VM
# does not know yet, or no more.
UNKNOWN_BACKEND_WAIT_SECONDS = 0.05
NO_ACCOUNT_ID = ClientAccountId("")
# What clients are told; the log has the numbers that decided.
BUSY_SENTENCE = "No backend server for the request is free in time."
LOST_RESPONSE_SENTENCE = (
    "A backend server gave no complete response, and no other got the request."
)
# Outcome in the log of a request that got its response; others are named by a code.
SERVED = "served"


class Ingress:
    """Handle clients' requests from arrival to response."""

    def __init__(
        self,
        own: Incarnation,
        zone: ZoneId,
        dialect: Dialect,
        replicas: StateReplicas,
        clock: AgeClock,
        slot_client: SlotClient,
        forwarder: Forwarder,
        paths: BackendPaths,
        quarantine: Quarantine,
        stream_locator: StreamLocator,
        stop_guard: StopGuard,
        claims: KeyClaims | None,
        metrics: GatewayMetrics,
        promises: PromiseSettings,
        rng: random.Random,
        errors: UnexpectedErrors,
    ) -> None:
        self._own = own
        self._errors = errors
        self._zone = zone
        self._dialect = dialect
        self._replicas = replicas
        self._clock = clock
        self._slot_client = slot_client
        self._forwarder = forwarder
        self._paths = paths
        self._quarantine = quarantine
        self._stream_locator = stream_locator
        self._stop_guard = stop_guard
        self._claims = claims
        self._metrics = metrics
        self.set_promises(promises)
        self._rng = rng
        self._numbers = itertools.count(1)
        self.in_progress = 0

    def set_promises(self, promises: PromiseSettings) -> None:
        """Set the times within which changes and removed API keys take effect."""
        self._admission_bounds = AdmissionBounds(
            promises.revoke - STALE_MARGIN_SECONDS, promises.apply
        )

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request; abort it when the client disconnects."""
        self.in_progress += 1
        serve_task = asyncio.ensure_future(self._serve(request, responder))
        disconnect_task = asyncio.ensure_future(responder.disconnected.wait())
        try:
            await asyncio.wait(
                {serve_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.in_progress -= 1
            disconnect_task.cancel()
            if not serve_task.done():
                serve_task.cancel()
                await asyncio.gather(serve_task, return_exceptions=True)
            elif not serve_task.cancelled():
                # Otherwise its failure is reported as lost if this task is cancelled.
                serve_task.exception()
        if serve_task.cancelled():
            raise CallerDisconnectedError
        serve_task.result()

    async def refuse_body(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Refuse a request whose body exceeds the memory for bodies."""
        sentence = "The memory for the bodies of requests is used up."
        failure = Failure(Code.OVERLOADED, sentence, DEFAULT_RETRY_AFTER_SECONDS, False)
        status = get_http_status(failure.code)
        try:
            exchange = self._dialect.decode_request(request)
        except FireflyquayError:
            # It can't be decoded without its body.
            LOG.info("malformed", extra={"outcome": failure.code, "reason": sentence})
            self._metrics.record_end("", failure.code.value, 0.0)
            response = self._dialect.make_failure_response(status, failure)
        else:
            self._log_end(exchange, None, failure.code.value, sentence, 0.0)
            response = exchange.make_failure_response(status, failure)
        await responder.send(response.status, response.headers, response.body)

    async def _serve(self, request: HttpRequest, responder: HttpResponder) -> None:
        try:
            exchange = self._dialect.decode_request(request)
        except FireflyquayError as error:
            await self._reject_malformed(responder, error)
            return
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        outcome, reason = Code.INTERNAL.value, ""
        call: Call | None = None
        try:
            call = self._open_call(request, exchange, responder, arrived_at)
            async with self._stop_guard.limit_call(call):
                if call.last_event_id and call.admission.route.is_stream:
                    await self._stream_locator.locate(call)
                await self._run_attempts(call)
            outcome = SERVED
            with self._errors.contain("record of a request on time"):
                if met_objectives(call, loop.time()):
                    self._metrics.record_on_time(call.rank)
        except RejectionError as rejection:
            corrected = _correct_rejection(call, rejection)
            outcome, reason = corrected.code.value, corrected.reason
            await self._reject(exchange, call, responder, corrected)
        except TimeoutError:
            timeout = _make_timeout_rejection(call)
            outcome, reason = timeout.code.value, timeout.sentence
            await self._reject(exchange, call, responder, timeout)
        except (asyncio.CancelledError, CallerDisconnectedError):
            outcome = Code.CALLER_GONE.value
            raise
        except Exception as error:
            reason = repr(error)
            raise
        finally:
            with self._errors.contain("record of a request's end"):
                self._log_end(exchange, call, outcome, reason, loop.time() - arrived_at)

    async def _reject(
        self,
        exchange: Exchange,
        call: Call | None,
        responder: HttpResponder,
        rejection: RejectionError,
    ) -> None:
        """Send the failure response; release the key if the request has not run."""
        may_have_run = call is not None and call.may_have_run
        if call is not None and call.is_claimed and not may_have_run:
            assert self._claims is not None
            await self._claims.release(call)
        response = None if call is None else call.failure_response
        if call is not None and response is not None and not responder.started:
            await call.send(response)
        else:
            failure = Failure(
                rejection.code, rejection.sentence, rejection.retry_after, may_have_run
            )
            await self._send_failure(exchange, responder, failure)

    async def _reject_malformed(
        self, responder: HttpResponder, error: FireflyquayError
    ) -> None:
        LOG.info("malformed", extra={"outcome": error.code, "reason": error.sentence})
        self._metrics.record_end("", error.code.value, 0.0)
        failure = Failure(error.code, error.sentence, None, False)
        response = self._dialect.make_failure_response(
            get_http_status(error.code), failure
        )
        await responder.send(response.status, response.headers, response.body)

    def _open_call(
        self,
        request: HttpRequest,
        exchange: Exchange,
        responder: HttpResponder,
        arrived_at: float,
    ) -> Call:
        metadata = exchange.metadata
        if not metadata.attempt_id:
            raise RejectionError(Code.BAD_REQUEST, "The request has no id.")
        if metadata.client_timeout is not None and metadata.client_timeout <= 0:
            raise RejectionError(
                Code.DEADLINE_UNREACHABLE,
                "The time was up on arrival.",
            )
        admission = self._admit(metadata)
        route = admission.route
        timeout = min(metadata.client_timeout or DEFAULT_TIMEOUT_SECONDS, route.timeout)
        service = self._choose_share(route.shares).service
        call = Call(
            request,
            exchange,
            responder,
            admission,
            service,
            arrived_at,
            arrived_at + timeout,
            last_event_id=metadata.last_event_id,
        )
        call.suspects = list_suspects(fingerprint_request(call), metadata.shared_parts)
        return call

    def _admit(self, metadata: RequestMetadata) -> Admission:
        now = self._clock.read()
        return admit(self._replicas.config, metadata, now, self._admission_bounds)

    def _choose_share(self, shares: tuple[ServiceShare, ...]) -> ServiceShare:
        if not shares:
            sentence = "The route sends its requests to no service."
            raise RejectionError(
                Code.NO_BACKEND_SERVER, sentence, DEFAULT_RETRY_AFTER_SECONDS
            )
        if len(shares) == 1:
            return shares[0]
        weights = [share.weight for share in shares]
        return self._rng.choices(shares, weights)[0]

    async def _run_attempts(self, call: Call) -> None:
        """Make attempts until one succeeds; raise RejectionError if none may follow."""
        unsent_count = 0
        outcome: Outcome | None = None
        while True:
            self._quarantine.check(call)
            self._check_paths(unsent_count)
            grant, slot_request = await self._acquire_slot(call)
            try:
                if self._claims is not None and not call.is_claimed:
                    call.is_claimed = await self._claims.claim(call)
                backend = self._recheck(call, slot_request, grant, outcome)
            except BaseException:
                self._slot_client.cancel(slot_request)
                raise
            if backend is None:
                self._slot_client.cancel(slot_request)
                if self._replicas.backends.get(grant.backend) is None:
                    await asyncio.sleep(UNKNOWN_BACKEND_WAIT_SECONDS)
                continue
            call.tried_backends.append(backend.id)
            may_have_run_before, call.may_have_run = call.may_have_run, True
            outcome = await self._forwarder.attempt(call, slot_request, backend)
            if outcome in (Outcome.NOT_RUN, Outcome.NOT_SENT, Outcome.UNSENDABLE):
                call.may_have_run = may_have_run_before
            if outcome is Outcome.DELIVERED:
                return
            if outcome in (Outcome.NOT_SENT, Outcome.UNSENDABLE):
                call.tried_backends.pop()
                unsent_count += 1
            if not self._may_retry(call, outcome):
                self._raise_failure(call, outcome)
            if call.crash_check is not None:
                await call.crash_check

    def _check_paths(self, unsent_count: int) -> None:
        """Raise RejectionError if this VM seems to reach no backend server."""
        if unsent_count >= MAX_UNSENT_ATTEMPTS or self._paths.is_stranded():
            raise RejectionError(
                Code.NO_BACKEND_SERVER,
                "No backend server can be reached.",
                DEFAULT_RETRY_AFTER_SECONDS,
            )

    def _recheck(
        self,
        call: Call,
        slot_request: SlotRequest,
        grant: Grant,
        outcome: Outcome | None,
    ) -> BackendEntry | None:
        """Return the backend server of a grant, or None if the call needs another.

        Whatever led to the grant may have changed while the call waited: the
        configuration, the registry and the quarantine. Nothing may be awaited between
        this and the attempt. ``outcome`` is that of the attempt before.
        """
        call.admission = self._admit(call.metadata)
        if outcome is not None and not self._may_retry(call, outcome):
            self._raise_failure(call, outcome)
        if not self._is_still_asked_for(call, slot_request):
            return None
        backend = self._replicas.backends.get(grant.backend)
        if backend is None:
            return None
        is_suitable = (
            backend.service == call.service
            and call.version in (None, backend.version)
            and self._replicas.backends.accepts_requests(backend.id)
        )
        if not is_suitable:
            # The coordinator has not learned it yet.
            call.unusable_backends.append(backend.id)
            return None
        if self._slot_client.is_resting(backend.id):
            # The coordinator may have missed it.
            self._slot_client.repeat_rests()
            return None
        self._stop_guard.check(call, grant.forecast)
        self._quarantine.begin_run(call)
        return backend

    def _is_still_asked_for(self, call: Call, slot_request: SlotRequest) -> bool:
        """Return whether a slot is of the service and account that are in force.

        Otherwise the call is directed to its new service.
        """
        if _get_account_id(call.admission) != slot_request.account:
            # Quotas and idempotency keys are the account's.
            call.is_charged = call.is_claimed = False
            return False
        shares = call.admission.route.shares
        if call.service in {share.service for share in shares}:
            return True
        if call.version is not None:
            raise RejectionError(
                Code.STREAM_VERSION_GONE,
                "The stream began at a service that its route no longer leads to.",
            )
        call.service = self._choose_share(shares).service
        return False

    async def _acquire_slot(self, call: Call) -> tuple[Grant, SlotRequest]:
        slot_request = self._make_slot_request(call)
        async with self._stop_guard.limit_wait(call):
            decision = await self._slot_client.acquire(slot_request)
        if isinstance(decision, Refusal):
            code = Code.EXCEEDS_MEMORY if decision.exceeds_room else decision.code
            is_busy = code is Code.OVERLOADED
            sentence = BUSY_SENTENCE if is_busy else decision.reason
            raise RejectionError(code, sentence, decision.retry_after, decision.reason)
        call.is_charged = True
        with self._errors.contain("record of a grant", id=call.metadata.attempt_id):
            self._record_grant(call, slot_request, decision)
        return decision, slot_request

    def _record_grant(
        self, call: Call, slot_request: SlotRequest, decision: Grant
    ) -> None:
        self._metrics.record_wait(call.service, decision.waited)
        backend = self._replicas.backends.get(decision.backend)
        LOG.info(
            "granted",
            extra={
                "id": call.metadata.attempt_id,
                "rank": slot_request.rank,
                "service": call.service,
                "backend": decision.backend,
                "backend_version": "" if backend is None else backend.version,
                "waited": round(decision.waited, 3),
                "forecast": round(decision.forecast, 3),
                "config_version": call.admission.version,
                "config_age": round(call.admission.config_age, 2),
            },
        )

    def _make_slot_request(self, call: Call) -> SlotRequest:
        now = asyncio.get_running_loop().time()
        route, account = call.admission.route, call.admission.account
        waited = now - call.arrived_at
        return SlotRequest(
            self._own,
            next(self._numbers),
            call.metadata.attempt_id,
            call.service,
            _get_account_id(call.admission),
            (call.rank, route.rank),
            self._zone,
            call.metadata.prompt_tokens,
            call.metadata.max_output_tokens,
            _count_quota_tokens(account, call.metadata),
            route.target_latency - waited,
            call.output_timeout - waited,
            call.deadline_at - now,
            route.max_gap or 0.0,
            fingerprint_request(call),
            bool(call.tried_backends),
            (*call.tried_backends, *call.unusable_backends),
            route.target_latency,
            call.stream,
            call.version,
            call.is_charged and not call.tried_backends,
            route.name,
            len(call.request.body),
        )

    def _may_retry(self, call: Call, outcome: Outcome) -> bool:
        rule = call.admission.route.repeat_rule
        if outcome is Outcome.UNSENDABLE:
            return False
        if outcome is Outcome.CUT and (
            rule is not RepeatRule.RESUMABLE or call.is_inside_event
        ):
            return False
        may_have_run = outcome in (Outcome.LOST, Outcome.FAILED)
        if may_have_run and rule is RepeatRule.AT_MOST_ONCE:
            return False
        if outcome is Outcome.NOT_SENT:
            return True
        return len(call.tried_backends) < call.admission.route.max_attempts

    def _raise_failure(self, call: Call, outcome: Outcome) -> None:
        if outcome is Outcome.UNSENDABLE:
            raise RejectionError(Code.BAD_REQUEST, "The request can't be sent on.")
        if outcome is Outcome.FAILED:
            raise RejectionError(Code.BACKEND_FAILED, "The backend server failed.")
        if outcome is Outcome.CUT:
            raise RejectionError(
                Code.STREAM_LOST,
                "The stream broke off midway.",
            )
        if outcome is Outcome.NOT_RUN:
            raise RejectionError(
                Code.OVERLOADED,
                "The backend server declined.",
                DEFAULT_RETRY_AFTER_SECONDS,
            )
        raise RejectionError(
            Code.BACKEND_FAILED, "The backend server gave no response."
        )

    async def _send_failure(
        self, exchange: Exchange, responder: HttpResponder, failure: Failure
    ) -> None:
        if not responder.started:
            response = exchange.make_failure_response(
                get_http_status(failure.code), failure
            )
            await responder.send(response.status, response.headers, response.body)
            return
        final_event = exchange.make_final_event(failure)
        if not final_event:
            responder.abort()
            return
        await responder.write(final_event)
        await responder.finish()

    def _log_end(
        self,
        exchange: Exchange,
        call: Call | None,
        outcome: str,
        reason: str,
        duration_seconds: float,
    ) -> None:
        route = "" if call is None else call.admission.route.name
        self._metrics.record_end(route, outcome, duration_seconds)
        age = self._replicas.compute_config_age()
        LOG.info(
            "ended",
            extra={
                "id": exchange.metadata.attempt_id,
                **exchange.get_log_fields(),
                "outcome": outcome,
                "reason": reason,
                "account": "" if call is None else _get_account_id(call.admission),
                "prompt_tokens": exchange.metadata.prompt_tokens,
                "max_output_tokens": exchange.metadata.max_output_tokens,
                "shared_parts": exchange.metadata.shared_parts,
                "taken": round(duration_seconds, 3),
                "first_output": None if call is None else call.compute_output_delay(),
                "longest_gap": 0.0 if call is None else round(call.longest_gap, 3),
                "route": route,
                "tried": [] if call is None else call.tried_backends,
                "config_version": self._replicas.config.version,
                "config_age": round(age, 2) if math.isfinite(age) else None,
            },
        )


def _correct_rejection(call: Call | None, rejection: RejectionError) -> RejectionError:
    """Replace a rejection that wrongly states that the request has not run."""
    states_not_run = get_http_status(rejection.code) in NOT_RUN_STATUSES
    if states_not_run and call is not None and call.may_have_run:
        return RejectionError(
            Code.BACKEND_FAILED, LOST_RESPONSE_SENTENCE, reason=rejection.reason
        )
    return rejection


def _make_timeout_rejection(call: Call | None) -> RejectionError:
    """Return the rejection of a request that timed out."""
    if call is not None and not call.may_have_run:
        return RejectionError(
            Code.DEADLINE_UNREACHABLE, "The time was up while it waited."
        )
    return RejectionError(Code.BACKEND_TIMEOUT, "The time was up while it ran.")


def _get_account_id(admission: Admission) -> ClientAccountId:
    return NO_ACCOUNT_ID if admission.account is None else admission.account.id


def _count_quota_tokens(
    account: ClientAccount | None, metadata: RequestMetadata
) -> float:
    if account is None:
        return 0.0
    tokens = metadata.prompt_tokens + metadata.max_output_tokens
    return account.get_charged_tokens(tokens if metadata.has_token_counts else None)
