"""Takes clients' requests through admission, waiting, attempts and the response."""

from __future__ import annotations

import asyncio
import itertools
import random

import logbook

from fireflyquay.dispatch import Ask, Grant, Refusal
from fireflyquay.links import (
    CallerGoneError,
    HttpRequest,
    HttpResponder,
    read_status,
)
from fireflyquay.world import (
    ClientAccount,
    ClientAccountId,
    Code,
    Incarnation,
    RepeatRule,
    ServiceShare,
    ZoneId,
)

from ._admission import Admission, Rejected, admit
from ._beliefs import Beliefs
from ._call import Call, Outcome, fingerprint_request
from ._clock import AgeClock
from ._dialect import Dialect, RequestFacts
from ._forwarder import PROMISING_STATUSES, Forwarder
from ._gateway_metrics import GatewayMetrics
from ._slot_desk import SlotDesk

LOG = logbook.Logger("requests")

# Seconds before the promised bound at which a configuration counts as stale: requests
# on their way to a backend server must arrive within the bound.
STALE_MARGIN_SECONDS = 0.6
# Seconds that a request of an unnamed patience may take.
DEFAULT_PATIENCE_SECONDS = 30.0
# Least seconds before a refused client comes back when there is no forecast.
RETRY_SECONDS = 0.5
NO_ACCOUNT = ClientAccountId("")
# What the log says of a request that got its response; else it names a code.
SERVED = "served"


