"""Factory of the coordinator that decides for this VM and its followers."""

from __future__ import annotations

import random

from fireflyquay.dispatch import (
    ConfigReplica,
    Coordinator,
    QuotaLimiter,
    QuotaMargin,
    RetryBudget,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.world import Incarnation

from ._settings import PromiseSettings

# Share of the retry budget that one coordinator uses: when the coordinator changes, the
# new one doesn't know how many retries the old one granted.
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
) -> Coordinator:
    """Return a coordinator that keeps the bounds also when another VM takes over."""
    retries = RetryBudget(
        promises.repeat_ratio * RETRY_BUDGET_SHARE,
        promises.repeat_slack * RETRY_BUDGET_SHARE,
        promises.repeat_window,
    )
    allowance = QuotaMargin(
        promises.quota_overshoot * QUOTA_OVERSHOOT_SHARE,
        promises.quota_slack * QUOTA_SLACK_SHARE,
    )
    reserve = QuotaMargin(
        promises.quota_overshoot - allowance.ratio,
        promises.quota_slack - allowance.units,
    )
    quotas = QuotaLimiter(allowance, reserve, promises.quota_window)
    scheduler = SlotScheduler(settings or SlotSchedulerSettings(), rng)
    return Coordinator(own, config, scheduler, retries, quotas)
