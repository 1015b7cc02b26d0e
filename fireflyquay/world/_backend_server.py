"""Backend servers: model engines and plain services that run requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._contract import Change
from ._ids import BackendServerId, PoolId, ZoneId


class BackendKind(StrEnum):
    """Name the kind of a backend server, which determines its protocol."""

    MODEL_ENGINE = "MODEL_ENGINE"
    PLAIN_SERVICE = "PLAIN_SERVICE"


class BackendState(StrEnum):
    """Name the lifecycle state of a backend server, which operators set."""

    JOINING = "JOINING"
    SERVING = "SERVING"
    LEAVING = "LEAVING"
    STOPPING = "STOPPING"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Hold the configuration of a backend server, which operators set."""

    server: BackendServerId
    pool: PoolId
    kind: BackendKind
    zone: ZoneId
    host: str
    port: int
    # Maximum number of requests that run concurrently.
    slots: int
    # Maximum number of prompt and output tokens in the backend server's memory.
    token_slots: int
    state: BackendState = BackendState.SERVING
    # Whether the backend server rejects requests with an outdated fencing token.
    checks_fencing: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be dispatched to the backend server."""
        # Backend servers are JOINING when they are registered, and serve at once.
        return self.state in (BackendState.JOINING, BackendState.SERVING)


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """Hold the stored form of a backend server, with its recent changes."""

    backend: BackendServer
    # 1 for the first record of a backend server, and 1 more after each change.
    version: int
    # Ordered from oldest to newest.
    changes: tuple[Change, ...] = ()
