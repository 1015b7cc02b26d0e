"""Replay of requests in several availability zones with uneven load."""

from __future__ import annotations

from dataclasses import dataclass, field

from fireflyquay.dispatch import (
    PlacementSettings,
    SlotSchedulerSettings,
    ZoneSettings,
)

from .builders import make_backend_entry
from .machine_noise import SLOTS, SPEEDS, Engine, NoisyReplay

ZONES = ("a", "b", "c")
# Between two zones and back.
ROUND_TRIP_SECONDS = 0.0028
ZONES_WITH_COSTS = ZoneSettings(round_trip=ROUND_TRIP_SECONDS, price_per_mb=0.1)


class UsualEngine(Engine):
    """Run requests on a machine that is never slower than usual."""

    def get_slowness(self, at: float) -> float:
        """Return the factor by which work takes longer at a loop time."""
        return 1.0


@dataclass(frozen=True)
class Demand:
    """Describe the load of a zone as a multiple of the capacity of its engines."""

    zone: str
    since: float
    until: float
    load: float


@dataclass(frozen=True)
class PlacedRun:
    """Record where a request of a zone ran."""

    zone: str
    granted_at: float
    is_outside: bool


@dataclass
class ZoneReplay(NoisyReplay):
    """Send requests from entry VMs of several zones to a scheduler."""

    zones: ZoneSettings = ZONES_WITH_COSTS
    demands: tuple[Demand, ...] = ()
    # Zone without engines, and from when to when.
    lost: tuple[str, float, float] | None = None
    engine_count: int = 24
    runs: list[PlacedRun] = field(default_factory=list)

    def make_settings(self) -> SlotSchedulerSettings:
        """Return the settings of the scheduler."""
        return SlotSchedulerSettings(placement=PlacementSettings(zones=self.zones))

    def make_engines(self) -> dict[str, Engine]:
        """Return engines of the same speeds in each zone."""
        return {
            f"{zone}{it}": UsualEngine(f"{zone}{it}", SPEEDS[it % len(SPEEDS)], 1)
            for zone in ZONES
            for it in range(self.engine_count // len(ZONES))
        }

    def get_zone(self, engine: str) -> str:
        """Return the zone of an engine."""
        return engine[0]

    def record_run(self, number: int, engine: Engine, now: float) -> float:
        """Return the seconds that the way to the engine and back takes."""
        zone = self.zones_by_number[number]
        is_outside = zone != engine.name[0]
        self.runs.append(PlacedRun(zone, now, is_outside))
        return ROUND_TRIP_SECONDS if is_outside else 0.0

    def run(self) -> float:
        """Return the share of the requests whose first output came on time."""
        self.zones_by_number: dict[int, str] = {}
        rate = self.capacity * 1.225 / len(ZONES)
        for demand in self.demands:
            self.schedule_arrivals(
                demand.zone, demand.since, demand.until, demand.load * rate
            )
        if self.lost is not None:
            zone, since, until = self.lost
            self._schedule(since, lambda at: self._set_engines(zone))
            self._schedule(until, lambda at: self._set_engines(""))
        return self.run_events()

    def _set_engines(self, lost_zone: str) -> None:
        self.scheduler.set_backends(
            make_backend_entry(name, slots=SLOTS, zone=name[0])
            for name in self.engines
            if name[0] != lost_zone
        )

    def _send(self, number: int, kind: object, now: float, zone: str) -> None:
        self.zones_by_number[number] = zone
        super()._send(number, kind, now, zone)

    def compute_outside_share(
        self, zone: str | None = None, since: float = 0.0, until: float = 1e9
    ) -> float:
        """Return the share of a zone's runs that ran outside of it."""
        runs = [
            it.is_outside
            for it in self.runs
            if zone in (None, it.zone) and since <= it.granted_at < until
        ]
        return sum(runs) / max(1, len(runs))
