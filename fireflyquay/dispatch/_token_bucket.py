"""Token bucket that can be rebuilt from what several coordinators granted."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

# Decay constant of the largest recent request of a bucket.
LARGEST_REQUEST_DECAY_SECONDS = 10.0
# Charges within this time are remembered as one.
CHARGE_RESOLUTION_SECONDS = 0.1

# Loop time and units of a charge; or a level and the loop time at which it was right.
Charge = tuple[float, float]
Level = tuple[float, float]


@dataclass(slots=True)
class TokenBucket:
    """Hold the level of one token bucket, and the charges that led to it.

    Guards against refusing large requests beyond the quota: units of the allowance
    are reserved for the largest recent request, since small ones would use up the
    bucket before it ever covers a large one.
    """

    # Time for which charges are remembered.
    window_seconds: float
    # Units available to the fleet; negative after a deduction of more.
    level: float
    refilled_at: float
    # Units per second, and the capacity in units.
    rate: float = 0.0
    burst: float = 0.0
    # Units of the burst that exceed the quota.
    allowance: float = 0.0
    # Decaying maximum of the units that requests asked for.
    largest_request: float = 0.0
    # Fraction of the quota that this VM may grant, and the units left of it.
    share: float = 1.0
    share_level: float = 0.0
    # Number of the reports from which the level was rebuilt last.
    revision: int = 0
    # Own charges in the window, and the level before the first of them.
    _charges: deque[Charge] = field(default_factory=deque)
    _anchor: Level = (0.0, 0.0)

    def __post_init__(self) -> None:
        self._anchor = self.refilled_at - self.window_seconds, self.level

    def refill(
        self, rate: float, burst: float, allowance: float, share: float, now: float
    ) -> None:
        """Add the units accrued since the last refill; follow a change of the share."""
        elapsed = max(0.0, now - self.refilled_at)
        self.level = min(burst, self.level + elapsed * rate)
        self.largest_request *= math.exp(-elapsed / LARGEST_REQUEST_DECAY_SECONDS)
        self.refilled_at = now
        self.rate, self.burst, self.allowance = rate, burst, allowance
        if share >= 1.0:
            self.share = 1.0
            return
        accrued = elapsed * rate * self.share
        self.share_level = min(burst * self.share, self.share_level + accrued)
        if self.share == 1.0:
            self.share_level = share * max(0.0, self.level)
        else:
            self.share_level *= share / self.share
        self.share = share

    def compute_wait(self, units: float) -> float:
        """Return the seconds until enough units are available."""
        self.largest_request = max(self.largest_request, units)
        reserved = min(self.largest_request, self.allowance)
        # A request larger than the bucket is admitted once the bucket is full.
        shortage = min(max(units, reserved), self.burst) - self.level
        wait = max(0.0, shortage / self.rate)
        if self.share < 1.0:
            needed = min(max(units, reserved * self.share), self.burst * self.share)
            shortage = needed - self.share_level
            wait = max(wait, shortage / (self.rate * self.share))
        return wait

    def charge(self, units: float) -> None:
        """Take units; a negative number gives them back."""
        now = self.refilled_at
        self.level = min(self.burst, self.level - units)
        if self.share < 1.0:
            capacity = self.burst * self.share
            self.share_level = min(capacity, self.share_level - units)
        if self._charges and now - self._charges[-1][0] < CHARGE_RESOLUTION_SECONDS:
            charged_at, before = self._charges.pop()
            self._charges.append((charged_at, before + units))
        else:
            self._charges.append((now, units))
        while self._charges and self._charges[0][0] < now - self.window_seconds:
            at, units = self._charges.popleft()
            self._anchor = at, self._replay(self._anchor, (), at) - units

    def rebuild(self, charges: Iterable[Charge], levels: Iterable[Level]) -> None:
        """Recompute the level from others' charges too.

        Each of the levels was known to be no higher right before its time, and includes
        all charges until then.
        """
        known = sorted([*self._charges, *charges])
        rebuilt = [self._replay(self._anchor, known, self.refilled_at)]
        for base in levels:
            later = [it for it in known if it[0] >= base[0]]
            rebuilt.append(self._replay(base, later, self.refilled_at))
        self.level = min(rebuilt)
        share_level = self.share * max(0.0, self.level)
        self.share_level = min(self.share_level, share_level)

    def _replay(self, base: Level, charges: Iterable[Charge], until: float) -> float:
        at, level = base
        for charged_at, units in charges:
            elapsed = max(0.0, charged_at - at)
            level = min(self.burst, level + elapsed * self.rate)
            level = min(self.burst, level - units)
            at += elapsed
        return min(self.burst, level + max(0.0, until - at) * self.rate)
