"""Admission by contract limits on one entry VM, with what it owns and was lent."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import CustomerId, Incarnation, Limits

from ._admission import Admission, AdmissionState
from ._allowance_bucket import AllowanceBucket, GivenPledge, HeldLease
from ._allowance_demand import AllowanceDemand
from ._allowance_floor import AllowanceFloor
from ._allowance_message import (
    AllowanceAsk,
    AllowanceLease,
    AllowanceMessage,
    Call,
    Counted,
    CountMe,
    FloorLeft,
    LoansTaken,
    Need,
    Pledge,
    PledgeCall,
    PledgedShare,
    PledgeReturn,
    ReturnAsk,
)
from ._allowance_orphans import merge_lent, move_orphans, offer_orphans
from ._allowance_pledge import (
    compute_free,
    compute_kept,
    compute_told_in_flight,
    find_tail,
    make_pledge,
)
from ._allowance_settings import ROUNDING, AllowanceSettings, compute_burst

_RETURN_INTERVAL = 1.0  # Seconds.
_LEAVE_INTERVAL = 0.5  # Seconds.
_URGENT_INTERVAL = 0.1  # Seconds.
# Limits of a contract that is not known here; they admit nothing.
_NO_LIMITS = Limits(0.0, 0.0, 0)

StewardOf = Callable[[CustomerId], Incarnation | None]
LimitsOf = Callable[[CustomerId], Limits | None]


class AllowanceHolder:
    """Admit requests within owned and lent shares; ask stewards for more."""

    def __init__(self, own: Incarnation, settings: AllowanceSettings) -> None:
        self._own = own
        self._settings = settings
        self._floor = AllowanceFloor(own, settings.longest_run)
        self._buckets: dict[CustomerId, AllowanceBucket] = {}
        self._demands: dict[CustomerId, AllowanceDemand] = {}
        self._started_at: float | None = None
        self._owned_since: float | None = None
        self._next_ask = 0.0
        self._next_return = 0.0
        self._next_leave = 0.0
        self._is_leaving = False
        # Floors as applied to the buckets, and buckets that do not fit them yet.
        self._floors = (0.0, 0.0)
        self._settling: list[AllowanceBucket] = []
        # Customers with recent demand or with lent units.
        self._active: set[CustomerId] = set()

    def admit(
        self,
        now: float,
        customer: CustomerId,
        limits: Limits,
        tokens: int,
        is_again: bool = False,
    ) -> Admission:
        """Admit a request of that many prompt and output tokens, or refuse it.

        A request that waited for a lease is tried again without counting twice.
        """
        bucket = self._find_bucket(now, customer, limits)
        demand = self._demands.get(customer)
        if demand is None:
            demand = self._demands[customer] = AllowanceDemand(now, now)
        self._active.add(customer)
        admission = self._judge(now, bucket, tokens)
        if not is_again:
            demand.note(now, tokens, bucket.running + 1, admission.state)
        is_admitted = admission.state is AdmissionState.ADMITTED
        demand.is_pressed |= bucket.is_low(now) or not is_admitted
        if not is_admitted:
            if now >= demand.asked_at + _URGENT_INTERVAL:
                # Ask at the next tick.
                self._next_ask = now
            return admission
        bucket.requests -= 1.0
        bucket.tokens -= tokens
        bucket.running += 1
        return admission

    def find_lease_wait(self, now: float, customer: CustomerId) -> float:
        """Return the seconds for which a refused request may wait for a lease.

        Only the first refusals after a calm time may: a customer that goes on
        asking for more than it gets is refused at once.
        """
        demand = self._demands.get(customer)
        if demand is None:
            return 0.0
        return max(0.0, demand.short_since + self._settings.lease_wait - now)

    def end(self, now: float, customer: CustomerId, tokens_used: int) -> None:
        """Free the unit of an admitted request; tokens stay spent."""
        bucket = self._buckets.get(customer)
        if bucket is not None and bucket.running:
            bucket.running -= 1

    def advance(
        self, now: float, steward_of: StewardOf, members: frozenset[Incarnation]
    ) -> list[Action]:
        """Take the members not confirmed gone; ask stewards where it is due."""
        actions = self._floor.advance(now, members)
        self._apply_floor(now)
        if now >= self._next_ask:
            self._next_ask = now + self._settings.ask_interval
            actions += self._ask(now, steward_of)
        if now >= self._next_return:
            self._next_return = now + _RETURN_INTERVAL
            actions += self._ask_returns(now, steward_of)
            self._forget_idle(now)
        return actions

    def leave(self, now: float, peers: frozenset[Incarnation]) -> list[Action]:
        """Pledge nothing any more, and hand the floors back once none is in use.

        Call it repeatedly after the last request has ended.
        """
        self._is_leaving = True
        if now < self._next_leave:
            return []
        self._next_leave = now + _LEAVE_INTERVAL
        if not self._floor.has_left:
            if any(self._is_in_use(now, item) for item in self._buckets.values()):
                return []
            self._floor.leave()
        return [Send(peer, FloorLeft()) for peer in sorted(peers - {self._own})]

    def _is_in_use(self, now: float, bucket: AllowanceBucket) -> bool:
        return bool(bucket.running) or bucket.compute_given_in_flight(now) > 0

    def receive(
        self,
        now: float,
        sender: Incarnation,
        message: AllowanceMessage,
        limits_of: LimitsOf,
    ) -> list[Action]:
        """Take a message meant for holders; others are ignored."""
        match message:
            case AllowanceLease():
                self._take_lease(now, message)
            case PledgeCall() if not self._is_leaving:
                return [Send(sender, self._pledge(now, sender, message, limits_of))]
            case PledgeReturn():
                self._take_back(sender, message)
            case FloorLeft():
                self._floor.note_left(sender)
            case LoansTaken():
                self._move_orphans(now, sender, message)
            case CountMe() if self._floor.counts(sender, message):
                return [Send(sender, self._count_waits(now))]
            case Counted():
                self._floor.note_counted(now, sender, message)
        return []

    def _find_bucket(
        self, now: float, customer: CustomerId, limits: Limits | None
    ) -> AllowanceBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._make_bucket(now, limits or _NO_LIMITS)
            self._buckets[customer] = bucket
        bucket.fill(now)
        if limits is not None and limits != bucket.limits:
            bucket.limits = limits
            bucket.burst = compute_burst(limits, self._settings)
            bucket.fill(now)
        return bucket

    def _make_bucket(self, now: float, limits: Limits) -> AllowanceBucket:
        since = now if self._owned_since is None else self._owned_since
        bucket = AllowanceBucket(
            limits,
            compute_burst(limits, self._settings),
            since,
            self._floor.rates,
            self._floor.in_flight,
        )
        bucket.fill(now)
        return bucket

    def _judge(self, now: float, bucket: AllowanceBucket, tokens: int) -> Admission:
        limits = bucket.limits
        if bucket.running >= bucket.count_units(now):
            never = limits.in_flight < 1
            wait = None if never else self._settings.lease
            return Admission(AdmissionState.IN_FLIGHT_LIMITED, wait)
        if bucket.requests < 1.0 - ROUNDING:
            wait = self._wait(1.0 - bucket.requests, limits.requests_per_second)
            return Admission(AdmissionState.RATE_LIMITED, wait)
        if tokens > bucket.burst.tokens:
            return Admission(AdmissionState.TOKENS_LIMITED, None)
        if bucket.tokens < tokens - ROUNDING:
            wait = self._wait(tokens - bucket.tokens, limits.tokens_per_second)
            return Admission(AdmissionState.TOKENS_LIMITED, wait)
        return Admission(AdmissionState.ADMITTED)

    def _wait(self, missing: float, rate: float) -> float | None:
        return max(missing / rate, 2 * self._settings.ask_interval) if rate else None

    def _apply_floor(self, now: float) -> None:
        if self._floor.rates and self._owned_since is None:
            self._owned_since = now
        floors = self._floor.rates, self._floor.in_flight
        is_changed = floors != self._floors
        self._floors = floors
        for bucket in self._buckets.values() if is_changed else self._settling:
            bucket.fill(now)
            bucket.set_floor(now, *floors)
        if is_changed or self._settling:
            buckets = self._buckets.values()
            self._settling = [bucket for bucket in buckets if bucket.is_settling]

    def _ask(self, now: float, steward_of: StewardOf) -> list[Action]:
        needs: dict[Incarnation, list[Need]] = defaultdict(list)
        for customer in sorted(self._active):
            bucket, demand = self._buckets[customer], self._demands[customer]
            bucket.fill(now)
            demand.measure(now)
            demand.asked_at = now
            recent = demand.is_recent(now, bucket, self._settings)
            need = demand.make_need(now, customer, bucket, recent)
            if need is None and not recent:
                self._active.discard(customer)
            if need is None or not self._is_ask_due(now, bucket, demand, need):
                continue
            steward = steward_of(customer)
            if steward is not None:
                demand.sent_at = now
                needs[steward].append(need)
        return [
            Send(steward, AllowanceAsk(now, tuple(asked)))
            for steward, asked in sorted(needs.items())
        ]

    def _is_ask_due(
        self, now: float, bucket: AllowanceBucket, demand: AllowanceDemand, need: Need
    ) -> bool:
        if now >= demand.sent_at + self._settings.lease / 2 - ROUNDING:
            return True
        loan = bucket.get_loan(now)
        if loan is None:
            return max(need.requests, need.tokens, need.in_flight) > ROUNDING
        is_more = need.requests > loan.requests or need.tokens > loan.tokens
        return is_more or need.in_flight > loan.in_flight

    def _take_lease(self, now: float, message: AllowanceLease) -> None:
        until = message.asked_at + message.lasting
        for loan in message.loans:
            bucket = self._buckets.get(loan.customer)
            if bucket is None or now >= until:
                continue
            if bucket.lease and bucket.lease.asked_at >= message.asked_at:
                continue
            bucket.fill(now)
            bucket.lease = HeldLease(message.asked_at, until, loan)
            bucket.requests += loan.saved_requests
            bucket.tokens += loan.saved_tokens
            bucket.fill(now)

    def _pledge(
        self, now: float, steward: Incarnation, call: PledgeCall, limits_of: LimitsOf
    ) -> Pledge:
        shares = []
        for part in call.calls:
            self._find_bucket(now, part.customer, limits_of(part.customer))
            shares.append(self._pledge_one(now, steward, call, part))
        return Pledge(call.called_at, call.lasting, tuple(shares))

    def _pledge_one(
        self, now: float, steward: Incarnation, call: PledgeCall, part: Call
    ) -> PledgedShare:
        customer = part.customer
        bucket = self._buckets[customer]
        old = bucket.pledges.get(steward)
        if old is not None and old.called_at >= call.called_at:
            return PledgedShare(customer, 0, 0, 0, 0, 0)
        orphans = offer_orphans(now, bucket, steward, call.called_at)
        orphaned_until = max((given.in_flight_until for given in orphans), default=now)
        demand = self._demands.get(customer)
        is_recent = demand and demand.is_recent(now, bucket, self._settings)
        kept = compute_kept(now, bucket, demand if is_recent else None)
        until = now + call.lasting
        given = make_pledge(
            now,
            GivenPledge(
                call.called_at,
                until,
                until + self._settings.longest_run,
                *compute_free(now, bucket, kept, part, old),
                lent=part.lent,
            ),
            old,
        )
        bucket.pledges[steward] = given
        tail = find_tail(now, given, old)
        if tail is not None:
            bucket.tails.append(tail)
        requests, tokens = bucket.requests, bucket.tokens
        bucket.fill(now)
        return PledgedShare(
            customer,
            given.requests,
            given.tokens,
            compute_told_in_flight(now, bucket, given),
            requests - bucket.requests,
            tokens - bucket.tokens,
            bucket.count_running_lent(now),
            merge_lent(given.lent for given in orphans),
            orphaned_until - now,
        )

    def _ask_returns(self, now: float, steward_of: StewardOf) -> list[Action]:
        asked: dict[Incarnation, list[CustomerId]] = defaultdict(list)
        for customer, bucket in self._buckets.items():
            for steward, given in bucket.pledges.items():
                is_over = now >= given.until or steward_of(customer) != steward
                is_over = is_over or bucket.is_settling or self._is_leaving
                if given.in_flight and is_over and now < given.in_flight_until:
                    asked[steward].append(customer)
        return [
            Send(steward, ReturnAsk(tuple(customers)))
            for steward, customers in sorted(asked.items())
        ]

    def _take_back(self, sender: Incarnation, message: PledgeReturn) -> None:
        for kept in message.kept:
            bucket = self._buckets.get(kept.customer)
            given = bucket.pledges.get(sender) if bucket else None
            if given is None or given.called_at > message.called_at:
                continue
            left = min(given.in_flight, kept.in_flight)
            bucket.pledges[sender] = replace(given, in_flight=left)

    def _move_orphans(
        self, now: float, steward: Incarnation, message: LoansTaken
    ) -> None:
        for customer in message.customers:
            bucket = self._buckets.get(customer)
            if bucket is not None:
                bucket.fill(now)
                times = message.called_at, message.taken_at
                move_orphans(now, bucket, steward, *times)

    def _count_waits(self, now: float) -> Counted:
        rates, units = 0.0, self._floor.compute_gone_wait(now)
        for bucket in self._buckets.values():
            for given in bucket.pledges.values():
                rates = max(rates, given.until - now)
                if given.in_flight and bucket.is_settling:
                    units = max(units, given.in_flight_until - now)
            for tail in bucket.tails:
                rates = max(rates, tail.until - now)
            if bucket.is_settling:
                units = max(units, self._settings.longest_run)
        return Counted(rates, units)

    def _forget_idle(self, now: float) -> None:
        for customer, bucket in list(self._buckets.items()):
            demand = self._demands.get(customer)
            if demand and now - demand.last_at < self._settings.idle:
                continue
            bucket.fill(now)
            if bucket.is_plain(now) and self._is_full(bucket):
                del self._buckets[customer]
                self._demands.pop(customer, None)
                self._active.discard(customer)

    def _is_full(self, bucket: AllowanceBucket) -> bool:
        if bucket.limits == _NO_LIMITS:
            return True
        full = bucket.floor_rates * (1.0 - ROUNDING)
        return (
            bucket.requests >= full * bucket.burst.requests
            and bucket.tokens >= full * bucket.burst.tokens
        )
