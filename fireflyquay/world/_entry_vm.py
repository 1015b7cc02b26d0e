"""Entry VMs: the machines that clients connect to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._ids import Incarnation, RegionId, ZoneId


class MemberState(StrEnum):
    """Name the state of a member in the member table of one entry VM."""

    ALIVE = "ALIVE"
    SUSPECT = "SUSPECT"
    LEAVING = "LEAVING"
    DEAD = "DEAD"


@dataclass(frozen=True, slots=True)
class EntryVm:
    """Identify one process of an entry VM, and hold its addresses and capacity."""

    incarnation: Incarnation
    zone: ZoneId
    region: RegionId
    host: str
    # Port for clients.
    http_port: int
    # Port for messages between entry VMs.
    peer_port: int
    # Processor and network capacity in percent of the reference VM's, at most 100.
    strength: int = 100


class VmListingState(StrEnum):
    """Name the state of a VM in the platform's list."""

    LIVE = "LIVE"
    LEAVING = "LEAVING"


@dataclass(frozen=True, slots=True)
class VmListing:
    """Hold one entry of the platform's list of VMs, which may be out of date."""

    host: str
    # Port for messages between entry VMs.
    peer_port: int
    zone: ZoneId
    region: RegionId
    state: VmListingState = VmListingState.LIVE
