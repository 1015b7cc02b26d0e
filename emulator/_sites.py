"""Emulated sites with the figures of the data sheets of real sites."""

from __future__ import annotations

from dataclasses import replace

from fireflyquay.world import RepeatRule

from ._site import (
    EngineModel,
    Kind,
    RolloutPlan,
    ServiceModel,
    Site,
    VersionFault,
    Wave,
)

LLM, APP = "llm", "app"
ONCE, AGAIN = RepeatRule.AT_MOST_ONCE, RepeatRule.IDEMPOTENT
RESUMED = RepeatRule.RESUMABLE

BROLGA_KINDS = (
    Kind("cert-report", LLM, ONCE, 8.65, 0, 0.8, 0.2, 15, 7.8, 2.4, 6610, 60, 76),
    Kind("job-note", LLM, RESUMED, 11.1, 1, 0.3, 0.2, 12, 1.5, 0.45, 628, 60, 58),
    Kind("quote-tag", LLM, RESUMED, 11.7, 2, 0.4, 0.2, 3, 0.38, 0.11, 1800, 60, 5),
    Kind("booking", APP, ONCE, 7.85, 0, 0.4, 0, 1.5, 0.3, 0.09, work=0.09),
    Kind("status-read", APP, AGAIN, 4.0, 1, 0.4, 0, 1.5, 0.3, 0.09, work=0.09),
)
BROLGA = Site(
    "brolga",
    BROLGA_KINDS,
    {LLM: EngineModel(5, 10, 0.00382, 0.00005, 68_200, 300, 5, 529_743)},
    {APP: ServiceModel(3, 6)},
    vms=8,
    client_delay=0.003,
    cross_zone_delay=0.0009,
)
TREIPUU_KINDS = (
    Kind("batch-order", LLM, ONCE, 6.55, 0, 1.0, 0.2, 15, 10, 3.1, 6610, 60, 96),
    Kind("lathe-ask", LLM, RESUMED, 12.9, 1, 0.3, 0.2, 15, 1.4, 0.41, 628, 60, 73),
    Kind("pin-label", LLM, RESUMED, 11.3, 2, 0.4, 0.2, 3, 0.41, 0.12, 1800, 60, 6),
    Kind("timber-book", APP, ONCE, 7.7, 0, 0.2, 0, 1.0, 0.3, 0.09, work=0.045),
    Kind("order-look", APP, AGAIN, 4.0, 1, 0.2, 0, 1.0, 0.3, 0.09, work=0.045),
)
TREIPUU = Site(
    "treipuu",
    TREIPUU_KINDS,
    {LLM: EngineModel(5, 10, 0.00423, 0.00005, 64_200, 300, 4, 601_731)},
    {APP: ServiceModel(3, 6)},
    vms=9,
)
BROLGA_GROWN_KINDS = (
    Kind("cert-report", LLM, ONCE, 119, 0, 0.845, 0.3, 12.7, 6.1, 1.9, 6610, 60, 42),
    Kind("job-note", LLM, RESUMED, 71.6, 1, 0.319, 0.3, 10.6, 2.3, 0.68, 628, 60, 32),
    Kind("quote-tag", LLM, RESUMED, 202, 2, 0.422, 0.3, 2.64, 0.25, 0.075, 1800, 60, 3),
    Kind("booking", APP, ONCE, 98.2, 0, 0.163, 0, 0.676, 0.3, 0.09, work=0.0225),
    Kind("status-read", APP, AGAIN, 39.2, 1, 0.162, 0, 0.671, 0.3, 0.09, work=0.0225),
)
BROLGA_GROWN = Site(
    "brolga-grown",
    BROLGA_GROWN_KINDS,
    {LLM: EngineModel(70, 5, 0.00382, 0.00005, 68_200, 300, 9, 351_623)},
    {APP: ServiceModel(4, 6)},
    vms=30,
    zones=("a", "b", "c", "d"),
    client_delay=0.003,
    cross_zone_delay=0.0009,
    accounts=16,
)
TREIPUU_LARGE_KINDS = (
    Kind("batch-order", LLM, ONCE, 86.4, 0, 1.023, 0.25, 15.3, 7, 2, 6610, 60, 64),
    Kind("lathe-ask", LLM, RESUMED, 65.6, 1, 0.309, 0.25, 12.4, 2.1, 0.63, 628, 60, 49),
    Kind("pin-label", LLM, ONCE, 173, 2, 0.411, 0.25, 3.08, 0.25, 0.074, 1800, 60, 4),
    Kind("timber-book", APP, ONCE, 81.2, 2, 0.209, 0, 1.05, 0.3, 0.09, work=0.045),
    Kind("order-look", APP, AGAIN, 32.6, 2, 0.208, 0, 1.04, 0.3, 0.09, work=0.045),
)
TREIPUU_LARGE = Site(
    "treipuu-large",
    TREIPUU_LARGE_KINDS,
    {LLM: EngineModel(62, 5, 0.00423, 0.00005, 64_200, 1024, 6, 407_491)},
    {APP: ServiceModel(5, 6)},
    vms=195,
    zones=("a", "b", "c", "d", "e"),
    client_delay=0.003,
    cross_zone_delay=0.0009,
    accounts=19,
)
SITES = {site.name: site for site in (BROLGA, TREIPUU, BROLGA_GROWN, TREIPUU_LARGE)}
# Versions that a day with a roll-out brings: a good one, one that fails, and one that
# turns slow after a while.
ROLLOUT_FAULTS = {
    "rollout": None,
    "rollout-failing": VersionFault(failure_rate=0.4),
    "rollout-slow": VersionFault(slowdown=5.0, delay=5.0),
}
ROLLOUT_TARGET = "v2"
ROLLOUT_START_SECONDS, ROLLOUT_DURATION_SECONDS = 2.0, 16.0
DAYS = ("quiet", "scale", *ROLLOUT_FAULTS)
SCALE_DAY_WAVES = (Wave(4.0, 4.0, 1.8), Wave(14.0, 5.0, 2.2))


def find_site(name: str, day: str = "quiet") -> Site:
    """Return a site on a given day; raise KeyError if either is unknown."""
    site = SITES[name]
    if day == "quiet":
        return site
    if day == "scale":
        return replace(site, load=1.15, waves=SCALE_DAY_WAVES, disconnect_share=0.05)
    plan = RolloutPlan(
        LLM,
        ROLLOUT_TARGET,
        ROLLOUT_START_SECONDS,
        ROLLOUT_DURATION_SECONDS,
        ROLLOUT_FAULTS[day],
    )
    return replace(site, rollouts=(plan,))
