"""Entry VMs: the machines that callers connect to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._ids import Incarnation, RegionId, ZoneId


class MemberState(StrEnum):
    """Order what a node believes of a peer."""

    ALIVE = "ALIVE"
    SUSPECT = "SUSPECT"
    LEAVING = "LEAVING"
    DEAD = "DEAD"


@dataclass(frozen=True, slots=True)
class EntryVm:
    """Describe one running entry VM process."""

    incarnation: Incarnation
    zone: ZoneId
    region: RegionId
    host: str
    # Port that callers use.
    http_port: int
    # Port that peers use.
    peer_port: int
    # Hundredths of the processor and link of a usual VM, 100 at most.
    strength: int = 100


class VmListingState(StrEnum):
    """Tell what the platform's list shows of a VM."""

    LIVE = "LIVE"
    LEAVING = "LEAVING"


@dataclass(frozen=True, slots=True)
class VmListing:
    """Hold one entry of the platform's lagging list of VMs."""

    host: str
    # Port that peers use.
    peer_port: int
    zone: ZoneId
    region: RegionId
    state: VmListingState = VmListingState.LIVE
