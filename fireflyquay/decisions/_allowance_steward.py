"""Stewardship of contract limits: pledges in, leases out."""

from __future__ import annotations

from collections.abc import Callable

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import CustomerId, Incarnation, Limits

from ._allowance_ledger import AllowanceLedger, HeldPledge
from ._allowance_message import (
    AllowanceAsk,
    AllowanceLease,
    AllowanceMessage,
    LoansTaken,
    Pledge,
    PledgeCall,
    PledgeReturn,
    ReturnAsk,
)
from ._allowance_settings import AllowanceSettings, compute_pledge

_FORGET_INTERVAL = 1.0  # Seconds.

LimitsOf = Callable[[CustomerId], Limits | None]


class AllowanceSteward:
    """Collect what members do not need and lend it to those that ask."""

    def __init__(self, own: Incarnation, settings: AllowanceSettings) -> None:
        self._own = own
        self._settings = settings
        self._ledgers: dict[CustomerId, AllowanceLedger] = {}
        self._next_forget = 0.0

    def receive(
        self,
        now: float,
        sender: Incarnation,
        message: AllowanceMessage,
        limits_of: LimitsOf,
        live: frozenset[Incarnation],
    ) -> list[Action]:
        """Take a message meant for stewards; others are ignored."""
        match message:
            case AllowanceAsk():
                lease = self._lend(now, sender, message, limits_of)
                return [*self._call(now, live, limits_of), Send(sender, lease)]
            case Pledge():
                return self._take_pledge(now, sender, message, limits_of)
            case ReturnAsk():
                return self._give_back(now, sender, message, limits_of)
        return []

    def advance(
        self, now: float, live: frozenset[Incarnation], limits_of: LimitsOf
    ) -> list[Action]:
        """Call for pledges that are due, and forget what has ended."""
        if now >= self._next_forget:
            self._next_forget = now + _FORGET_INTERVAL
            self._forget(now)
        return self._call(now, live, limits_of)

    def _forget(self, now: float) -> None:
        for customer, ledger in list(self._ledgers.items()):
            ledger.forget(now)
            if ledger.is_empty():
                del self._ledgers[customer]

    def _lend(
        self,
        now: float,
        holder: Incarnation,
        message: AllowanceAsk,
        limits_of: LimitsOf,
    ) -> AllowanceLease:
        loans = []
        for need in message.needs:
            limits = limits_of(need.customer)
            if limits is None:
                continue
            ledger = self._ledgers.setdefault(
                need.customer, AllowanceLedger(self._settings)
            )
            if ledger.note_need(now, holder, message.asked_at, need):
                loans.append(ledger.lend(now, holder, limits))
        return AllowanceLease(message.asked_at, self._settings.lease, tuple(loans))

    def _call(
        self, now: float, live: frozenset[Incarnation], limits_of: LimitsOf
    ) -> list[Action]:
        members = len(live | {self._own})
        due = [
            (customer, ledger)
            for customer, ledger in sorted(self._ledgers.items())
            if ledger.is_call_due(now, members)
        ]
        if not due:
            return []
        calls = []
        for customer, ledger in due:
            ledger.called_at = now
            limits = limits_of(customer)
            if limits is not None:
                calls.append(ledger.make_call(now, customer, limits, members))
        lasting = compute_pledge(self._settings, members)
        call = PledgeCall(now, lasting, tuple(calls))
        return [Send(peer, call) for peer in sorted(live | {self._own})]

    def _take_pledge(
        self, now: float, member: Incarnation, message: Pledge, limits_of: LimitsOf
    ) -> list[Action]:
        until = message.called_at + message.lasting
        taken = []
        for share in message.shares:
            ledger = self._ledgers.get(share.customer)
            limits = limits_of(share.customer)
            if ledger is None or limits is None:
                continue
            pledge = HeldPledge(message.called_at, until, share)
            if ledger.note_pledge(now, member, pledge, limits):
                taken.append(share.customer)
        if not taken:
            return []
        return [Send(member, LoansTaken(now, message.called_at, tuple(taken)))]

    def _give_back(
        self,
        now: float,
        member: Incarnation,
        message: ReturnAsk,
        limits_of: LimitsOf,
    ) -> list[Action]:
        actions: list[Action] = []
        for customer in message.customers:
            ledger = self._ledgers.get(customer)
            limits = limits_of(customer)
            if ledger is None or limits is None or limits.in_flight < 1:
                continue
            answer = ledger.give_back(now, member, limits)
            if answer is not None:
                called_at, kept = answer
                actions.append(Send(member, PledgeReturn(called_at, (kept,))))
        return actions
