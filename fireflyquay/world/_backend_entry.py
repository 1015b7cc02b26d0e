"""What a backend server last registered of itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._backend_server import BackendKind
from ._ids import BackendServerId, ServiceId, ZoneId


class BackendPhase(StrEnum):
    """Say whether a registered backend server takes new requests."""

    READY = "READY"
    LEAVING = "LEAVING"


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """Hold one backend server's registration."""

    id: BackendServerId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    # Requests that it runs at once.
    slots: int
    phase: BackendPhase
    # Milliseconds since the epoch at which its process started.
    born_ms: int = 0
    # What it speaks; None where all speak alike.
    kind: BackendKind | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return where it listens."""
        return self.host, self.port
