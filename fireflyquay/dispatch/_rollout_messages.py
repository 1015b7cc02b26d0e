"""Stored record of a roll-out: its phase, exposure and evidence."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, NewType

import msgspec
from msgspec import Meta

from fireflyquay.world import (
    MAX_COUNT,
    BackendServerId,
    SoftwareVersion,
)

# Other programs may write the record.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# Names the part of the record that one coordinator writes.
PartId = NewType("PartId", str)


class RolloutPhase(StrEnum):
    """Name the phase of a roll-out; the last three are final."""

    NONE = "NONE"
    TRIAL = "TRIAL"
    SWITCH = "SWITCH"
    COMPLETED = "COMPLETED"
    ROLLED_BACK = "ROLLED_BACK"
    WITHDRAWN = "WITHDRAWN"

    @property
    def is_final(self) -> bool:
        """Return whether the phase never changes for the same order."""
        return self in FINAL_PHASES


FINAL_PHASES = (
    RolloutPhase.COMPLETED,
    RolloutPhase.ROLLED_BACK,
    RolloutPhase.WITHDRAWN,
)


class ServerEvidence(msgspec.Struct, frozen=True):
    """Count the responses of one backend server on one route."""

    version: SoftwareVersion
    route: str
    backend: BackendServerId
    responses: Count = 0
    failures: Count = 0
    # Sound responses that took several times as long as usual with the old version.
    slow: Count = 0


class ProgressPart(msgspec.Struct, frozen=True):
    """Hold what one coordinator counted; all counts only grow."""

    # Requests that reached the service since the order.
    seen: Count = 0
    # Requests that may be granted to the target.
    reserved: Count = 0
    evidence: tuple[ServerEvidence, ...] = ()


class RolloutProgress(msgspec.Struct, frozen=True):
    """Hold how far a roll-out is, and the exposure that coordinators reserved.

    Nothing is granted to the target beyond what an acknowledged write has reserved.
    """

    target: SoftwareVersion = SoftwareVersion("")
    phase: RolloutPhase = RolloutPhase.NONE
    # Time at which the order was first read, in milliseconds since the epoch.
    started_ms: Count = 0
    parts: dict[PartId, ProgressPart] = {}
    # Cause of the phase, for operators.
    reason: str = ""
    # Whether counts of the same order were lost, so that the slack may be used up.
    has_lost_history: bool = False
    # Number of times that the store had come back from a copy at the write.
    restore_count: Count = 0

    @property
    def seen(self) -> int:
        """Return the requests that reached the service since the order."""
        return sum(it.seen for it in self.parts.values())

    @property
    def reserved(self) -> int:
        """Return the requests that may be granted to the target in all."""
        return sum(it.reserved for it in self.parts.values())
