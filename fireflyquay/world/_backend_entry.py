"""Registrations of backend servers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum
from ipaddress import ip_address

from ._backend_server import BackendKind
from ._ids import BackendServerId, ServiceId, SoftwareVersion, ZoneId
from ._numbers import MAX_COUNT, MAX_PORT

# Bounds the messages between VMs that carry registrations.
MAX_NAME_CHARS = 256
HOST_NAME = re.compile(r"(?!-)[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")


class BackendPhase(StrEnum):
    """State whether a registered backend server accepts new requests."""

    READY = "READY"
    LEAVING = "LEAVING"


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """Hold the latest registration of a backend server."""

    id: BackendServerId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    # Maximum number of requests that the backend server runs concurrently.
    slots: int
    phase: BackendPhase
    # Start of the backend server's process, in milliseconds since the epoch.
    born_ms: int = 0
    # None if all backend servers are of the same kind.
    kind: BackendKind | None = None
    # Empty if all backend servers run the same software. Streams of two versions don't
    # fit together.
    version: SoftwareVersion = SoftwareVersion("")

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the backend server listens on."""
        return self.host, self.port

    @property
    def is_valid(self) -> bool:
        """Return whether requests can be addressed and sent to the backend server."""
        names = (self.service, self.zone, self.version)
        return (
            is_header_text(self.id)
            and all(len(name) <= MAX_NAME_CHARS for name in names)
            and (is_unicast_address(self.host) or is_host_name(self.host))
            and 0 < self.port <= MAX_PORT
            and 0 < self.slots <= MAX_COUNT
            and 0 <= self.born_ms <= MAX_COUNT
        )


def is_header_text(text: str) -> bool:
    """Return whether a header can hold a text unchanged."""
    is_printable = text.isascii() and text.isprintable()
    return 0 < len(text) <= MAX_NAME_CHARS and is_printable and text == text.strip()


def is_unicast_address(host: str) -> bool:
    """Return whether a text is the IP address of a single machine."""
    try:
        address = ip_address(host)
    except ValueError:
        return False
    is_special = address.is_unspecified or address.is_multicast or address.is_reserved
    return not is_special and "%" not in host


def is_host_name(text: str) -> bool:
    """Return whether a text may be the name of a machine."""
    is_numeric = text.replace(".", "").isdigit()
    return (
        len(text) < MAX_NAME_CHARS
        and not is_numeric
        and bool(HOST_NAME.fullmatch(text))
    )
