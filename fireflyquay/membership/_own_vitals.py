"""Pace at which an entry VM tells its own load, witness and uptime."""

from __future__ import annotations

from fireflyquay.world import NO_WITNESS, Incarnation

from ._membership_settings import MembershipSettings


class OwnVitals:
    """Hold what is to be told of this entry VM, and when."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._described = False
        self._uptime = 0
        self._witness = NO_WITNESS
        self._load = 0.0
        self._told_witness = NO_WITNESS
        self._told_load = 0.0
        self._told_at = float("-inf")

    def describe(self, witness: Incarnation, uptime: int, load: float) -> None:
        """Set what is to be told."""
        self._described = True
        self._uptime = uptime
        self._witness = witness
        self._load = load

    def is_due(self, now: float, members: int) -> bool:
        """Tell whether it differs enough and long enough after the last time."""
        if not self._described:
            return False
        if self._witness != self._told_witness:
            return True
        age = now - self._told_at
        pace = max(
            self._settings.vitals_period, members / self._settings.vitals_per_second
        )
        if age < pace:
            return False
        if age >= self._settings.vitals_refresh:
            return True
        return abs(self._load - self._told_load) >= self._settings.load_step

    def take(self, now: float) -> tuple[int, Incarnation, float]:
        """Return uptime, witness and load, and count them as told."""
        self._told_at = now
        self._told_witness = self._witness
        self._told_load = self._load
        return self._uptime, self._witness, self._load
