"""Backend servers: model engines and plain services that run requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._contract import Change
from ._ids import BackendServerId, PoolId, ZoneId


class BackendKind(StrEnum):
    """Tell how a backend server is spoken to."""

    MODEL_ENGINE = "MODEL_ENGINE"
    PLAIN_SERVICE = "PLAIN_SERVICE"


class BackendState(StrEnum):
    """Order a backend server's life as operators mark it."""

    JOINING = "JOINING"
    SERVING = "SERVING"
    LEAVING = "LEAVING"
    STOPPING = "STOPPING"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one backend server as operators registered it."""

    server: BackendServerId
    pool: PoolId
    kind: BackendKind
    zone: ZoneId
    host: str
    port: int
    # Requests that may run at once.
    slots: int
    # Sum of prompt and output tokens that may be resident at once.
    token_slots: int
    state: BackendState = BackendState.SERVING
    # Whether it refuses orders with an old fencing number.
    checks_fencing: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Tell whether new requests may be dispatched to it."""
        return self.state in (BackendState.JOINING, BackendState.SERVING)


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """Hold a backend server as stored, with its recent changes."""

    backend: BackendServer
    # Counts changes of this backend server from 1; never falls.
    version: int
    # Newest last.
    changes: tuple[Change, ...] = ()
