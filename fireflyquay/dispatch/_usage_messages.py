"""Messages between VMs about what coordinators granted recently."""

from __future__ import annotations

import msgspec

from fireflyquay.world import ClientAccountId, Incarnation, QuotaUnit, ServiceId

# Numbers from this on are no counts or ages.
MAX_NUMBER = 1e12


class GrantedUsage(msgspec.Struct, frozen=True, array_like=True):
    """Describe what a client account was granted about the same time."""

    account: ClientAccountId
    age_seconds: float
    requests: int
    tokens: float


class ServiceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Describe how many requests and retries a service got about the same time."""

    service: ServiceId
    age_seconds: float
    requests: int
    retries: int


class CoordinatorUsage(msgspec.Struct, frozen=True, array_like=True):
    """Describe what one coordinator granted to the sender recently."""

    coordinator: Incarnation
    usage: tuple[GrantedUsage, ...]
    services: tuple[ServiceUsage, ...] = ()


class QuotaDeficit(msgspec.Struct, frozen=True, array_like=True):
    """Describe a token bucket that lacks units to be full."""

    account: ClientAccountId
    unit: QuotaUnit
    units: float


class Ledger(msgspec.Struct, frozen=True, array_like=True):
    """Tell followers what is left of limits, since any of them may have to take over.

    It holds the usage of VMs that end together with the coordinator.
    """

    coordinator: Incarnation
    # Seconds since the ledger was made.
    age_seconds: float
    # Seconds for which the usage of the fleet has been known without a gap.
    known_seconds: float
    deficits: tuple[QuotaDeficit, ...]
    # Requests and retries; their ages count from when the ledger was made.
    services: tuple[ServiceUsage, ...] = ()


class UsageHistory(msgspec.Struct, frozen=True, array_like=True):
    """Report what the sender was granted recently, and what it knows of others."""

    known_seconds: float
    granted: tuple[CoordinatorUsage, ...]
    ledgers: tuple[Ledger, ...]


def is_valid(*numbers: float) -> bool:
    """Return whether numbers of a message are counts or ages."""
    return all(0 <= it < MAX_NUMBER for it in numbers)
