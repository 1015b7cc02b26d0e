"""Choice among the software versions of a service for a request.

Guards against a version on trial that sees no load: its budget fills a few backend
servers, and the requests beyond it go to the others.
"""

from __future__ import annotations

from collections.abc import Sequence

from ._backend_load import BackendLoad
from ._placement import Placement
from ._rollouts import Rollouts
from ._slot_queue import QueuedRequest


class RolloutPlacement:
    """Choose the backend server for a request where a version is on trial."""

    def __init__(self, rollouts: Rollouts, placement: Placement) -> None:
        self._rollouts = rollouts
        self._placement = placement

    def choose(
        self, loads: Sequence[BackendLoad], item: QueuedRequest, now: float
    ) -> BackendLoad | None:
        """Return the best backend server, or None if waiting for another is better."""
        rollouts, placement = self._rollouts, self._placement
        request = item.request
        if not rollouts.has_rollout(request.service):
            return placement.choose(loads, item, now)
        if request.version is not None:
            allowed = [it for it in loads if rollouts.may_continue(it.entry, now)]
            return placement.choose(allowed, item, now)
        allowed = [it for it in loads if rollouts.may_grant(it.entry, now)]
        tried = {it.entry.id: it for it in allowed if rollouts.is_on_trial(it.entry)}
        if tried and not request.is_retry:
            ranked = rollouts.rank_trial(request.service, tried, now)
            for backend in ranked:
                load = placement.choose([tried[backend]], item, now)
                if load is not None:
                    return load
        proven = [it for it in allowed if it.entry.id not in tried]
        return placement.choose(proven, item, now)
