"""Waits on the way of a change from the store to a VM, and their sum."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.links import MIN_PATIENCE_SECONDS

# Seconds between two probes of another VM.
PROBE_INTERVAL_SECONDS = 0.25
# Seconds between checks of a replica's age.
AGE_CHECK_INTERVAL_SECONDS = 0.1
# Seconds that one response of the store, or of a VM, takes at most while both are well.
RESPONSE_SECONDS = 0.05
# Age in seconds at which a VM reads the store by itself, if the bound leaves room for
# more: other VMs confirm its replicas several times in that time.
MAX_OWN_READ_AGE_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class ReplicaTiming:
    """Divide the time within which a change is in force among the waits before it.

    The longest way is that of a VM whose own reads fail, as do those of its
    coordinator: a third VM misses its confirmation and reads the store; its next probe
    tells the coordinator, which requests a copy; the next probe of the first VM learns
    of it there and requests another.
    """

    # Seconds within which an acknowledged change is in force.
    bound: float
    # Seconds between two reads of the VM that reads for the fleet.
    read_period: float

    @property
    def own_read_age(self) -> float:
        """Return the age in seconds at which a VM reads instead of relying on others.

        It is at least the age that a replica has between two confirmations.
        """
        usual_age = self.read_period + PROBE_INTERVAL_SECONDS + 2 * RESPONSE_SECONDS
        affordable_age = self.bound - self._compute_later_waits()
        return max(usual_age, min(affordable_age, MAX_OWN_READ_AGE_SECONDS))

    def compute_longest_delay(self) -> float:
        """Return the sum of all waits until a change is in force, in seconds."""
        return self.own_read_age + self._compute_later_waits()

    @staticmethod
    def _compute_later_waits() -> float:
        read = AGE_CHECK_INTERVAL_SECONDS + MIN_PATIENCE_SECONDS + RESPONSE_SECONDS
        copy = PROBE_INTERVAL_SECONDS + 2 * RESPONSE_SECONDS
        return read + 2 * copy