class Ingress:
    """Serve clients' requests."""

    def __init__(
        self,
        own: Incarnation,
        zone: ZoneId,
        dialect: Dialect,
        beliefs: Beliefs,
        clock: AgeClock,
        desk: SlotDesk,
        forwarder: Forwarder,
        metrics: GatewayMetrics,
        revoke_seconds: float,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._zone = zone
        self._dialect = dialect
        self._beliefs = beliefs
        self._clock = clock
        self._desk = desk
        self._forwarder = forwarder
        self._metrics = metrics
        self.set_revoke_seconds(revoke_seconds)
        self._rng = rng
        self._numbers = itertools.count(1)
        self.in_progress = 0

    def set_revoke_seconds(self, seconds: float) -> None:
        """Set the bound within which a key's removal takes effect."""
        self._max_config_age = seconds - STALE_MARGIN_SECONDS

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Serve one request."""
        self.in_progress += 1
        serving = asyncio.ensure_future(self._serve(request, responder))
        leaving = asyncio.ensure_future(responder.disconnected.wait())
        try:
            await asyncio.wait({serving, leaving}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.in_progress -= 1
            leaving.cancel()
            if not serving.done():
                serving.cancel()
                await asyncio.gather(serving, return_exceptions=True)
        if serving.cancelled():
            raise CallerGoneError
        serving.result()

    async def _serve(self, request: HttpRequest, responder: HttpResponder) -> None:
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        facts = self._dialect.read_request(request)
        outcome, reason = Code.INTERNAL.value, ""
        call: Call | None = None
        try:
            call = self._open(request, responder, facts, arrived)
            async with asyncio.timeout_at(call.ends_at):
                await self._run(call)
            outcome = SERVED
        except Rejected as rejected:
            is_promise = read_status(rejected.code) in PROMISING_STATUSES
            if is_promise and call is not None and call.may_have_run:
                rejected = Rejected(Code.BACKEND_FAILED, rejected.sentence)
            outcome, reason = rejected.code.value, rejected.sentence
            if call is not None and call.held_failure is not None:
                await responder.send(*call.held_failure)
            else:
                await self._refuse(facts, responder, rejected)
        except TimeoutError:
            late = _judge_late(call)
            outcome, reason = late.code.value, late.sentence
            await self._refuse(facts, responder, late)
        except (asyncio.CancelledError, CallerGoneError):
            outcome = Code.CALLER_GONE.value
            raise
        finally:
            self._log_end(facts, call, outcome, reason, loop.time() - arrived)

    def _open(
        self,
        request: HttpRequest,
        responder: HttpResponder,
        facts: RequestFacts,
        arrived: float,
    ) -> Call:
        if not facts.attempt:
            raise Rejected(Code.BAD_REQUEST, "The request has no id.")
        admission = self._admit(request, facts)
        route = admission.route
        patience = min(facts.patience or DEFAULT_PATIENCE_SECONDS, route.timeout)
        service = self._choose_service(route.shares).service
        return Call(
            request,
            facts,
            responder,
            admission,
            service,
            arrived,
            arrived + patience,
            last_event=facts.last_event,
        )

    def _admit(self, request: HttpRequest, facts: RequestFacts) -> Admission:
        path = request.target.partition(b"?")[0].decode("latin-1")
        now = self._clock.read()
        return admit(self._beliefs.config, facts, path, now, self._max_config_age)

    def _choose_service(self, shares: tuple[ServiceShare, ...]) -> ServiceShare:
        if len(shares) == 1:
            return shares[0]
        weights = [share.weight for share in shares]
        return self._rng.choices(shares, weights)[0]

    async def _run(self, call: Call) -> None:
        """Make attempts until the response is complete; raise Rejected otherwise."""
        while True:
            grant, ask = await self._acquire(call)
            backend = self._beliefs.backends.get(grant.backend)
            if backend is None or not self._beliefs.backends.takes_requests(backend.id):
                self._desk.release(ask, grant.backend)
                continue
            self._check_again(call, ask, grant)
            call.tried.append(backend.id)
            had_run, call.may_have_run = call.may_have_run, True
            outcome = await self._forwarder.attempt(call, ask, backend)
            if outcome in (Outcome.NOT_RUN, Outcome.NOT_SENT):
                call.may_have_run = had_run
            if outcome is Outcome.DELIVERED:
                return
            if outcome is Outcome.NOT_SENT:
                call.tried.pop()
            if not self._may_go_on(call, outcome):
                self._give_up(call, outcome)

    def _check_again(self, call: Call, ask: Ask, grant: Grant) -> None:
        """Judge the call by what is known now; waiting may have taken long."""
        try:
            call.admission = self._admit(call.request, call.facts)
        except Rejected:
            self._desk.release(ask, grant.backend)
            raise

    async def _acquire(self, call: Call) -> tuple[Grant, Ask]:
        ask = self._make_ask(call)
        decision = await self._desk.acquire(ask)
        if isinstance(decision, Refusal):
            raise Rejected(decision.code, decision.reason, decision.retry_after)
        self._metrics.note_wait(call.service, decision.waited)
        LOG.info(
            "granted",
            extra={
                "id": call.facts.attempt,
                "rank": ask.rank,
                "service": call.service,
                "backend": decision.backend,
                "waited": round(decision.waited, 3),
                "forecast": round(decision.forecast, 3),
                "config_version": call.admission.version,
                "config_age": round(call.admission.config_age, 2),
            },
        )
        return decision, ask

    def _make_ask(self, call: Call) -> Ask:
        now = asyncio.get_running_loop().time()
        route, account = call.admission.route, call.admission.account
        rank = route.rank if account is None or account.rank is None else account.rank
        waited = now - call.arrived
        return Ask(
            self._own,
            next(self._numbers),
            call.facts.attempt,
            call.service,
            _name_account(call.admission),
            (rank, route.rank),
            self._zone,
            call.facts.prompt_tokens,
            call.facts.output_tokens,
            0.0 if account is None else _count_units(account, call.facts),
            route.target_latency - waited,
            call.patience - waited,
            call.ends_at - now,
            route.max_gap or 0.0,
            fingerprint_request(call),
            bool(call.tried),
            tuple(call.tried),
        )

    def _may_go_on(self, call: Call, outcome: Outcome) -> bool:
        rule = call.admission.route.repeat_rule
        if outcome is Outcome.CUT and rule is not RepeatRule.RESUMABLE:
            return False
        if outcome is Outcome.LOST and rule is RepeatRule.AT_MOST_ONCE:
            return False
        if outcome is Outcome.NOT_SENT:
            return True
        return len(call.tried) < call.admission.route.max_attempts

    def _give_up(self, call: Call, outcome: Outcome) -> None:
        if outcome is Outcome.FAILED:
            raise Rejected(Code.BACKEND_FAILED, "The backend server failed.")
        if outcome is Outcome.CUT:
            raise Rejected(Code.STREAM_LOST, "The stream broke off midway.")
        if outcome is Outcome.NOT_RUN:
            raise Rejected(
                Code.OVERLOADED, "The backend server declined.", RETRY_SECONDS
            )
        raise Rejected(Code.BACKEND_FAILED, "The backend server gave no response.")

    async def _refuse(
        self, facts: RequestFacts, responder: HttpResponder, rejected: Rejected
    ) -> None:
        if responder.started:
            responder.abort()
            return
        headers, body = self._dialect.make_refusal(
            facts.attempt, rejected.code, rejected.sentence, rejected.retry_after
        )
        await responder.send(read_status(rejected.code), headers, body)

    def _log_end(
        self,
        facts: RequestFacts,
        call: Call | None,
        outcome: str,
        reason: str,
        taken: float,
    ) -> None:
        route = "" if call is None else call.admission.route.name
        self._metrics.note_end(route, outcome, taken)
        age = round(self._beliefs.measure_config_age(), 2)
        LOG.info(
            "ended",
            extra={
                "id": facts.attempt,
                "outcome": outcome,
                "reason": reason,
                "account": "" if call is None else _name_account(call.admission),
                "taken": round(taken, 3),
                "first_output": None if call is None else call.measure_first_output(),
                "longest_gap": 0.0 if call is None else round(call.longest_gap, 3),
                "route": route,
                "tried": [] if call is None else call.tried,
                "config_version": self._beliefs.config.version,
                "config_age": age if age < 1e6 else None,
            },
        )


def _judge_late(call: Call | None) -> Rejected:
    """Return the answer to a request whose time is up."""
    if call is not None and not call.may_have_run:
        return Rejected(Code.DEADLINE_UNREACHABLE, "The time was up while it waited.")
    return Rejected(Code.BACKEND_TIMEOUT, "The time was up while it ran.")


def _name_account(admission: Admission) -> ClientAccountId:
    return NO_ACCOUNT if admission.account is None else admission.account.id


def _count_units(account: ClientAccount, facts: RequestFacts) -> float:
    if not account.counts_tokens:
        return 1.0
    if not facts.has_token_counts:
        return account.plain_units
    return float(facts.prompt_tokens + facts.output_tokens)
