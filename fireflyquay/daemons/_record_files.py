"""TOML files that describe contracts and backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from fireflyquay.checks import SettingsFault, join_faults, parse_document, read_text
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendServerId,
    BackendState,
    Code,
    Contract,
    ContractState,
    CustomerId,
    FireflyquayError,
    Limits,
    PoolId,
    Tier,
    ZoneId,
)

Port = Annotated[int, Meta(ge=1, le=65535)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Host = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.:_-]{1,253}$")]
Count = Annotated[int, Meta(ge=1, le=10**9)]
Rate = Annotated[float, Meta(gt=0, le=1e9)]
BearerToken = Annotated[str, Meta(pattern=r"^[\x21-\x7e]{8,200}$")]


class TierName(StrEnum):
    """Enumerate the names of tiers in contract files."""

    URGENT = "URGENT"
    STANDARD = "STANDARD"
    BATCH = "BATCH"


@dataclass(frozen=True, slots=True)
class LimitsTable:
    """Hold the [limits] table of a contract file."""

    requests_per_second: Rate
    tokens_per_second: Rate
    in_flight: Count


@dataclass(frozen=True, slots=True)
class ContractFile:
    """Hold the contents of a contract file."""

    customer: Name
    token: BearerToken
    tiers: dict[str, TierName]
    limits: LimitsTable
    share: Rate = 1.0
    state: ContractState = ContractState.ACTIVE


@dataclass(frozen=True, slots=True)
class BackendFile:
    """Hold the contents of a backend server file."""

    server: Name
    pool: Name
    kind: BackendKind
    zone: Name
    host: Host
    port: Port
    slots: Count
    token_slots: Count
    checks_fencing: bool = False


def parse_contract(
    text: str,
) -> tuple[Contract | None, tuple[SettingsFault, ...]]:
    """Return the contract that a file describes, or None with all faults."""
    file, faults = parse_document(text, ContractFile)
    if file is None:
        return None, faults
    limits = Limits(
        file.limits.requests_per_second,
        file.limits.tokens_per_second,
        file.limits.in_flight,
    )
    tiers = {kind: Tier[name.value] for kind, name in file.tiers.items()}
    customer = CustomerId(file.customer)
    return Contract(customer, file.token, tiers, limits, file.share, file.state), ()


def parse_backend(
    text: str,
) -> tuple[BackendServer | None, tuple[SettingsFault, ...]]:
    """Return the backend server of a file, in state JOINING, or None and all faults."""
    file, faults = parse_document(text, BackendFile)
    if file is None:
        return None, faults
    backend = BackendServer(
        server=BackendServerId(file.server),
        pool=PoolId(file.pool),
        kind=file.kind,
        zone=ZoneId(file.zone),
        host=file.host,
        port=file.port,
        slots=file.slots,
        token_slots=file.token_slots,
        state=BackendState.JOINING,
        checks_fencing=file.checks_fencing,
    )
    return backend, ()


def load_contract(path: str | Path) -> Contract:
    """Load a contract; raise FireflyquayError with BAD_CONTRACT, all faults."""
    contract, faults = parse_contract(read_text(path, Code.BAD_CONTRACT))
    if contract is None:
        raise FireflyquayError(Code.BAD_CONTRACT, join_faults(faults))
    return contract


def load_backend(path: str | Path) -> BackendServer:
    """Load a backend server; raise FireflyquayError with BAD_SETTINGS, all faults."""
    backend, faults = parse_backend(read_text(path, Code.BAD_SETTINGS))
    if backend is None:
        raise FireflyquayError(Code.BAD_SETTINGS, join_faults(faults))
    return backend
