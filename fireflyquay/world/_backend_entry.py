"""Registrations of backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._backend_server import BackendKind
from ._ids import BackendServerId, ServiceId, SoftwareVersion, ZoneId


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
