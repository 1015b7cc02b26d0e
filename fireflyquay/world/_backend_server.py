"""Backend servers: model engines and plain services that run requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._contract import Change
from ._ids import BackendServerId, PoolId, ZoneId


class BackendKind(StrEnum):
    """Protocol that a backend server uses."""

    MODEL_ENGINE = "MODEL_ENGINE"
    PLAIN_SERVICE = "PLAIN_SERVICE"


class BackendState(StrEnum):
    """Lifecycle state of a backend server, set by operators."""

    JOINING = "JOINING"
    SERVING = "SERVING"
    LEAVING = "LEAVING"
    STOPPING = "STOPPING"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server as registered by operators."""

    server: BackendServerId
    pool: PoolId
    kind: BackendKind
    zone: ZoneId
    host: str
    port: int
    # Maximum number of requests that run concurrently.
    slots: int
    # Maximum number of prompt and output tokens that are held in memory at a time.
    token_slots: int
    state: BackendState = BackendState.SERVING
    # Whether it rejects requests with an outdated fencing token.
    checks_fencing: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be dispatched to it."""
        return self.state in (BackendState.JOINING, BackendState.SERVING)


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """The stored form of a backend server, with its recent changes."""

    backend: BackendServer
    # Number of changes to this backend server, from 1; never decreases.
    version: int
    # Ordered from oldest to newest.
    changes: tuple[Change, ...] = ()
