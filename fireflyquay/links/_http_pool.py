"""HTTP client connections and the pool that reuses them."""

from __future__ import annotations

import asyncio
import select
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

import h11
import logbook

from fireflyquay.world import Incarnation

from ._connection_reset import abort_connection
from ._graceful_close import count_unsent_bytes
from ._http_message import MAX_READ_BYTES, HttpLimits
from ._loop_turns import EventShare, LoopTurns
from ._monitored_reader import MonitoredReader
from ._sockets import convert_address_errors, enable_dead_peer_detection

LOG = logbook.Logger("connections")

Address = tuple[str, int]

MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
# A connection is not reused within this time of the idle timeout that the peer
# advertised, so that the request arrives before the peer closes, even over a slow
# network.
KEEP_ALIVE_MARGIN_SECONDS = 0.5


class ClientConnection:
    """Run one exchange at a time over a connection to one address."""

    def __init__(
        self,
        reader: MonitoredReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
        turns: LoopTurns | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._share = EventShare(turns or LoopTurns())
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=limits.max_header_bytes
        )
        # Bytes read from the reader so far.
        self._consumed_bytes = 0
        # Whether it carried an exchange before the current one.
        self.was_used = False
        # Event loop time at which the last exchange ended.
        self.idle_since = 0.0
        # Seconds for which it was idle before the current exchange; None if it is new.
        self.idle_seconds: float | None = None
        # Idle timeout that the peer advertised in a Keep-Alive header, if any.
        self.peer_keep_alive_seconds: float | None = None
        self._limits = limits

    @property
    def carrier(self) -> Incarnation:
        """Return the VM that carries the connection; empty if it is direct."""
        return self._reader.carrier

    @property
    def _has_unsent_bytes(self) -> bool:
        """Return whether the write buffer still holds unsent bytes."""
        return self._writer.transport.get_write_buffer_size() > 0

    @property
    def has_unacknowledged_bytes(self) -> bool:
        """Return whether the peer has not acknowledged all that was sent to it."""
        return count_unsent_bytes(self._writer) > 0

    def reset_for_next_response(self, head: h11.Request, body: bytes) -> None:
        """Prepare to read the next response, after one to a different request."""
        unparsed_bytes, is_closed = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.max_header_bytes
        )
        # Puts the new parser into the state after the request; its bytes are not sent
        # again.
        self._http.send(head)
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        if unparsed_bytes:
            self._http.receive_data(unparsed_bytes)
        if is_closed:
            self._http.receive_data(b"")

    def send(self, head: h11.Request, body: bytes) -> bool:
        """Send a request; return False if no byte of it was sent."""
        if self.is_stale():
            return False
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._writer.write(data)
        # The transport tries to write at once; if that fails, it closes, and no byte
        # was sent.
        return not self._writer.transport.is_closing()

    async def next_event(self) -> object:
        """Return the next h11 event of the response."""
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                await self._share.spend()
                return event
            if not self._reader.has_unread_bytes:
                self._share.renew()
            data = await self._reader.read(MAX_READ_BYTES)
            self._consumed_bytes += len(data)
            self._http.receive_data(data)

    def watch(self, on_unexpected: Callable[[], None] | None) -> None:
        """Set what is called when the peer sends something, while it is idle."""
        self._reader.on_unexpected = on_unexpected

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether the peer has sent more than the exchanges before took."""
        return self._reader.received_bytes != self._consumed_bytes

    def is_stale(self) -> bool:
        """Return whether the peer closed the connection or sent unexpected bytes."""
        if self._writer.transport.is_closing() or self._reader.closed.is_set():
            return True
        if self.has_unread_bytes:
            return True
        poll = select.poll()
        sock = self._writer.get_extra_info("socket")
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def reset_for_next_request(self) -> bool:
        """Prepare for another request; return False if reuse is impossible."""
        if self.carrier:
            return False
        if self._http.our_state is not h11.DONE or self._has_unsent_bytes:
            return False
        if self._http.their_state is not h11.DONE or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self.was_used = True
        return True

    def abort(self) -> None:
        """Reset the connection and discard unsent bytes."""
        abort_connection(self._writer)


class Dialer(ABC):
    """Open connections to addresses."""

    @abstractmethod
    async def dial(
        self, address: Address
    ) -> tuple[MonitoredReader, asyncio.StreamWriter]:
        """Connect to an address; raise OSError if that fails."""

    def may_reuse(self, address: Address) -> bool:
        """Return whether idle connections to an address may be used."""
        return True


class TcpDialer(Dialer):
    """Open TCP connections from this VM."""

    async def dial(
        self, address: Address
    ) -> tuple[MonitoredReader, asyncio.StreamWriter]:
        """Connect to an address; raise OSError if that fails."""
        loop = asyncio.get_running_loop()
        reader = MonitoredReader(loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        with convert_address_errors():
            transport, _ = await loop.create_connection(lambda: protocol, *address)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        enable_dead_peer_detection(writer)
        return reader, writer


class ConnectionPool:
    """Keep idle connections by address, and reuse the most recently used first."""

    def __init__(self, idle_timeout_seconds: float) -> None:
        self._idle_timeout_seconds = idle_timeout_seconds
        self._idle_connections: dict[Address, deque[ClientConnection]] = {}
        self._is_closed = False

    def acquire(
        self, address: Address, now: float, max_idle_seconds: float | None = None
    ) -> ClientConnection | None:
        """Remove and return the most recently used connection, or None.

        Closes the connections that have been idle for too long.
        """
        connections = self._idle_connections.get(address)
        limit_seconds = (
            self._idle_timeout_seconds if max_idle_seconds is None else max_idle_seconds
        )
        while connections:
            connection = connections.pop()
            connection_limit_seconds = min(limit_seconds, self._idle_timeout_seconds)
            if connection.peer_keep_alive_seconds is not None:
                connection_limit_seconds = min(
                    connection_limit_seconds,
                    connection.peer_keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS,
                )
            connection.watch(None)
            idle_seconds = now - connection.idle_since
            if idle_seconds < connection_limit_seconds:
                connection.idle_seconds = idle_seconds
                return connection
            connection.abort()
        self._idle_connections.pop(address, None)
        return None

    def release(
        self, address: Address, connection: ClientConnection, now: float
    ) -> None:
        """Add a connection to the pool; close the oldest beyond the limits.

        A closed pool keeps none: an exchange may end after it was closed. A peer that
        sends something meanwhile is faulty, and may send without end.
        """
        if self._is_closed or connection.has_unread_bytes:
            connection.abort()
            return
        connection.watch(lambda: self._drop(address, connection))
        connection.idle_since = now
        connections = self._idle_connections.setdefault(address, deque())
        connections.append(connection)
        min_idle_since = now - self._idle_timeout_seconds
        while (
            len(connections) > MAX_IDLE_CONNECTIONS_PER_ADDRESS
            or connections[0].idle_since < min_idle_since
        ):
            connections.popleft().abort()

    def has_idle(self, address: Address) -> bool:
        """Return whether a connection to an address is kept."""
        return bool(self._idle_connections.get(address))

    def _drop(self, address: Address, connection: ClientConnection) -> None:
        host, port = address
        LOG.warning("bytes on an idle connection", extra={"host": host, "port": port})
        connection.abort()
        connections = self._idle_connections.get(address)
        if connections is not None and connection in connections:
            connections.remove(connection)

    def discard(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_connections.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections, and those that are added from now on."""
        self._is_closed = True
        for connections in self._idle_connections.values():
            for connection in connections:
                connection.abort()
        self._idle_connections.clear()
