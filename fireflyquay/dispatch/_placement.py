"""Choice of the backend server that runs a request."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ._backend_load import BackendLoad
from ._slot_queue import QueuedRequest

# Maximum number of backend servers compared for one request. Bounds the cost of a grant
# in a large fleet; the best of a sample of this size is close to the best of all.
MAX_CANDIDATE_BACKENDS = 24


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Hold the parameters of placement."""

    # Weight of the time that a run occupies its slot, relative to the time to its first
    # output.
    occupancy_weight: float = 0.2
    # Fraction of its time on time for which a waiting request passes over free slots on
    # backend servers that would miss its objectives.
    max_wait_share: float = 0.3


class Placement:
    """Choose the backend server for a request among those with a free slot.

    Guards against load on unlike servers: the one that gives the first output soonest
    runs the request, unless a slot that becomes free soon would meet its objective.
    """

    def __init__(self, settings: PlacementSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def choose(
        self, available_loads: Sequence[BackendLoad], item: QueuedRequest, now: float
    ) -> BackendLoad | None:
        """Return the best backend server, or None if waiting for another is better."""
        request, waited = item.request, now - item.queued_at
        candidates = available_loads
        if len(candidates) > MAX_CANDIDATE_BACKENDS:
            candidates = self._rng.sample(available_loads, MAX_CANDIDATE_BACKENDS)
        best: BackendLoad | None = None
        best_score = (False, 0.0, False, 0.0)
        for load in candidates:
            if load.entry.id in request.excluded:
                continue
            if load.is_resting(request.owner, now):
                continue
            if request.version is not None and not load.can_continue(
                request.version, now
            ):
                continue
            run_cost = self._settings.occupancy_weight * load.forecast_run(request, now)
            score = (
                not load.would_meet_objectives(request, waited, now),
                round(load.forecast_first_output(request, now) + run_cost, 3),
                load.entry.zone != request.zone,
                self._rng.random(),
            )
            if best is None or score < best_score:
                best, best_score = load, score
        is_late = best_score[0]
        max_wait = self._settings.max_wait_share * (item.latest_start - item.queued_at)
        return None if is_late and waited < max_wait else best
