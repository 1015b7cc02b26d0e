"""Contracts: the tiers, limits and share of each customer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from ._ids import ChangeId, CustomerId


class Tier(IntEnum):
    """Name the priority ranks of contracts; a lower number is served first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


class ContractState(StrEnum):
    """State whether requests are admitted under a contract."""

    ACTIVE = "ACTIVE"
    ENDED = "ENDED"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limit a customer's total usage over all entry VMs."""

    # Maximum number of requests admitted per second.
    requests_per_second: float
    # Maximum number of prompt and output tokens admitted per second.
    tokens_per_second: float
    # Maximum number of dispatched requests that have not ended.
    in_flight: int


@dataclass(frozen=True, slots=True)
class Contract:
    """Hold the tiers, limits and share of one customer."""

    customer: CustomerId
    # Secret that the customer's clients send as a bearer token.
    token: str
    # Tier per kind of request; requests of other kinds are rejected.
    tiers: dict[str, Tier]
    limits: Limits
    # Weight relative to other customers of the same tier.
    share: float = 1.0
    state: ContractState = ContractState.ACTIVE


@dataclass(frozen=True, slots=True)
class Change:
    """Record one accepted change for audits."""

    change_id: ChangeId
    # Operator's name.
    who: str
    # Seconds since the epoch, by the clock of the operator's machine.
    at: float
    # JSON of the previous value; empty for the first version.
    before: str
    # JSON of the new value.
    after: str


@dataclass(frozen=True, slots=True)
class ContractRecord:
    """Hold the stored form of a contract, with its recent changes."""

    contract: Contract
    # 1 for the first record of a contract, and 1 more after each change.
    version: int
    # Ordered from oldest to newest.
    changes: tuple[Change, ...] = ()
