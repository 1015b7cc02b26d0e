"""Settings of a gateway, decoded from TOML."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from fireflyquay.checks import join_faults, parse_document, read_text
from fireflyquay.world import MAX_PORT, Code, FireflyquayError, parse_count

Address = Annotated[str, Meta(pattern=r"^[0-9A-Za-z.:_-]{1,253}:[0-9]{1,5}$")]
OptionalAddress = Annotated[
    str, Meta(pattern=r"^([0-9A-Za-z.:_-]{1,253}:[0-9]{1,5})?$")
]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Share = Annotated[float, Meta(ge=0, le=100)]


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Tell a VM its name, place and addresses."""

    name: Name
    zone: Name
    region: Name
    # Where clients send requests.
    client_address: Address
    # Where the platform asks whether the VM is ready.
    ready_address: Address
    # Where clients ask which VMs to use.
    directory_address: Address
    # Where other VMs connect.
    peer_address: Address
    # Port at which other VMs' peer addresses are.
    peer_port: Port
    # Addresses of some VMs of the fleet, which may be gone; only their hosts are used.
    seeds: tuple[str, ...] = ()
    # Processor time that this VM has in each second, and its link in Mbit/s.
    cpu_share: Annotated[float, Meta(gt=0)] = 1.0
    cpu_speed: Annotated[float, Meta(gt=0)] = 1.0
    link_mbps: Annotated[float, Meta(gt=0)] = 1000.0
    # Where metrics are served; empty serves none.
    metrics_address: OptionalAddress = ""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Tell where the platform's store is."""

    address: Address
    # Seconds to wait for an answer; it usually takes milliseconds.
    timeout: Seconds = 1.0
    # Seconds between reads that prove the configuration and registry current.
    read_period: Seconds = 0.5


@dataclass(frozen=True, slots=True)
class PromiseSettings:
    """Bounds that the operators hold the gateway to."""

    # Seconds from a key's removal until no request with it runs.
    revoke: Seconds
    # Seconds in which a stopping VM ends its requests.
    stop_grace: Seconds
    # Repeats for each request, repeats besides, and the window in seconds.
    repeat_ratio: Share
    repeat_slack: Annotated[float, Meta(ge=0)]
    repeat_window: Seconds
    # Part of a quota, and units besides, that may run beyond it within its window.
    quota_overshoot: Share
    quota_slack: Annotated[float, Meta(ge=0)]
    # Seconds that clients keep the list of addresses at most.
    max_keep: Seconds


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Bound the log."""

    # Lines of one kind in a second; what is beyond is counted.
    lines_per_second: Annotated[int, Meta(ge=1, le=100_000)] = 200


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold all settings of a gateway."""

    vm: VmSettings
    store: StoreSettings
    promises: PromiseSettings
    log: LogSettings = field(default_factory=LogSettings)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address; raise FireflyquayError if it has none."""
    host, _, port = address.rpartition(":")
    number = parse_count(port, MAX_PORT)
    if not host or number is None:
        raise FireflyquayError(Code.BAD_SETTINGS, f"{address} is no HOST:PORT.")
    return host, number


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read a settings file; raise FireflyquayError naming each fault."""
    text = read_text(path, Code.BAD_SETTINGS)
    settings, faults = parse_document(text, GatewaySettings)
    if settings is None:
        raise FireflyquayError(Code.BAD_SETTINGS, join_faults(faults))
    return settings
