"""Orders to move a service's traffic to another software version."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._ids import ServiceId, SoftwareVersion


class RolloutState(StrEnum):
    """State how far a roll-out is; the last two are final."""

    ACTIVE = "ACTIVE"
    COMPLETED = "COMPLETED"
    ROLLED_BACK = "ROLLED_BACK"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Hold an operator's order to move a service's traffic to a software version."""

    service: ServiceId
    target: SoftwareVersion
    # Time limit for the verdict, counted from the order.
    duration_seconds: float
    # Revision of the order's object in the store, for conditional writes.
    revision: int
    # State that was written last, and the version that it is about; None if none was.
    state: RolloutState | None = None
    stated_target: SoftwareVersion | None = None
