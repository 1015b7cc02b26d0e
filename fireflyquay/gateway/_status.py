"""State of a gateway as shown to operators."""

from __future__ import annotations

import msgspec

from fireflyquay.world import Incarnation, ZoneId


class GatewayStatus(msgspec.Struct, frozen=True):
    """Describe the replicas, membership and load of a gateway."""

    incarnation: Incarnation
    zone: ZoneId
    is_ready: bool
    # VMs that accept requests, as known to this one.
    vms: tuple[Incarnation, ...]
    coordinator: Incarnation
    config_version: int
    # Seconds since configuration and registry were last confirmed current; -1 if never.
    config_age: float
    backends_age: float
    # Number of backend servers by phase.
    backends: dict[str, int]
    in_progress: int
    # Number of this VM's requests that wait for a slot.
    waiting: int
