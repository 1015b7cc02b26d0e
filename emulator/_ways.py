"""Scheduler variants ("ways" on the command line) that experiments compare."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, replace

from fireflyquay.dispatch import PlacementSettings, SlotSchedulerSettings

from ._policies import (
    ArrivalOrder,
    GroupCoordinators,
    LatestStartOrder,
    LeastLocalRequests,
    LocalCoordinators,
    PartitionedServers,
    PowerOfTwoChoices,
    SchedulingPolicy,
)

DEFAULT_SETTINGS = SlotSchedulerSettings()
# Dispatches requests immediately, regardless of the number of runs.
UNLIMITED_SETTINGS = replace(DEFAULT_SETTINGS, runs_per_slot=1e9)


@dataclass(frozen=True, slots=True)
class Way:
    """Represent scheduler settings with an optional scheduling policy."""

    name: str
    description: str
    settings: SlotSchedulerSettings
    policy: SchedulingPolicy | None = None

    def install(self) -> AbstractContextManager[None]:
        """Use this variant's policy within the context."""
        return nullcontext() if self.policy is None else self.policy.install()


WAYS = (
    Way("today", "the gateway's default scheduler", DEFAULT_SETTINGS),
    Way(
        "window-0.7", "0.7 runs per slot", replace(DEFAULT_SETTINGS, runs_per_slot=0.7)
    ),
    Way(
        "window-1.5", "1.5 runs per slot", replace(DEFAULT_SETTINGS, runs_per_slot=1.5)
    ),
    Way(
        "no-hope",
        "use any available server, even if the request will be late",
        replace(DEFAULT_SETTINGS, placement=PlacementSettings(max_wait_share=0.0)),
    ),
    Way(
        "patient",
        "reject only shortly before the deadline",
        replace(
            DEFAULT_SETTINGS, max_deadline_wait_share=0.9, max_give_up_wait_share=0.95
        ),
    ),
    Way(
        "hasty",
        "reject long before the deadline",
        replace(
            DEFAULT_SETTINGS, max_deadline_wait_share=0.1, max_give_up_wait_share=0.3
        ),
    ),
    Way(
        "no-forecast",
        "no rejection on arrival",
        replace(DEFAULT_SETTINGS, max_forecast_wait_share=1e9),
    ),
    Way(
        "strict",
        "no minimum share for lower ranks",
        replace(DEFAULT_SETTINGS, min_grant_share=0.0),
    ),
    Way(
        "first-output",
        "choose servers by time to first output",
        replace(DEFAULT_SETTINGS, placement=PlacementSettings(occupancy_weight=0.0)),
    ),
    Way("arrival", "first come, first served", DEFAULT_SETTINGS, ArrivalOrder()),
    Way("objective", "order by latest start", DEFAULT_SETTINGS, LatestStartOrder()),
    Way(
        "groups",
        "three coordinators, each with a third of the slots",
        DEFAULT_SETTINGS,
        GroupCoordinators(),
    ),
    Way(
        "split",
        "three coordinators, each with a third of the servers",
        DEFAULT_SETTINGS,
        PartitionedServers(),
    ),
    Way(
        "alone",
        "each VM is the coordinator of its share of the slots",
        DEFAULT_SETTINGS,
        LocalCoordinators(),
    ),
    Way(
        "least-own",
        "server with the fewest requests from the same VM, no queue",
        UNLIMITED_SETTINGS,
        LeastLocalRequests(),
    ),
    Way(
        "two-choices",
        "less loaded of two servers, no queue",
        UNLIMITED_SETTINGS,
        PowerOfTwoChoices(),
    ),
)


def find_way(name: str) -> Way:
    """Return a variant by its name; raise KeyError for an unknown one."""
    return {way.name: way for way in WAYS}[name]
