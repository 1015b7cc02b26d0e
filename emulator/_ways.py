"""Ways of waiting, refusing and placing that experiments compare."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, replace

from fireflyquay.dispatch import SlotSchedulerSettings

from ._policies import (
    ArrivalOrder,
    GroupsSharingSlots,
    GroupsSplittingServers,
    LatestStartOrder,
    LeastOwnRequests,
    LocalCoordinators,
    PowerOfTwoChoices,
    SchedulingPolicy,
)

BASE = SlotSchedulerSettings()
# Sends at once, whatever the slots.
UNBOUNDED = replace(BASE, runs_per_slot=1e9)


@dataclass(frozen=True, slots=True)
class Way:
    """Name settings of the grantor, or a rival to it, and say what they try."""

    name: str
    description: str
    settings: SlotSchedulerSettings
    policy: SchedulingPolicy | None = None

    def install(self) -> AbstractContextManager[None]:
        """Decide by this way within the context."""
        return nullcontext() if self.policy is None else self.policy.install()


WAYS = (
    Way("today", "what the daemon does", BASE),
    Way("window-0.7", "fewer runs than slots", replace(BASE, runs_per_slot=0.7)),
    Way("window-1.5", "half as many runs again", replace(BASE, runs_per_slot=1.5)),
    Way(
        "no-hope", "any open server, late or not", replace(BASE, on_time_wait_share=0.0)
    ),
    Way(
        "patient",
        "wait to the end",
        replace(BASE, deadline_share=0.9, patience_share=0.95),
    ),
    Way("hasty", "refuse early", replace(BASE, deadline_share=0.1, patience_share=0.3)),
    Way("no-forecast", "no refusal on arrival", replace(BASE, max_forecast_share=1e9)),
    Way("strict", "ranks may starve", replace(BASE, min_grant_share=0.0)),
    Way("first-output", "place by first output", replace(BASE, occupancy_weight=0.0)),
    Way("arrival", "first come, first served", BASE, ArrivalOrder()),
    Way("objective", "earliest objective first", BASE, LatestStartOrder()),
    Way(
        "groups",
        "three coordinators, a third of all places",
        BASE,
        GroupsSharingSlots(),
    ),
    Way(
        "split",
        "three coordinators, a third of the servers",
        BASE,
        GroupsSplittingServers(),
    ),
    Way("alone", "each VM on its share of the places", BASE, LocalCoordinators()),
    Way("least-own", "fewest own, no waiting", UNBOUNDED, LeastOwnRequests()),
    Way(
        "two-choices", "less loaded of two, no waiting", UNBOUNDED, PowerOfTwoChoices()
    ),
)


def find_way(name: str) -> Way:
    """Return a way by its name; raise KeyError for an unknown one."""
    return {way.name: way for way in WAYS}[name]
