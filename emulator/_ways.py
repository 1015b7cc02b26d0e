"""Ways: variants of settings and scheduling policies that experiments compare."""

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
# Dispatches requests at once, however many run already.
UNBOUNDED = replace(BASE, runs_per_slot=1e9)


@dataclass(frozen=True, slots=True)
class Way:
    """Represent one variant: scheduler settings and, if any, another policy."""

    name: str
    description: str
    settings: SlotSchedulerSettings
    policy: SchedulingPolicy | None = None

    def install(self) -> AbstractContextManager[None]:
        """Use this way's policy within the context."""
        return nullcontext() if self.policy is None else self.policy.install()


WAYS = (
    Way("today", "the daemon as it is", BASE),
    Way("window-0.7", "0.7 runs per slot", replace(BASE, runs_per_slot=0.7)),
    Way("window-1.5", "1.5 runs per slot", replace(BASE, runs_per_slot=1.5)),
    Way(
        "no-hope",
        "any available server, on time or not",
        replace(BASE, max_placement_wait_share=0.0),
    ),
    Way(
        "patient",
        "reject late",
        replace(BASE, max_deadline_wait_share=0.9, max_give_up_wait_share=0.95),
    ),
    Way(
        "hasty",
        "reject early",
        replace(BASE, max_deadline_wait_share=0.1, max_give_up_wait_share=0.3),
    ),
    Way(
        "no-forecast",
        "no rejection on arrival",
        replace(BASE, max_forecast_wait_share=1e9),
    ),
    Way("strict", "lower ranks may starve", replace(BASE, min_grant_share=0.0)),
    Way(
        "first-output",
        "choose servers by time to first output",
        replace(BASE, occupancy_weight=0.0),
    ),
    Way("arrival", "first come, first served", BASE, ArrivalOrder()),
    Way("objective", "earliest latest start first", BASE, LatestStartOrder()),
    Way(
        "groups",
        "three coordinators, each with a third of the slots",
        BASE,
        GroupsSharingSlots(),
    ),
    Way(
        "split",
        "three coordinators, each with a third of the servers",
        BASE,
        GroupsSplittingServers(),
    ),
    Way("alone", "each VM grants its share of the slots", BASE, LocalCoordinators()),
    Way(
        "least-own",
        "server with the fewest own requests, no waiting",
        UNBOUNDED,
        LeastOwnRequests(),
    ),
    Way(
        "two-choices",
        "less loaded of two servers, no waiting",
        UNBOUNDED,
        PowerOfTwoChoices(),
    ),
)


def find_way(name: str) -> Way:
    """Return a way by its name; raise KeyError for an unknown one."""
    return {way.name: way for way in WAYS}[name]
