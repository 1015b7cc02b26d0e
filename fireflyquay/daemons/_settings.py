"""Settings of an entry VM, decoded from TOML."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from fireflyquay import decisions, membership
from fireflyquay.checks import (
    SettingsFault,
    join_faults,
    make_fault,
    parse_document,
    read_text,
)
from fireflyquay.world import Code, FireflyquayError, PoolId, WorkKind

Port = Annotated[int, Meta(ge=1, le=65535)]
# A port to listen on; 0 takes any that is free.
ListenPort = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Host = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.:_-]{1,253}$")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Count = Annotated[int, Meta(ge=1, le=10**9)]
Token = Annotated[str, Meta(pattern=r"^[\x21-\x7e]{0,200}$")]


class LogFormat(StrEnum):
    """Name how log records are written."""

    TEXT = "text"
    JSON = "json"


class LogLevel(StrEnum):
    """Name the least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Tell an entry VM its addresses and place."""

    host: Host
    # Port that callers use.
    http_port: ListenPort
    # Port that peers use.
    peer_port: ListenPort
    zone: Name
    region: Name
    # Bearer token of operators for trace and status; empty admits none.
    operator_token: Token = ""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Tell where the platform's object API is."""

    host: Host
    port: Port
    # Seconds to wait for an answer.
    timeout: Seconds = 2.0


@dataclass(frozen=True, slots=True)
class KindSettings:
    """Describe one kind of work."""

    name: Name
    pool: Name
    # Whether running it twice is harmless.
    idempotent: bool = False
    # Seconds from arrival within which the whole answer is useful.
    deadline: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Bound what callers may send and how long they may take."""

    max_header_bytes: Annotated[int, Meta(ge=1024, le=1 << 20)] = 16384
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 26)] = 1 << 20
    # Seconds to receive a whole request.
    read_timeout: Seconds = 10.0
    # Seconds that a connection may be idle or leave its answer unread.
    keep_alive: Seconds = 30.0
    # Bytes of answer held for a slow caller.
    write_buffer_bytes: Annotated[int, Meta(ge=1024, le=1 << 24)] = 65536


@dataclass(frozen=True, slots=True)
class TrailSettings:
    """Bound the trail in memory and in the store."""

    # Records held in memory.
    ring_records: Count = 20000
    # Seconds between flushes, each of one store write at most.
    flush_period: Seconds = 10.0


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Choose how the daemon logs."""

    format: LogFormat = LogFormat.TEXT
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, slots=True)
class BrokerSettings:
    """Bound what brokers hold; equal on all entry VMs."""

    # Requests that may wait for one pool.
    queue_limit: Count = 512
    # Seconds that an unused permit lasts.
    permit_lifetime: Seconds = 2.0


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Time how a silent entry VM is given up."""

    # Seconds that a suspected peer has to show that it runs.
    suspicion_timeout: Seconds = 1.5


@dataclass(frozen=True, slots=True)
class LimitsSettings:
    """Bound single requests; equal on all entry VMs."""

    # Prompt and output tokens that any contract may use at once.
    largest_request: Count = 32768
    # Seconds that a request may run; no kind's deadline may be longer.
    longest_run: Seconds = 120.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold all settings of one entry VM."""

    node: NodeSettings
    platform: PlatformSettings
    kinds: Annotated[tuple[KindSettings, ...], Meta(min_length=1)]
    http: HttpSettings = field(default_factory=HttpSettings)
    trail: TrailSettings = field(default_factory=TrailSettings)
    log: LogSettings = field(default_factory=LogSettings)
    broker: BrokerSettings = field(default_factory=BrokerSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    limits: LimitsSettings = field(default_factory=LimitsSettings)

    def get_work_kinds(self) -> dict[str, WorkKind]:
        """Map each kind's name to its description."""
        return {
            kind.name: WorkKind(
                kind.name, PoolId(kind.pool), kind.idempotent, kind.deadline
            )
            for kind in self.kinds
        }

    def get_decision_settings(self) -> decisions.NodeSettings:
        """Return what the node's decisions are set to."""
        return decisions.NodeSettings(
            membership=membership.MembershipSettings(
                suspicion_timeout=self.membership.suspicion_timeout
            ),
            allowances=decisions.AllowanceSettings(
                largest_request=self.limits.largest_request,
                longest_run=self.limits.longest_run,
            ),
            cells=decisions.CellSettings(
                queue_limit=self.broker.queue_limit,
                permit_lifetime=self.broker.permit_lifetime,
            ),
            quarantine=decisions.QuarantineSettings(
                longest_run=self.limits.longest_run
            ),
            trail=decisions.TrailSettings(
                most_records=self.trail.ring_records,
                flush=decisions.TrailFlushSettings(interval=self.trail.flush_period),
            ),
        )


def parse_settings(
    text: str,
) -> tuple[EntrySettings | None, tuple[SettingsFault, ...]]:
    """Decode settings, or return every fault in them."""
    settings, faults = parse_document(text, EntrySettings)
    if settings is None:
        return None, faults
    faults = tuple(_check_together(settings))
    return (None, faults) if faults else (settings, ())


def check_settings(text: str) -> list[SettingsFault]:
    """Find every fault of a settings text."""
    return list(parse_settings(text)[1])


def load_settings(path: str | Path) -> EntrySettings:
    """Read settings from a file; raise BAD_SETTINGS naming every fault."""
    settings, faults = parse_settings(read_text(path, Code.BAD_SETTINGS))
    if settings is None:
        raise FireflyquayError(Code.BAD_SETTINGS, join_faults(faults))
    return settings


def _check_together(settings: EntrySettings) -> list[SettingsFault]:
    faults = []
    seen: set[str] = set()
    for place, kind in enumerate(settings.kinds):
        if kind.name in seen:
            path = f"kinds[{place}].name"
            faults.append(make_fault(path, kind.name, "a new name", "stands twice"))
        seen.add(kind.name)
        if kind.deadline > settings.limits.longest_run:
            path = f"kinds[{place}].deadline"
            allowed = f"at most limits.longest_run, {settings.limits.longest_run:g}"
            faults.append(make_fault(path, kind.deadline, allowed, "is too long"))
    node = settings.node
    if node.http_port and node.http_port == node.peer_port:
        allowed = "a port other than node.http_port"
        faults.append(make_fault("node.peer_port", node.peer_port, allowed, "is taken"))
    return faults
