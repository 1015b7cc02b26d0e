"""Quotas of client accounts as token buckets."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import ClientAccount, ClientAccountId, Quota, QuotaUnit


@dataclass(slots=True)
class _Bucket:
    level: float
    refilled_at: float
    rate: float
    burst: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add what has come in since the last time."""
        added = max(0.0, now - self.refilled_at) * rate
        self.level = min(burst, self.level + added)
        self.refilled_at = now
        self.rate, self.burst = rate, burst

    def compute_wait(self, units: float) -> float:
        """Return the seconds until there are enough units."""
        # A request larger than the bucket passes once the bucket is full.
        missing = min(units, self.burst) - self.level
        return missing / self.rate if missing > 0 else 0.0


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """Tell which quota lacks units, and for how many seconds."""

    unit: QuotaUnit
    seconds: float


class QuotaLimiter:
    """Charge requests to their client accounts' buckets.

    Answers a client account that sends many times its usual: what lies beyond its
    quota is refused before it takes a place from others.
    """

    def __init__(self, overshoot: float = 0.0, slack: float = 0.0) -> None:
        # Part of each account's rate, and units, that are given out beyond its quota.
        self._overshoot = overshoot
        self._slack = slack
        self._buckets: dict[tuple[ClientAccountId, QuotaUnit], _Bucket] = {}

    def charge(
        self, account: ClientAccount, tokens: float, share: float, now: float
    ) -> QuotaShortage | None:
        """Take a request from all buckets, or from none and say what is missing.

        The share is the part of the quota that this book may give out.
        """
        taken: list[tuple[_Bucket, float]] = []
        for quota in account.quotas:
            if quota.rate <= 0:
                continue
            units = _count_units(quota.unit, 1, tokens)
            bucket = self._refill_bucket(account.id, quota, share, now)
            seconds = bucket.compute_wait(units)
            if seconds > 0:
                return QuotaShortage(quota.unit, seconds)
            taken.append((bucket, units))
        for bucket, units in taken:
            bucket.level -= units
        return None

    def refund(self, account: ClientAccountId, tokens: float) -> None:
        """Return the units of a request that did not run."""
        for unit in QuotaUnit:
            bucket = self._buckets.get((account, unit))
            if bucket is not None:
                units = _count_units(unit, 1, tokens)
                bucket.level = min(bucket.burst, bucket.level + units)

    def deduct(
        self,
        account: ClientAccount,
        requests: int,
        tokens: float,
        refilled_seconds: float,
        now: float,
    ) -> None:
        """Take off what another book has given out.

        What comes in within the kept seconds is not taken off.
        """
        for quota in account.quotas:
            if quota.rate <= 0:
                continue
            units = _count_units(quota.unit, requests, tokens)
            units -= quota.rate * refilled_seconds
            self._refill_bucket(account.id, quota, 1.0, now).level -= max(0.0, units)

    def _refill_bucket(
        self, account: ClientAccountId, quota: Quota, share: float, now: float
    ) -> _Bucket:
        rate = quota.rate * (1 + self._overshoot) * share
        burst = (quota.burst + self._slack) * share
        bucket = self._buckets.get((account, quota.unit))
        if bucket is None:
            bucket = _Bucket(burst, now, rate, burst)
            self._buckets[account, quota.unit] = bucket
        bucket.refill(rate, burst, now)
        return bucket


def _count_units(unit: QuotaUnit, requests: int, tokens: float) -> float:
    return float(requests) if unit is QuotaUnit.REQUEST else tokens
