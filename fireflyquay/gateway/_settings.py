"""Gateway settings, decoded from TOML."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from fireflyquay.checks import join_faults, parse_document, read_text
from fireflyquay.dispatch import QUOTA_WINDOW_SECONDS, ZoneSettings
from fireflyquay.world import MAX_PORT, Code, FireflyquayError, parse_count

Address = Annotated[str, Meta(pattern=r"^[0-9A-Za-z.:_-]{1,253}:[0-9]{1,5}$")]
OptionalAddress = Annotated[
    str, Meta(pattern=r"^([0-9A-Za-z.:_-]{1,253}:[0-9]{1,5})?$")
]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Ratio = Annotated[float, Meta(ge=0, le=100)]
# Seconds until a change is in force, where the settings state no bound.
CHANGE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Hold the name, location, addresses and capacity of a VM."""

    name: Name
    zone: Name
    region: Name
    # Address for clients' requests.
    client_address: Address
    # Address of the readiness check for the platform.
    ready_address: Address
    # Address at which clients get the addresses of entry VMs.
    directory_address: Address
    # Address for connections from other VMs.
    peer_address: Address
    # Port of other VMs' peer addresses.
    peer_port: Port
    # Addresses of VMs of the fleet, which may no longer run. Only the hosts are used.
    seeds: tuple[str, ...] = ()
    # CPU cores that the VM may use, also fractions of one.
    cpu_share: Annotated[float, Meta(gt=0)] = 1.0
    # Speed of a CPU core relative to the reference VM.
    cpu_speed: Annotated[float, Meta(gt=0)] = 1.0
    # Network bandwidth in Mbit/s.
    link_mbps: Annotated[float, Meta(gt=0)] = 1000.0
    # Memory that the process may use, in MB.
    memory_mb: Annotated[float, Meta(gt=0)] = 256.0
    # Bodies of requests that are held at the same time, in MB; 0 for a quarter of the
    # memory.
    body_memory_mb: Annotated[float, Meta(ge=0)] = 0.0
    # All that connections hold at the same time, in MB: heads, bodies, requests sent
    # ahead and unsent responses; 0 for six tenths of the memory.
    connection_memory_mb: Annotated[float, Meta(ge=0)] = 0.0
    # Seconds without progress after which a connection that runs no response may be
    # closed while that memory is short.
    stalled_connection_seconds: Seconds = 2.0
    # KB of a client's input that are received at a time.
    read_ahead_kb: Annotated[int, Meta(ge=4, le=1024)] = 16
    # Parsed events of one connection after which others continue.
    events_per_turn: Annotated[int, Meta(ge=4, le=10_000)] = 32
    # Address of the metrics page; empty to disable it.
    metrics_address: OptionalAddress = ""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Hold the address and timing of the platform's store."""

    address: Address
    # Seconds to wait for a response, which usually takes milliseconds.
    timeout: Seconds = 1.0
    # Seconds between reads that confirm the configuration and registry as current.
    read_period: Seconds = 0.5


@dataclass(frozen=True, slots=True)
class PromiseSettings:
    """Hold the bounds that the gateway guarantees to operators."""

    # Maximum seconds after an API key's removal in which requests with it may start.
    revoke: Seconds
    # Seconds within which a stopping VM finishes its requests.
    stop_grace: Seconds
    # Maximum retries as a ratio of the requests in the window.
    repeat_ratio: Ratio
    # Further retries that are allowed in the window.
    repeat_slack: Annotated[float, Meta(ge=0)]
    # Length of the window in seconds.
    repeat_window: Seconds
    # Ratio by which usage may exceed the rate of a quota.
    quota_overshoot: Ratio
    # Units by which usage may exceed the burst of a quota.
    quota_slack: Annotated[float, Meta(ge=0)]
    # Maximum seconds for which clients use a list of entry VMs' addresses.
    max_keep: Seconds
    # Length of the window in which quotas are counted, in seconds.
    quota_window: Seconds = QUOTA_WINDOW_SECONDS
    # Seconds within which a change of the configuration is in force.
    apply: Seconds = CHANGE_SECONDS
    # Seconds after which a leaving backend server receives no new requests.
    drain: Seconds = CHANGE_SECONDS


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Hold the bounds of what an untried software version may receive."""

    # Maximum requests to an untried version, as a ratio of those of its service.
    exposure_share: Annotated[float, Meta(ge=0, le=1)]
    # Further requests that an untried version may receive.
    exposure_slack: Annotated[float, Meta(ge=0)] = 0.0
    # Seconds after which a version that proved bad receives no requests.
    rollback: Seconds = 5.0


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Hold the limits of the log."""

    # Maximum lines per second of each event; further lines are counted but not written.
    lines_per_second: Annotated[int, Meta(ge=1, le=100_000)] = 200


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold all settings of a gateway."""

    vm: VmSettings
    store: StoreSettings
    promises: PromiseSettings
    log: LogSettings = field(default_factory=LogSettings)
    # None if the deployment has no roll-outs, which are then not read.
    rollout: RolloutSettings | None = None
    zones: ZoneSettings = field(default_factory=ZoneSettings)


def split_address(address: str) -> tuple[str, int]:
    """Split HOST:PORT; raise a FireflyquayError if it has another form."""
    host, _, port = address.rpartition(":")
    number = parse_count(port, MAX_PORT)
    if not host or number is None:
        raise FireflyquayError(
            Code.BAD_SETTINGS, f"The address {address} isn't of the form HOST:PORT."
        )
    return host, number


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read a settings file; raise a FireflyquayError that lists all invalid values."""
    text = read_text(path, Code.BAD_SETTINGS)
    settings, faults = parse_document(text, GatewaySettings)
    if settings is None:
        raise FireflyquayError(Code.BAD_SETTINGS, join_faults(faults))
    return settings
