"""Settings of an entry VM, decoded from TOML."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from fireflyquay import gateway
from fireflyquay.checks import (
    SettingsFault,
    join_faults,
    make_fault,
    parse_document,
    read_text,
)
from fireflyquay.world import Code, FireflyquayError

Port = Annotated[int, Meta(ge=1, le=65535)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Host = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.:_-]{1,253}$")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Token = Annotated[str, Meta(pattern=r"^[\x21-\x7e]{0,200}$")]

# Repeats for each request, repeats besides, and the window in seconds: a pool whose
# backend servers fail at once gets at most a fifth more.
RETRY_RATIO = 0.2
RETRY_SLACK = 10.0
RETRY_WINDOW_SECONDS = 10.0
# Seconds that callers keep the list of entry VMs.
ENTRY_LIST_TTL_SECONDS = 20.0
# Seconds beyond the longest deadline that a stop takes at most.
STOP_MARGIN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Tell an entry VM its addresses and place."""

    host: Host
    # Port that callers use.
    http_port: Port
    # Port that peers use.
    peer_port: Port
    zone: Name
    region: Name
    # Bearer token of operators for status; empty admits none.
    operator_token: Token = ""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Tell where the platform's object API is."""

    host: Host
    port: Port
    # Seconds to wait for an answer.
    timeout: Seconds = 2.0
    # Seconds between reads that prove contracts and backend servers current.
    read_period: Seconds = 0.5
    # Seconds without such a proof after which requests are refused.
    max_age: Seconds = 86400.0


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
    # Seconds to receive a request's headers.
    read_timeout: Seconds = 10.0
    # Seconds that a connection may be idle or leave its answer unread.
    keep_alive: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold all settings of one entry VM."""

    node: NodeSettings
    platform: PlatformSettings
    kinds: Annotated[tuple[KindSettings, ...], Meta(min_length=1)]
    http: HttpSettings = field(default_factory=HttpSettings)
    log: gateway.LogSettings = field(default_factory=gateway.LogSettings)

    def make_gateway_settings(self) -> gateway.GatewaySettings:
        """Return the same for the gateway that serves this interface."""
        node, platform = self.node, self.platform
        address = f"{node.host}:{node.http_port}"
        vm = gateway.VmSettings(
            name=address,
            zone=node.zone,
            region=node.region,
            client_address=address,
            ready_address="",
            directory_address="",
            peer_address=f"{node.host}:{node.peer_port}",
            peer_port=node.peer_port,
        )
        store = gateway.StoreSettings(
            f"{platform.host}:{platform.port}", platform.timeout, platform.read_period
        )
        longest = max(kind.deadline for kind in self.kinds)
        promises = gateway.PromiseSettings(
            revoke=platform.max_age,
            stop_grace=longest + STOP_MARGIN_SECONDS,
            repeat_ratio=RETRY_RATIO,
            repeat_slack=RETRY_SLACK,
            repeat_window=RETRY_WINDOW_SECONDS,
            quota_overshoot=0.0,
            quota_slack=0.0,
            max_keep=ENTRY_LIST_TTL_SECONDS,
        )
        return gateway.GatewaySettings(vm, store, promises, self.log)


def parse_settings(
    text: str,
) -> tuple[EntrySettings | None, tuple[SettingsFault, ...]]:
    """Decode settings, or return every fault in them."""
    settings, faults = parse_document(text, EntrySettings)
    if settings is None:
        return None, faults
    faults = tuple(_check_consistency(settings))
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


def _check_consistency(settings: EntrySettings) -> list[SettingsFault]:
    faults = []
    seen: set[str] = set()
    for place, kind in enumerate(settings.kinds):
        if kind.name in seen:
            path = f"kinds[{place}].name"
            faults.append(make_fault(path, kind.name, "a new name", "stands twice"))
        seen.add(kind.name)
    node = settings.node
    if node.http_port == node.peer_port:
        allowed = "a port other than node.http_port"
        faults.append(make_fault("node.peer_port", node.peer_port, allowed, "is taken"))
    return faults
