"""HTTP/1.1 server on asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ._http_connection import ServerConnection
from ._http_message import HttpLimits, HttpRequest
from ._http_responder import HttpResponder, abort_connection
from ._monitored_reader import MonitoredReader
from ._sockets import configure_socket

Handler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]

# Connections that may wait to be accepted.
ACCEPT_BACKLOG = 1024


class HttpServer:
    """Accept connections and give each request to a handler."""

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        # Whether each response ends its connection.
        self._is_closing = False
        # Whether new connections are reset.
        self._is_refusing = False

    @property
    def limits(self) -> HttpLimits:
        """Return the limits of new connections."""
        return self._limits

    def set_limits(self, limits: HttpLimits) -> None:
        """Bound connections that are accepted from now on."""
        self._limits = limits

    def stop_accepting(self) -> None:
        """Refuse new connections from now on."""
        self._is_refusing = True
        if self._server is not None:
            self._server.close()

    def stop_keep_alive(self) -> None:
        """Close idle connections and end each other one with its response."""
        self._is_closing = True
        for connection in self._connections.values():
            connection.close_if_idle()

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port, which the system picks for port 0."""
        loop = asyncio.get_running_loop()
        self._is_closing = False
        self._is_refusing = False
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=ACCEPT_BACKLOG
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self, grace: float) -> None:
        """Stop accepting and give exchanges in progress some seconds to end."""
        self.stop_keep_alive()
        self.stop_accepting()
        if self._connections and grace > 0:
            await asyncio.wait(self._connections, timeout=grace)
        await self._abort_remaining()

    async def _abort_remaining(self) -> None:
        rest = dict(self._connections)
        for task, connection in rest.items():
            connection.abort()
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = MonitoredReader(loop)
        return asyncio.StreamReaderProtocol(reader, self._accept, loop=loop)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert isinstance(reader, MonitoredReader)
        if self._is_refusing:
            abort_connection(writer)
            return
        configure_socket(writer)
        connection = ServerConnection(
            reader, writer, self._handler, self._limits, lambda: self._is_closing
        )
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._connections[task] = connection
        task.add_done_callback(self._connections.pop)
