"""Choice of the backend server that runs a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from fireflyquay.world import ServiceId

from ._backend_load import BackendLoad
from ._slot_messages import SlotRequest
from ._slot_queue import QueuedRequest
from ._zone_preference import Candidate, ZonePreference, ZoneSettings

# Maximum number of backend servers compared for one request. Bounds the cost of a grant
# in a large fleet; the best of a sample of this size is close to the best of all.
MAX_CANDIDATE_BACKENDS = 24
# Number of these that are in the zone of the request, if leaving it has a cost.
MAX_OWN_CANDIDATES = 16


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Hold the parameters of placement."""

    # Weight of the time that a run occupies its slot, relative to the time to its first
    # output.
    occupancy_weight: float = 0.2
    # Fraction of its time on time for which a waiting request passes over free slots on
    # backend servers that would miss its objectives.
    max_wait_share: float = 0.3
    zones: ZoneSettings = field(default_factory=ZoneSettings)


class Placement:
    """Choose the backend server for a request among those with a free slot.

    Guards against load on unlike servers: the one that gives the first output soonest
    runs the request, unless a slot that becomes free soon would meet its objective.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        rng: random.Random,
        list_loads: Callable[[ServiceId], Iterable[BackendLoad]] = lambda service: (),
    ) -> None:
        self._settings = settings
        self._rng = rng
        # Returns all backend servers of a service, also those without a free slot.
        self._list_loads = list_loads
        self.zones = ZonePreference(settings.zones)

    def choose(
        self, available_loads: Sequence[BackendLoad], item: QueuedRequest, now: float
    ) -> BackendLoad | None:
        """Return the best backend server, or None if waiting for another is better."""
        request, waited = item.request, now - item.queued_at
        if self.zones.is_active:
            best = self._choose_by_zone(available_loads, item, now)
        else:
            sample = self._sample(available_loads, MAX_CANDIDATE_BACKENDS)
            best = self._find_best(sample, item, now)
        if best is None:
            return None
        max_wait = self._settings.max_wait_share * (item.latest_start - item.queued_at)
        if best.is_late and waited < max_wait:
            return None
        if best.is_late:
            self.zones.record_late_grant(request, best.load)
        return best.load

    def _choose_by_zone(
        self, available_loads: Sequence[BackendLoad], item: QueuedRequest, now: float
    ) -> Candidate | None:
        """Return the best candidate by what leaving the zone costs, or None to wait."""
        request = item.request
        own = [it for it in available_loads if it.entry.zone == request.zone]
        others = [it for it in available_loads if it.entry.zone != request.zone]
        own = self._sample(own, MAX_OWN_CANDIDATES)
        others = self._sample(others, MAX_CANDIDATE_BACKENDS - len(own))
        return self.zones.choose(
            self._find_best(own, item, now),
            self._find_best(others, item, now),
            item,
            any(
                load.entry.zone == request.zone
                and now >= load.paused_until
                and _may_run(load, request, now)
                for load in self._list_loads(request.service)
            ),
            now,
        )

    def _sample(
        self, loads: Sequence[BackendLoad], count: int
    ) -> Sequence[BackendLoad]:
        return loads if len(loads) <= count else self._rng.sample(loads, count)

    def _find_best(
        self, loads: Sequence[BackendLoad], item: QueuedRequest, now: float
    ) -> Candidate | None:
        request, waited = item.request, now - item.queued_at
        best: Candidate | None = None
        best_order = (False, 0.0, False, 0.0)
        for load in loads:
            if not _may_run(load, request, now):
                continue
            first_output = load.forecast_first_output(request, now)
            first_output += self.zones.get_round_trip(request, load)
            run_cost = self._settings.occupancy_weight * load.forecast_run(request, now)
            is_late = not load.would_meet_objectives(request, waited, now, first_output)
            score = first_output + run_cost
            order = (
                is_late,
                round(score, 3),
                load.entry.zone != request.zone,
                self._rng.random(),
            )
            if best is None or order < best_order:
                best = Candidate(load, is_late, first_output, score)
                best_order = order
        return best


def _may_run(load: BackendLoad, request: SlotRequest, now: float) -> bool:
    """Return whether a backend server may run a request once it has a free slot."""
    if load.entry.id in request.excluded or load.is_resting(request.owner, now):
        return False
    return request.version is None or load.can_continue(request.version, now)
