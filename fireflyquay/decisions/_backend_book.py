"""Book of backend servers as operators marked them."""

from __future__ import annotations

from dataclasses import replace

from fireflyquay.contracts import BACKENDS_PREFIX
from fireflyquay.contracts._record_codec import BACKEND_CODEC, check_backend
from fireflyquay.world import (
    BackendRecord,
    BackendServer,
    BackendServerId,
    BackendState,
    Code,
    FireflyquayError,
    PoolId,
)

from ._versioned_book import VersionedBook


class BackendBook(VersionedBook[BackendRecord]):
    """Hold each backend server's newest registration."""

    prefix = BACKENDS_PREFIX
    _codec = BACKEND_CODEC

    def __init__(self) -> None:
        super().__init__()
        self._pools: dict[PoolId, dict[BackendServerId, BackendServer]] = {}

    def get(self, server: BackendServerId) -> BackendRecord | None:
        """Return a backend server's record, None when it isn't registered."""
        return self._find(BACKENDS_PREFIX + server)

    def pools(self) -> tuple[PoolId, ...]:
        """Return the pools that have backend servers."""
        return tuple(sorted(self._pools))

    def servers(self, pool: PoolId) -> tuple[BackendServer, ...]:
        """Return a pool's backend servers in every state, by id."""
        servers = self._pools.get(pool, {})
        return tuple(servers[name] for name in sorted(servers))

    def list_states(self) -> dict[BackendServerId, BackendState]:
        """Return the state of each backend server."""
        backends = [entry.record.backend for entry in self._entries.values()]
        return {backend.server: backend.state for backend in backends}

    def _check(self, path: str, record: BackendRecord) -> None:
        if path != BACKENDS_PREFIX + record.backend.server:
            raise FireflyquayError(
                Code.BAD_SETTINGS, f"{path} holds another backend server."
            )
        check_backend(record.backend)

    def _strip(self, record: BackendRecord) -> BackendRecord:
        return replace(record, changes=())

    def _index(self, before: BackendRecord | None, after: BackendRecord) -> None:
        if before is not None:
            self._forget(before.backend)
        backend = after.backend
        self._pools.setdefault(backend.pool, {})[backend.server] = backend

    def _forget(self, backend: BackendServer) -> None:
        servers = self._pools[backend.pool]
        del servers[backend.server]
        if not servers:
            del self._pools[backend.pool]
