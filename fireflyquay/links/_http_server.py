"""HTTP/1.1 server on h11 and asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fireflyquay.dispatch import CONNECTION_BYTES

from ._body_memory import BodyMemory
from ._connection_guard import ConnectionGuard
from ._connection_reset import abort_connection
from ._http_connection import ServerConnection
from ._http_message import HttpLimits, HttpRequest
from ._http_responder import HttpResponder
from ._monitored_reader import MonitoredReader
from ._sockets import enable_dead_peer_detection

Handler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]

MAX_PENDING_CONNECTIONS = 1024


class HttpServer:
    """Accept connections and pass each request to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        body_memory: BodyMemory | None = None,
        guard: ConnectionGuard | None = None,
        uses_reserve: bool = False,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._body_memory = body_memory or BodyMemory()
        self._guard = guard or ConnectionGuard()
        # Whether clients' connections must not keep out those of this server.
        self._uses_reserve = uses_reserve
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        # Whether connections are closed after their current response.
        self._is_closing = False
        self._resets_new_connections = False

    @property
    def limits(self) -> HttpLimits:
        """Return the limits that apply to new connections."""
        return self._limits

    def set_limits(self, limits: HttpLimits) -> None:
        """Set the limits that apply to new connections."""
        self._limits = limits

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def count_busy_connections(self) -> int:
        """Return the number of connections that a close would cut off."""
        return sum(connection.is_busy for connection in self._connections.values())

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes that clients have not received."""
        connections = self._connections.values()
        return sum(connection.count_unsent_bytes() for connection in connections)

    def stop_accepting(self) -> None:
        """Stop listening, and reset connections that are still pending."""
        self._resets_new_connections = True
        if self._server is not None:
            self._server.close()

    def stop_keep_alive(self) -> None:
        """Close idle connections now, and others after their current response."""
        self._is_closing = True
        for connection in self._connections.values():
            connection.close_if_idle()

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; for port 0 the system chooses one."""
        loop = asyncio.get_running_loop()
        self._is_closing = False
        self._resets_new_connections = False
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=MAX_PENDING_CONNECTIONS
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self, grace_seconds: float) -> None:
        """Stop the server, and abort exchanges that last beyond the grace period."""
        self.stop_keep_alive()
        self.stop_accepting()
        if self._connections and grace_seconds > 0:
            await asyncio.wait(self._connections, timeout=grace_seconds)
        await self._abort_remaining()

    async def _abort_remaining(self) -> None:
        remaining = dict(self._connections)
        for task, connection in remaining.items():
            connection.abort()
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        # asyncio pauses reading above twice this size.
        reader = MonitoredReader(loop, self._limits.read_ahead_bytes // 2)
        return asyncio.StreamReaderProtocol(reader, self._accept, loop=loop)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert isinstance(reader, MonitoredReader)
        if self._resets_new_connections:
            abort_connection(writer)
            return
        if not self._guard.account.has_room(CONNECTION_BYTES, self._uses_reserve):
            self._guard.refuse("connection")
            abort_connection(writer)
            return
        enable_dead_peer_detection(writer)
        connection = ServerConnection(
            reader,
            writer,
            self._handler,
            self._limits,
            self._body_memory,
            self._guard,
            lambda: self._is_closing,
        )
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._connections[task] = connection
        task.add_done_callback(self._connections.pop)
