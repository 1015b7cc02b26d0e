"""What coordinators granted of quotas and retries, handed over to the next one."""

from __future__ import annotations

from msgspec.structs import replace

from fireflyquay.world import Incarnation

from ._config_replica import ConfigReplica
from ._control_message import Handover
from ._fleet_knowledge import FleetKnowledge
from ._quota_limiter import QuotaLimiter
from ._retry_budget import RetryBudget
from ._usage_messages import CoordinatorUsage, Ledger, UsageHistory, is_valid

# Seconds for which all followers are sent the same ledger.
LEDGER_INTERVAL_SECONDS = 0.1


class LimitHistory:
    """Exchange with other VMs what was granted recently.

    Guards against limits that start afresh with each coordinator.
    """

    def __init__(
        self,
        own: Incarnation,
        config: ConfigReplica,
        quotas: QuotaLimiter,
        retries: RetryBudget,
        knowledge: FleetKnowledge,
    ) -> None:
        self._own = own
        self._config = config
        self._quotas = quotas
        self._retries = retries
        self._knowledge = knowledge
        self.window_seconds = max(quotas.window_seconds, retries.window_seconds)
        # The latest ledger of each other coordinator, and when it was made.
        self._ledgers: dict[Incarnation, tuple[float, Ledger]] = {}
        # The latest own ledger, and when it was made.
        self._own_ledger: tuple[float, Ledger] | None = None

    def mark_unknown(self, now: float) -> None:
        """Assume nothing about the usage before the given time."""
        self._knowledge.mark_unknown(now)

    def record_usage(
        self, vm: Incarnation, granted: tuple[CoordinatorUsage, ...], now: float
    ) -> None:
        """Record all that each coordinator granted a VM recently."""
        self._quotas.record_usage(vm, granted, self._own, now)
        self._retries.record_usage(vm, granted, self._own, now)

    def apply_handover(
        self, sender: Incarnation, handover: Handover, now: float
    ) -> None:
        """Learn what was granted before this VM began to coordinate."""
        history = handover.history
        if history is None:
            self._quotas.record_sums(sender, handover.usage, now)
            return
        self._knowledge.adopt(history.known_seconds, now)
        for ledger in history.ledgers:
            self.adopt_ledger(ledger, now)
        self.record_usage(sender, history.granted, now)

    def adopt_ledger(self, ledger: Ledger, now: float) -> None:
        """Remember what another coordinator says to be left."""
        self._knowledge.adopt(ledger.known_seconds, now)
        made_at = now - ledger.age_seconds
        known = self._ledgers.get(ledger.coordinator)
        is_late = known is not None and known[0] >= made_at
        is_own = ledger.coordinator == self._own
        if is_own or is_late or not is_valid(ledger.age_seconds):
            return
        self._ledgers[ledger.coordinator] = made_at, ledger
        self._quotas.adopt_ledger(ledger, now)
        self._retries.adopt_ledger(ledger, now)

    def make_ledger(self, now: float) -> Ledger:
        """Return what is left of limits, for the VMs that follow this one."""
        latest = self._own_ledger
        if latest is None or now - latest[0] > LEDGER_INTERVAL_SECONDS:
            ledger = Ledger(
                self._own,
                0.0,
                self._knowledge.get_known_seconds(now),
                self._quotas.list_deficits(self._config.get_account, now),
                self._retries.list_usage(now),
            )
            latest = self._own_ledger = now, ledger
        made_at, ledger = latest
        return replace(ledger, age_seconds=now - made_at)

    def make_history(
        self, granted: tuple[CoordinatorUsage, ...], now: float
    ) -> UsageHistory:
        """Return what the next coordinator needs to know from this VM."""
        since = now - self.window_seconds
        self._ledgers = {key: it for key, it in self._ledgers.items() if it[0] >= since}
        others = [
            # The time for which its coordinator knew has been adopted.
            replace(ledger, age_seconds=now - made_at, known_seconds=0.0)
            for made_at, ledger in self._ledgers.values()
        ]
        known_seconds = self._knowledge.get_known_seconds(now)
        ledgers = (*others, self.make_ledger(now))
        return UsageHistory(known_seconds, granted, ledgers)
