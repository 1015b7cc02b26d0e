"""Coordinator of slots, quotas and retries for a fleet of entry VMs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    Code,
    Incarnation,
    QuotaUnit,
    ServiceId,
)

from ._backend_beliefs import BackendBeliefs
from ._backend_load import SlotRequestKey
from ._config_replica import ConfigReplica
from ._control_message import (
    ActiveRun,
    ActiveRunsReport,
    BackendNews,
    BackendPause,
    Cancellation,
    Detach,
    FirstOutput,
    Handover,
    MessageToCoordinator,
    RunEnded,
)
from ._fleet_knowledge import FleetKnowledge
from ._limit_history import LimitHistory
from ._machine_load import MachineLoads
from ._quota_limiter import QuotaLimiter, QuotaShortage
from ._refusal_policy import make_failure_refusal
from ._retry_budget import RetryBudget
from ._rollouts import Rollouts
from ._scheduler import SlotScheduler
from ._slot_messages import Decision, Refusal, SlotRequest
from ._stream_origins import StreamOrigin, StreamOrigins
from ._usage_messages import CoordinatorUsage
from ._zone_preference import ZonePreference

# Bounds of the Retry-After of a client account that exceeds its quota.
MIN_QUOTA_RETRY_AFTER_SECONDS = 0.2
MAX_QUOTA_RETRY_AFTER_SECONDS = 4.0
# Retry-After while the retry budget is exhausted: a small fraction of its window.
RETRY_BUDGET_RETRY_AFTER_SECONDS = 0.5
# Retry-After of a client account at its in-flight limit, which may have fewer requests
# in progress after this time: a few typical runs.
IN_FLIGHT_RETRY_AFTER_SECONDS = 0.5
# Time within which a VM returns a grant that came too late: a delivery each way, by a
# connection that loses a packet, and some tenths on a busy VM.
MAX_REFUND_SECONDS = 2.0


class Coordinator:
    """Decide on slot requests.

    Every VM has a coordinator; normally all VMs send their requests to the same one.
    """

    def __init__(
        self,
        own: Incarnation,
        config: ConfigReplica,
        scheduler: SlotScheduler,
        retry_budget: RetryBudget,
        quotas: QuotaLimiter,
        knowledge: FleetKnowledge | None = None,
    ) -> None:
        self._own = own
        self._config = config
        self._scheduler = scheduler
        self._retry_budget = retry_budget
        self.quotas = quotas
        self.limits = LimitHistory(
            own, config, quotas, retry_budget, knowledge or FleetKnowledge()
        )
        # VMs that follow this coordinator, excluding its own.
        self.followers: set[Incarnation] = set()
        # Client account and charged quota tokens of each waiting request.
        self._charges: dict[SlotRequestKey, tuple[ClientAccountId, float]] = {}
        # Loop time of recent grants, and what they charged.
        self._granted_charges: OrderedDict[
            SlotRequestKey, tuple[float, ClientAccountId, float]
        ] = OrderedDict()
        # Fraction of the slots that may be granted here.
        self.share = 1.0
        # Fraction of quotas, extra retries and stated limits that may be granted here.
        self.limit_share = 1.0

    def set_share(self, share: float) -> None:
        """Set the fraction of slots that may be granted."""
        self.share = share
        self._scheduler.share = share

    @property
    def rollouts(self) -> Rollouts:
        """Return the roll-outs that bound which versions are granted."""
        return self._scheduler.rollouts

    def count_runs(self, service: ServiceId, now: float) -> dict[BackendServerId, int]:
        """Return the number of runs on each backend server before their deadlines."""
        return self._scheduler.count_runs(service, now)

    @property
    def origins(self) -> StreamOrigins:
        """Return where recent streams began."""
        return self._scheduler.origins

    def set_limit_share(self, share: float) -> None:
        """Set the fraction of quotas, retries and stated limits that may be granted."""
        self.limit_share = share
        self._scheduler.limit_share = share

    def start_coordinating(
        self, granted: tuple[CoordinatorUsage, ...], now: float
    ) -> None:
        """Start to decide on requests that other VMs decided on before.

        ``granted`` is what each of them granted to this VM.
        """
        self.beliefs.restart_pacing(now)
        self.limits.record_usage(self._own, granted, now)

    def merge_news(self, news: BackendNews, now: float) -> bool:
        """Follow what a response states; return whether that is new."""
        return self._scheduler.merge_news(news, now)

    @property
    def beliefs(self) -> BackendBeliefs:
        """Return what responses of backend servers state."""
        return self._scheduler.beliefs

    @property
    def machines(self) -> MachineLoads:
        """Return what responses state of the machines of backend servers."""
        return self._scheduler.machines

    @property
    def zones(self) -> ZonePreference:
        """Return when requests leave their availability zone."""
        return self._scheduler.zones

    def is_resting(self, backend: BackendServerId, vm: Incarnation, now: float) -> bool:
        """Return whether a backend server wants nothing from a VM at present."""
        return self._scheduler.is_resting(backend, vm, now)

    def list_rests(self, vm: Incarnation, now: float) -> tuple[BackendPause, ...]:
        """Return the rests that backend servers requested from a VM."""
        return self._scheduler.list_rests(vm, now)

    def list_doubts(self, now: float) -> tuple[BackendPause, ...]:
        """Return the pauses of backend servers that may have restarted unnoticed."""
        return self._scheduler.list_doubts(now)

    def count_unknown_runs(self, now: float) -> int:
        """Return the slots that are occupied by runs not known here."""
        return self._scheduler.count_unknown_runs(now)

    def get_most_held_tokens(self) -> int:
        """Return the most tokens that the runs of one backend server hold."""
        return self._scheduler.get_most_held_tokens()

    def count_reduced_rooms(self, now: float) -> int:
        """Return the services whose room was learned to be less than stated."""
        return self._scheduler.count_reduced_rooms(now)

    def get_limit_rate(self, backend: BackendServerId, born_ms: int) -> float | None:
        """Return the requests per second that a limit allows; None without one."""
        belief = self.beliefs.get(backend, born_ms)
        if belief is None or belief.request_limit is None:
            return None
        return belief.request_limit.rate

    def submit(self, request: SlotRequest, now: float) -> list[Decision]:
        """Enqueue a request unless a limit refuses it; return all new decisions.

        A request on which this fails unexpectedly is refused.
        """
        try:
            return self._submit(request, now)
        except Exception as error:
            errors, key = self._scheduler.errors, (request.owner, request.number)
            errors.record("request for a slot", error, id=request.attempt_id)
            self._refund(key)
            with errors.contain("withdrawal of a request", id=request.attempt_id):
                self._scheduler.cancel(key, now)
            return [make_failure_refusal(request)]

    def _submit(self, request: SlotRequest, now: float) -> list[Decision]:
        if request.is_charged:
            return self._enqueue(request, now)
        if not request.is_retry:
            self._retry_budget.record_request(request.service, now)
            return self._charge_or_refuse(request, now) or self._enqueue(request, now)
        if not self._retry_budget.try_acquire(request.service, self.limit_share, now):
            reason = "the budget for repeats is used up"
            return [
                self._make_refusal(
                    request, Code.OVERLOADED, RETRY_BUDGET_RETRY_AFTER_SECONDS, reason
                )
            ]
        return self._enqueue(request, now)

    def handle_message(
        self, sender: Incarnation, message: MessageToCoordinator, now: float
    ) -> list[Decision]:
        """Handle a message from a VM and return all new decisions."""
        scheduler = self._scheduler
        match message:
            case SlotRequest():
                self.followers.add(sender)
                return self.submit(message, now)
            case Cancellation(number, refunds):
                self._refund((sender, number))
                if refunds:
                    self._refund_granted((sender, number), now)
                return self._settle_charges(
                    scheduler.cancel((sender, number), now), now
                )
            case FirstOutput(number, backend, version, reading):
                key = (sender, number)
                scheduler.record_first_output(key, backend, now, version, reading)
            case RunEnded():
                return self._settle_charges(
                    scheduler.end_run(sender, message, now), now
                )
            case BackendPause():
                self._pause(message, now)
                if message.rejected is not None:
                    key = (sender, message.rejected)
                    scheduler.record_rejection(message.backend, key, now)
            case BackendNews():
                scheduler.merge_news(message, now)
            case Handover():
                return self._apply_handover(sender, message, now)
            case ActiveRunsReport(runs):
                return self._settle_charges(
                    self._reconcile_runs(sender, runs, now), now
                )
            case Detach():
                return self.remove_vm(sender, now)
        return []

    def register_run(
        self, backend: BackendServerId, request: SlotRequest, now: float
    ) -> None:
        """Register a run that another coordinator granted."""
        self._scheduler.register_run(backend, request, now)

    def set_backends(self, entries: Iterable[BackendEntry]) -> None:
        """Replace the backend servers that may receive requests."""
        self._scheduler.set_backends(entries)

    def remove_vm(self, owner: Incarnation, now: float) -> list[Decision]:
        """Remove all slot requests and runs of a VM."""
        self.followers.discard(owner)
        for key in [key for key in self._charges if key[0] == owner]:
            self._refund(key)
        return self._settle_charges(self._scheduler.remove_vm(owner, now), now)

    def advance(self, now: float) -> list[Decision]:
        """Grant free slots; refuse expired requests and late ones under overload."""
        return self._settle_charges(self._scheduler.advance(now), now)

    def _enqueue(self, request: SlotRequest, now: float) -> list[Decision]:
        account = self._config.get_account(request.account)
        weight = None if account is None else account.share
        decisions = self._scheduler.submit(
            request, now, weight, self._config.get_memory_tokens(request.service)
        )
        return self._settle_charges(decisions, now)

    def _settle_charges(self, decisions: list[Decision], now: float) -> list[Decision]:
        """Refund the charges of refused requests; those of used grants are final."""
        for decision in decisions:
            key = (decision.owner, decision.number)
            if isinstance(decision, Refusal):
                self._refund(key)
                continue
            charged = self._charges.pop(key, None)
            if charged is not None:
                self._granted_charges[key] = (now, *charged)
        self._forget_granted(now)
        return decisions

    def _refund_granted(self, key: SlotRequestKey, now: float) -> None:
        """Refund the charge of a grant that came too late for its request."""
        self._forget_granted(now)
        granted = self._granted_charges.pop(key, None)
        if granted is not None:
            self.quotas.refund(*granted[1:])

    def _forget_granted(self, now: float) -> None:
        while self._granted_charges:
            granted_at = next(iter(self._granted_charges.values()))[0]
            if now - granted_at <= MAX_REFUND_SECONDS:
                return
            self._granted_charges.popitem(last=False)

    def _refund(self, key: SlotRequestKey) -> None:
        charged = self._charges.pop(key, None)
        if charged is not None:
            self.quotas.refund(*charged)

    def _charge_or_refuse(self, request: SlotRequest, now: float) -> list[Decision]:
        """Charge a request to its client account, or return a refusal."""
        account = self._config.get_account(request.account)
        if account is None:
            return []
        limit = account.max_in_flight
        if limit is not None and self._scheduler.count_in_flight(account.id) >= limit:
            reason = f"{limit} requests of the client account are in progress"
            return [
                self._make_refusal(
                    request,
                    Code.IN_FLIGHT_LIMITED,
                    IN_FLIGHT_RETRY_AFTER_SECONDS,
                    reason,
                )
            ]
        shortage = self.quotas.charge(
            account, request.quota_tokens, self.limit_share, now
        )
        if shortage is None:
            self._charges[request.owner, request.number] = (
                account.id,
                request.quota_tokens,
            )
            return []
        refusal = self._make_quota_refusal(request, shortage)
        self._scheduler.refused_requests.record(
            request.fingerprint, now - request.age, now + refusal.retry_after, now
        )
        return [refusal]

    def _make_quota_refusal(
        self, request: SlotRequest, shortage: QuotaShortage
    ) -> Refusal:
        seconds = min(MAX_QUOTA_RETRY_AFTER_SECONDS, shortage.seconds)
        seconds = max(MIN_QUOTA_RETRY_AFTER_SECONDS, seconds)
        if shortage.unit is QuotaUnit.REQUEST:
            reason = f"the rate is used up for {shortage.seconds:.2f} s"
            return self._make_refusal(request, Code.RATE_LIMITED, seconds, reason)
        tokens = f"{request.quota_tokens:.0f} tokens"
        reason = f"the quota lacks {tokens} for {shortage.seconds:.2f} s"
        return self._make_refusal(request, Code.TOKENS_LIMITED, seconds, reason)

    def _apply_handover(
        self, sender: Incarnation, handover: Handover, now: float
    ) -> list[Decision]:
        if sender not in self.followers:
            self.beliefs.hold_grants(now)
        self.followers.add(sender)
        decisions = self._reconcile_runs(sender, handover.runs, now)
        for news in handover.news:
            self._scheduler.merge_news(news, now)
        for rest in handover.rests:
            self._pause(rest, now)
        for it in handover.origins:
            origin = StreamOrigin(it.service, it.version)
            self.origins.record(it.stream, origin, now)
        self.limits.apply_handover(sender, handover, now)
        return self._settle_charges(decisions, now)

    def _pause(self, pause: BackendPause, now: float) -> None:
        scheduler, seconds = self._scheduler, pause.seconds
        if pause.vm:
            scheduler.rest(pause.backend, pause.vm, seconds, now)
        else:
            scheduler.pause(pause.backend, now + seconds, pause.may_restart, now)

    def _reconcile_runs(
        self, sender: Incarnation, runs: tuple[ActiveRun, ...], now: float
    ) -> list[Decision]:
        reported = {(sender, run.request.number) for run in runs}
        decisions = self._scheduler.drop_unreported_runs(sender, reported, now)
        for run in runs:
            self._scheduler.register_run(
                run.backend, run.request, now - run.age_seconds
            )
        return decisions

    def _make_refusal(
        self, request: SlotRequest, code: Code, seconds: float, reason: str
    ) -> Refusal:
        return Refusal(request.owner, request.number, code, seconds, reason)
