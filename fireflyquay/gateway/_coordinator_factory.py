"""Factory of the coordinator that decides for this VM and its followers."""

from __future__ import annotations

import random

from fireflyquay.dispatch import (
    UNKNOWN_STARTS_PER_WINDOW,
    ConfigReplica,
    Coordinator,
    FleetKnowledge,
    QuotaLimiter,
    QuotaMargin,
    RetryBudget,
    RolloutBounds,
    Rollouts,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import Incarnation

from ._settings import PromiseSettings, RolloutSettings

# Share of the retry budget that coordinators use. The rest covers retries that no VM
# knows of any more: those granted just before a change, and before all VMs were killed.
RETRY_BUDGET_SHARE = 0.6
# Shares of the quotas' overshoot and slack that one coordinator grants. The rest covers
# grants that VMs make on their own while another coordinator takes over.
QUOTA_OVERSHOOT_SHARE = 0.5
QUOTA_SLACK_SHARE = 0.75


def make_coordinator(
    own: Incarnation,
    promises: PromiseSettings,
    config: ConfigReplica,
    settings: SlotSchedulerSettings | None,
    rng: random.Random,
    rollout: RolloutSettings | None = None,
    errors: UnexpectedErrors | None = None,
) -> Coordinator:
    """Return a coordinator that keeps the bounds also when another VM takes over."""
    knowledge = FleetKnowledge()
    retries = RetryBudget(
        promises.repeat_ratio * RETRY_BUDGET_SHARE,
        promises.repeat_slack * RETRY_BUDGET_SHARE,
        promises.repeat_window,
        promises.repeat_slack * (1 - RETRY_BUDGET_SHARE) / UNKNOWN_STARTS_PER_WINDOW,
        knowledge,
    )
    allowance = QuotaMargin(
        promises.quota_overshoot * QUOTA_OVERSHOOT_SHARE,
        promises.quota_slack * QUOTA_SLACK_SHARE,
    )
    reserve = QuotaMargin(
        promises.quota_overshoot - allowance.ratio,
        promises.quota_slack - allowance.units,
    )
    quotas = QuotaLimiter(allowance, reserve, promises.quota_window, knowledge)
    bounds = None
    if rollout is not None:
        bounds = RolloutBounds(
            rollout.exposure_share, rollout.exposure_slack, rollout.rollback
        )
    rollouts = Rollouts(own, bounds)
    scheduler = SlotScheduler(
        settings or SlotSchedulerSettings(), rng, rollouts, errors
    )
    return Coordinator(own, config, scheduler, retries, quotas, knowledge)
