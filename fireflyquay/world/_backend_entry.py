"""Registrations of backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._backend_server import BackendKind
from ._ids import BackendServerId, ServiceId, ZoneId


class BackendPhase(StrEnum):
    """State that a backend server registers: whether it accepts new requests."""

    READY = "READY"
    LEAVING = "LEAVING"


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """The latest registration of one backend server."""

    id: BackendServerId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    # Maximum number of requests that it runs concurrently.
    slots: int
    phase: BackendPhase
    # Start of its process, in milliseconds since the epoch.
    born_ms: int = 0
    # Its protocol; None where all backend servers use the same one.
    kind: BackendKind | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that it listens on."""
        return self.host, self.port
