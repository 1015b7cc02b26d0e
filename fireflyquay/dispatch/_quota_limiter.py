"""Token buckets that enforce the quotas of client accounts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from fireflyquay.world import ClientAccount, ClientAccountId, Quota, QuotaUnit

# Time that the reports of recent usage cover: about that in which a quota refills its
# burst.
REPORTED_USAGE_SECONDS = 4.0
# Decay constant of the largest recent request of a bucket.
LARGEST_REQUEST_DECAY_SECONDS = 10.0


@dataclass(slots=True)
class _Bucket:
    """Hold the state of one token bucket.

    Guards against refusing large requests beyond the quota: units of the allowance
    are reserved for the largest recent request, since small ones would use up the
    bucket before it ever covers a large one.
    """

    # Units available; negative after a deduction of more.
    level: float
    refilled_at: float
    # Units per second, and the capacity in units.
    rate: float
    burst: float
    # Units of the burst that exceed the quota.
    allowance: float
    # Decaying maximum of the units that requests asked for.
    largest_request: float = 0.0
    # Units that handovers reported, and the time of the first of them.
    reported: float = 0.0
    reported_since: float = -math.inf

    def refill(self, rate: float, burst: float, allowance: float, now: float) -> None:
        """Add the units accrued since the last refill."""
        elapsed = max(0.0, now - self.refilled_at)
        self.level = min(burst, self.level + elapsed * rate)
        self.largest_request *= math.exp(-elapsed / LARGEST_REQUEST_DECAY_SECONDS)
        self.refilled_at = now
        self.rate, self.burst, self.allowance = rate, burst, allowance

    def deduct_reported(self, units: float, quota_rate: float, now: float) -> None:
        """Deduct units that other coordinators granted.

        All reports together are credited with what the quota refills in the time that
        they cover, whatever part each of them has.
        """
        if now - self.reported_since > REPORTED_USAGE_SECONDS:
            self.reported, self.reported_since = 0.0, now
        refilled = quota_rate * REPORTED_USAGE_SECONDS
        before = max(0.0, self.reported - refilled)
        self.reported += units
        self.level -= max(0.0, self.reported - refilled) - before

    def compute_wait(self, units: float) -> float:
        """Return the seconds until enough units are available."""
        self.largest_request = max(self.largest_request, units)
        reserved = min(self.largest_request, self.allowance)
        # A request larger than the bucket is admitted once the bucket is full.
        shortage = min(max(units, reserved), self.burst) - self.level
        return shortage / self.rate if shortage > 0 else 0.0


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """Identify an exhausted quota and the seconds until it can cover the request."""

    unit: QuotaUnit
    seconds: float


class QuotaLimiter:
    """Charge requests to the token buckets of their client accounts.

    Guards against a client account that sends many times its usual load: requests
    beyond its quota are refused before they take slots from others.
    """

    def __init__(
        self, rate_allowance: float = 0.0, burst_allowance: float = 0.0
    ) -> None:
        # Allowance above each quota: a fraction added to its rate, and units added to
        # its burst.
        self._rate_allowance = rate_allowance
        self._burst_allowance = burst_allowance
        self._buckets: dict[tuple[ClientAccountId, QuotaUnit], _Bucket] = {}

    def charge(
        self, account: ClientAccount, tokens: float, share: float, now: float
    ) -> QuotaShortage | None:
        """Charge a request to all buckets, or to none and return the shortage.

        ``share`` is the fraction of each quota that this VM may grant.
        """
        charges: list[tuple[_Bucket, float]] = []
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
            bucket.level -= units
        return None

    def refund(self, account: ClientAccountId, tokens: float) -> None:
        """Credit the buckets with the units of a request that did not run."""
        for unit in QuotaUnit:
            bucket = self._buckets.get((account, unit))
            if bucket is not None:
                units = _count_units(unit, 1, tokens)
                bucket.level = min(bucket.burst, bucket.level + units)

    def deduct_reported(
        self, account: ClientAccount, requests: int, tokens: float, now: float
    ) -> None:
        """Deduct the usage of one VM that other coordinators granted it recently."""
        for quota in account.quotas:
            if quota.rate <= 0:
                continue
            units = _count_units(quota.unit, requests, tokens)
            bucket = self._refill_bucket(account.id, quota, 1.0, now)
            bucket.deduct_reported(units, quota.rate, now)

    def _refill_bucket(
        self, account: ClientAccountId, quota: Quota, share: float, now: float
    ) -> _Bucket:
        rate = quota.rate * (1 + self._rate_allowance) * share
        allowance = self._burst_allowance * share
        burst = quota.burst * share + allowance
        bucket = self._buckets.get((account, quota.unit))
        if bucket is None:
            bucket = _Bucket(burst, now, rate, burst, allowance)
            self._buckets[account, quota.unit] = bucket
        bucket.refill(rate, burst, allowance, now)
        return bucket


def _count_units(unit: QuotaUnit, requests: int, tokens: float) -> float:
    return float(requests) if unit is QuotaUnit.REQUEST else tokens
