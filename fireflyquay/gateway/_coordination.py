"""Factory of the coordinator that decides for this VM and its followers."""

from __future__ import annotations

import random

from fireflyquay.dispatch import (
    ConfigBook,
    Coordinator,
    Grantor,
    GrantorSettings,
    QuotaBook,
    RepeatBudget,
)

from ._settings import PromiseSettings

# Share of the retry budget that one coordinator uses: when the coordinator changes, the
# new one doesn't know how many retries the old one granted.
RETRY_BUDGET_SHARE = 0.6
# Shares of the quotas' overshoot and slack that one coordinator grants. The rest covers
# grants that VMs make on their own while another coordinator takes over.
QUOTA_OVERSHOOT_SHARE = 0.5
QUOTA_SLACK_SHARE = 0.75


def make_coordinator(
    promises: PromiseSettings,
    config: ConfigBook,
    settings: GrantorSettings | None,
    rng: random.Random,
) -> Coordinator:
    """Return a coordinator that keeps the guaranteed bounds when the role moves."""
    repeats = RepeatBudget(
        promises.repeat_ratio * RETRY_BUDGET_SHARE,
        promises.repeat_slack * RETRY_BUDGET_SHARE,
        promises.repeat_window,
    )
    quotas = QuotaBook(
        promises.quota_overshoot * QUOTA_OVERSHOOT_SHARE,
        promises.quota_slack * QUOTA_SLACK_SHARE,
    )
    grantor = Grantor(settings or GrantorSettings(), rng)
    return Coordinator(config, grantor, repeats, quotas)
