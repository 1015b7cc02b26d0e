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

# Retries as a share of the requests in the window. If all backend servers of a pool
# fail at once, retries add at most a fifth to its requests and these further ones.
RETRY_RATIO = 0.2
# Further retries allowed in the window.
EXTRA_RETRIES_PER_WINDOW = 10.0
RETRY_WINDOW_SECONDS = 10.0
# Upper limit of the TTL that the gateway sets for the list of entry VMs.
MAX_ENTRY_LIST_TTL_SECONDS = 20.0
# Margin of the shutdown grace period over the longest deadline.
STOP_MARGIN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Hold the addresses, location and operator token of an entry VM."""

    host: Host
    # Port for clients' requests.
    http_port: Port
    # Port for connections from other VMs.
    peer_port: Port
    zone: Name
    region: Name
    # Operators' bearer token for /v1/status; if empty, all its requests are rejected.
    operator_token: Token = ""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Hold the address and timing of the platform's object API."""

    host: Host
    port: Port
    # Seconds to wait for a response.
    timeout: Seconds = 2.0
    # Seconds between reads that confirm contracts and backend servers as current.
    read_period: Seconds = 0.5
    # Seconds without a confirmation after which requests are rejected.
    max_age: Seconds = 86400.0


@dataclass(frozen=True, slots=True)
class KindSettings:
    """Hold the settings of one kind of request."""

    name: Name
    pool: Name
    # Whether a request of this kind may safely run twice.
    idempotent: bool = False
    # Seconds from arrival within which the response must be complete.
    deadline: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Hold the limits for clients' HTTP requests."""

    max_header_bytes: Annotated[int, Meta(ge=1024, le=1 << 20)] = 16384
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 26)] = 1 << 20
    # Seconds to receive a request's headers.
    read_timeout: Seconds = 10.0
    # Seconds for which a connection may stay idle or a client may stop reading.
    keep_alive: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold all settings of an entry VM."""

    node: NodeSettings
    platform: PlatformSettings
    kinds: Annotated[tuple[KindSettings, ...], Meta(min_length=1)]
    http: HttpSettings = field(default_factory=HttpSettings)
    log: gateway.LogSettings = field(default_factory=gateway.LogSettings)

    def make_gateway_settings(self) -> gateway.GatewaySettings:
        """Convert these settings to gateway settings."""
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
            repeat_slack=EXTRA_RETRIES_PER_WINDOW,
            repeat_window=RETRY_WINDOW_SECONDS,
            quota_overshoot=0.0,
            quota_slack=0.0,
            max_keep=MAX_ENTRY_LIST_TTL_SECONDS,
        )
        return gateway.GatewaySettings(vm, store, promises, self.log)


def parse_settings(
    text: str,
) -> tuple[EntrySettings | None, tuple[SettingsFault, ...]]:
    """Return the decoded settings, or None and all faults."""
    settings, faults = parse_document(text, EntrySettings)
    if settings is None:
        return None, faults
    faults = tuple(_check_consistency(settings))
    return (None, faults) if faults else (settings, ())


def check_settings(text: str) -> list[SettingsFault]:
    """Return all faults in the text of a settings file."""
    return list(parse_settings(text)[1])


def load_settings(path: str | Path) -> EntrySettings:
    """Load a settings file; raise FireflyquayError with BAD_SETTINGS and all faults."""
    settings, faults = parse_settings(read_text(path, Code.BAD_SETTINGS))
    if settings is None:
        raise FireflyquayError(Code.BAD_SETTINGS, join_faults(faults))
    return settings


def _check_consistency(settings: EntrySettings) -> list[SettingsFault]:
    faults = []
    seen: set[str] = set()
    for index, kind in enumerate(settings.kinds):
        if kind.name in seen:
            path = f"kinds[{index}].name"
            faults.append(
                make_fault(path, kind.name, "a unique name", "repeats an earlier kind")
            )
        seen.add(kind.name)
    node = settings.node
    if node.http_port == node.peer_port:
        allowed = "a port other than node.http_port"
        faults.append(
            make_fault(
                "node.peer_port", node.peer_port, allowed, "equals node.http_port"
            )
        )
    return faults
