"""Messages between VMs about what coordinators granted recently."""

from __future__ import annotations

import msgspec

from fireflyquay.world import ClientAccountId, Incarnation, QuotaUnit


class GrantedUsage(msgspec.Struct, frozen=True, array_like=True):
    """Describe what a client account was granted about the same time."""

    account: ClientAccountId
    age_seconds: float
    requests: int
    tokens: float


class CoordinatorUsage(msgspec.Struct, frozen=True, array_like=True):
    """Describe what one coordinator granted to the sender recently."""

    coordinator: Incarnation
    usage: tuple[GrantedUsage, ...]


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


class UsageHistory(msgspec.Struct, frozen=True, array_like=True):
    """Report what the sender was granted recently, and what it knows of others."""

    known_seconds: float
    granted: tuple[CoordinatorUsage, ...]
    ledgers: tuple[Ledger, ...]
