"""Token buckets that enforce the quotas of client accounts."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from fireflyquay.world import (
    ClientAccount,
    ClientAccountId,
    Incarnation,
    Quota,
    QuotaUnit,
)

from ._fleet_knowledge import FleetKnowledge
from ._token_bucket import Charge, Level, TokenBucket
from ._usage_messages import (
    CoordinatorUsage,
    Ledger,
    QuotaDeficit,
    is_valid,
)

# Default length of the window in which quotas are counted.
QUOTA_WINDOW_SECONDS = 8.0
# Time that reports cover which have no history, as older builds send them.
REPORTED_USAGE_SECONDS = 4.0
# Times that all VMs may be killed in a window before their usage exceeds a quota.
UNKNOWN_STARTS_PER_WINDOW = 3
# Time for which nothing is granted between a kill of all VMs and the next start.
MIN_DOWNTIME_SECONDS = 0.5

FindAccount = Callable[[ClientAccountId], ClientAccount | None]


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """Identify an exhausted quota and the seconds until it can cover the request."""

    unit: QuotaUnit
    seconds: float


@dataclass(frozen=True, slots=True)
class QuotaMargin:
    """Hold by how much usage may exceed a quota: a ratio of it, and further units."""

    ratio: float = 0.0
    units: float = 0.0


@dataclass(frozen=True, slots=True)
class _ReportedUsage:
    """Hold what other coordinators granted one VM about the same time."""

    account: ClientAccountId
    granted_at: float
    requests: float
    tokens: float


@dataclass(frozen=True, slots=True)
class _KnownLedger:
    made_at: float
    deficits: dict[tuple[ClientAccountId, QuotaUnit], float]


class QuotaLimiter:
    """Charge requests to the token buckets of their client accounts.

    Guards against a client account that sends many times its usual load: requests
    beyond its quota are refused before they take slots from others.

    Guards against a burst from each of several coordinators, one after the other: the
    buckets are rebuilt from what other VMs report for the whole window. After a start,
    usage is unknown, and buckets start with a part of what is reserved for this.
    """

    def __init__(
        self,
        allowance: QuotaMargin | None = None,
        reserve: QuotaMargin | None = None,
        window_seconds: float = QUOTA_WINDOW_SECONDS,
        knowledge: FleetKnowledge | None = None,
    ) -> None:
        # Granted above each quota: a ratio of its rate, and units of its burst.
        self._allowance = allowance or QuotaMargin()
        # Tolerated beyond the allowance, for what no VM knows.
        self._reserve = reserve or QuotaMargin()
        self.window_seconds = window_seconds
        self._buckets: dict[tuple[ClientAccountId, QuotaUnit], TokenBucket] = {}
        self._knowledge = knowledge or FleetKnowledge()
        # Time in the window until which usage is unknown; None if all of it is known.
        self._unknown_until: float | None = None
        self._reports: dict[
            Incarnation, dict[ClientAccountId, list[_ReportedUsage]]
        ] = {}
        # The latest ledger of each other coordinator.
        self._ledgers: dict[Incarnation, _KnownLedger] = {}
        # Time from which sums without a history are charged.
        self._summed_since = -math.inf
        # Counts reports and other changes of what is known.
        self._revision = 0

    def charge(
        self, account: ClientAccount, tokens: float, share: float, now: float
    ) -> QuotaShortage | None:
        """Charge a request to all buckets, or to none and return the shortage.

        ``share`` is the fraction of each quota that this VM may grant.
        """
        charges: list[tuple[TokenBucket, float]] = []
        for quota in account.quotas:
            if quota.rate <= 0:
                continue
            units = _count_units(quota.unit, 1, tokens)
            bucket = self._refill_bucket(account.id, quota, share, now)
            seconds = bucket.compute_wait(units)
            if seconds > 0:
                return QuotaShortage(quota.unit, seconds)
            charges.append((bucket, units))
        for bucket, units in charges:
            bucket.charge(units)
        return None

    def refund(self, account: ClientAccountId, tokens: float) -> None:
        """Credit the buckets with the units of a request that did not run."""
        for unit in QuotaUnit:
            bucket = self._buckets.get((account, unit))
            if bucket is not None:
                bucket.charge(-_count_units(unit, 1, tokens))

    def record_usage(
        self,
        vm: Incarnation,
        granted: tuple[CoordinatorUsage, ...],
        own: Incarnation,
        now: float,
    ) -> None:
        """Record all that other coordinators than this VM granted a VM recently."""
        self._record_report(
            vm,
            [
                _ReportedUsage(it.account, now - it.age_seconds, it.requests, it.tokens)
                for granter in granted
                if granter.coordinator != own
                for it in granter.usage
                if is_valid(it.age_seconds, it.requests, it.tokens)
            ],
            now,
        )

    def record_sums(
        self,
        vm: Incarnation,
        sums: tuple[tuple[ClientAccountId, int, float], ...],
        now: float,
    ) -> None:
        """Record sums of the usage of a VM that reports no history.

        All sums together are credited with what the quota refills in the time that
        they cover, but not with the allowance: it may have been used up before.
        """
        factor = 1 + self._allowance.ratio
        granted_at = now - REPORTED_USAGE_SECONDS
        if self._summed_since < now - self.window_seconds:
            self._summed_since = granted_at
        reports = [
            _ReportedUsage(account, granted_at, factor * requests, factor * tokens)
            for account, requests, tokens in sums
            if is_valid(requests, tokens)
        ]
        self._record_report(vm, reports, now)

    def adopt_ledger(self, ledger: Ledger, now: float) -> None:
        """Remember what another coordinator says to be left."""
        deficits = {
            (it.account, it.unit): it.units
            for it in ledger.deficits
            if is_valid(it.units)
        }
        made_at = now - ledger.age_seconds
        self._ledgers[ledger.coordinator] = _KnownLedger(made_at, deficits)
        self._revision += 1

    def list_deficits(
        self, find_account: FindAccount, now: float
    ) -> tuple[QuotaDeficit, ...]:
        """Return the buckets that lack units to be full."""
        accounts = {account for account, _ in self._buckets}
        for ledger in self._ledgers.values():
            accounts.update(account for account, _ in ledger.deficits)
        for reports in self._reports.values():
            accounts.update(reports)
        deficits = []
        for account_id in accounts:
            account = find_account(account_id)
            for quota in () if account is None else account.quotas:
                if quota.rate <= 0:
                    continue
                bucket = self._refill_bucket(account_id, quota, None, now)
                if bucket.level < bucket.burst:
                    units = bucket.burst - bucket.level
                    deficits.append(QuotaDeficit(account_id, quota.unit, units))
        return tuple(deficits)

    def _record_report(
        self, vm: Incarnation, reports: list[_ReportedUsage], now: float
    ) -> None:
        self._forget(now)
        self._reports[vm] = {}
        for it in reports:
            self._reports[vm].setdefault(it.account, []).append(it)
        self._revision += 1

    def _forget(self, now: float) -> None:
        """Forget what lies before the window."""
        since = now - self.window_seconds
        for vm, reports in list(self._reports.items()):
            latest = [max(one.granted_at for one in it) for it in reports.values()]
            if max(latest, default=since) <= since:
                del self._reports[vm]
        for coordinator, ledger in list(self._ledgers.items()):
            if ledger.made_at < since:
                del self._ledgers[coordinator]

    def _refill_bucket(
        self,
        account: ClientAccountId,
        quota: Quota,
        share: float | None,
        now: float,
    ) -> TokenBucket:
        rate = quota.rate * (1 + self._allowance.ratio)
        allowance = self._allowance.units
        burst = quota.burst + allowance
        is_known = self._knowledge.covers(self.window_seconds, now)
        unknown_until = None if is_known else self._knowledge.known_since
        if unknown_until != self._unknown_until:
            self._unknown_until = unknown_until
            self._revision += 1
        bucket = self._buckets.get((account, quota.unit))
        if bucket is None:
            bucket = TokenBucket(self.window_seconds, burst, now)
            self._buckets[account, quota.unit] = bucket
        if share is None:
            share = bucket.share
        bucket.refill(rate, burst, allowance, share, now)
        if bucket.revision != self._revision:
            self._rebuild(bucket, account, quota, now)
        return bucket

    def _rebuild(
        self,
        bucket: TokenBucket,
        account: ClientAccountId,
        quota: Quota,
        now: float,
    ) -> None:
        bucket.revision = self._revision
        since = now - self.window_seconds
        charges: list[Charge] = [
            (it.granted_at, _count_units(quota.unit, it.requests, it.tokens))
            for reports in self._reports.values()
            for it in reports.get(account, ())
            if it.granted_at >= since
        ]
        levels: list[Level] = [
            (it.made_at, bucket.burst - it.deficits.get((account, quota.unit), 0.0))
            for it in self._ledgers.values()
            if it.made_at >= since
        ]
        if self._summed_since >= since:
            levels.append((self._summed_since, quota.burst))
        if self._unknown_until is not None:
            levels.append((self._unknown_until, self._compute_unknown_level(quota)))
        bucket.rebuild(charges, levels)

    def _compute_unknown_level(self, quota: Quota) -> float:
        """Return the level of a bucket before whose window any usage is possible."""
        window = quota.burst + quota.rate * self.window_seconds
        spare = self._reserve.ratio * window + self._reserve.units
        downtime = MIN_DOWNTIME_SECONDS * quota.rate
        return spare / UNKNOWN_STARTS_PER_WINDOW + downtime


def _count_units(unit: QuotaUnit, requests: float, tokens: float) -> float:
    return float(requests) if unit is QuotaUnit.REQUEST else tokens
