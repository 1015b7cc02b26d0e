"""Builds what decides for all VMs that turn to this one."""

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

# Part of the budget for repeats that is used: when the coordinator changes, the new one
# does not know what the old one gave out.
RETRY_BUDGET_SHARE = 0.6
# Parts of the overshoot and slack of quotas that one coordinator gives out: the rest
# covers what VMs decide by themselves when another one takes over.
QUOTA_OVERSHOOT_SHARE = 0.5
QUOTA_SLACK_SHARE = 0.75


def make_coordinator(
    promises: PromiseSettings,
    config: ConfigBook,
    settings: GrantorSettings | None,
    rng: random.Random,
) -> Coordinator:
    """Return a coordinator that keeps what was promised, also while it changes."""
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
