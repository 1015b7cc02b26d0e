"""Quotas of client accounts as token buckets."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import ClientAccount, ClientAccountId


@dataclass(slots=True)
class _Bucket:
    level: float
    filled_at: float
    rate: float
    burst: float


class QuotaBook:
    """Charge requests to their client accounts' buckets.

    Answers a client account that sends many times its usual: what lies beyond its
    quota is refused before it takes a place from others.
    """

    def __init__(self, overshoot: float = 0.0, slack: float = 0.0) -> None:
        # Part of each account's rate, and units, that are given out beyond its quota.
        self._overshoot = overshoot
        self._slack = slack
        self._buckets: dict[ClientAccountId, _Bucket] = {}

    def charge(
        self, account: ClientAccount, units: float, share: float, now: float
    ) -> float:
        """Take units from a bucket and return 0, or the seconds until they are there.

        The share is the part of the quota that this book may give out.
        """
        if account.rate <= 0:
            return 0.0
        bucket = self._fill(account, share, now)
        # A request larger than the bucket passes once the bucket is full.
        needed = min(units, bucket.burst)
        if bucket.level < needed:
            return (needed - bucket.level) / bucket.rate
        bucket.level -= units
        return 0.0

    def give_back(self, account: ClientAccountId, units: float) -> None:
        """Return the units of a request that did not run."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + units)

    def deduct(self, account: ClientAccount, units: float, now: float) -> None:
        """Take off units that another book has given out."""
        if account.rate > 0:
            self._fill(account, 1.0, now).level -= units

    def _fill(self, account: ClientAccount, share: float, now: float) -> _Bucket:
        rate = account.rate * (1 + self._overshoot) * share
        burst = (account.burst + self._slack) * share
        bucket = self._buckets.get(account.id)
        if bucket is None:
            bucket = self._buckets[account.id] = _Bucket(burst, now, rate, burst)
        added = max(0.0, now - bucket.filled_at) * rate
        bucket.level = min(burst, bucket.level + added)
        bucket.filled_at = now
        bucket.rate, bucket.burst = rate, burst
        return bucket
