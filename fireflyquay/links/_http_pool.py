"""Connections of an HTTP client, kept for the next request."""

from __future__ import annotations

import asyncio
import select
from collections import deque

import h11

from ._http_message import READ_CHUNK_BYTES, HttpLimits
from ._http_responder import abort_connection
from ._monitored_reader import MonitoredReader
from ._sockets import configure_socket

Address = tuple[str, int]

# Idle connections kept to one address.
MAX_IDLE_PER_ADDRESS = 64
# Seconds before a peer's stated idle timeout at which its connection is left alone:
# the request must arrive before the peer closes, over a slow link too.
KEEP_ALIVE_MARGIN_SECONDS = 0.5


class ClientConnection:
    """Carry one exchange at a time to one address."""

    def __init__(
        self,
        reader: MonitoredReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=limits.max_header_bytes
        )
        # Bytes taken from the reader.
        self._consumed_bytes = 0
        # Loop time at which the last exchange ended.
        self.idle_since = 0.0
        # Seconds that the peer keeps the connection, if it has said so.
        self.peer_keep_alive_seconds: float | None = None
        self._limits = limits

    @property
    def has_unsent_bytes(self) -> bool:
        """Tell whether bytes still wait to be sent."""
        return self._writer.transport.get_write_buffer_size() > 0

    def reset_for_next_response(self, head: h11.Request, body: bytes) -> None:
        """Read on after a response that belongs to another request."""
        rest, is_closed = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.max_header_bytes
        )
        # Brings the parser to the state after sending; the bytes went out before.
        self._http.send(head)
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        if is_closed:
            self._http.receive_data(b"")

    def send(self, head: h11.Request, body: bytes) -> bool:
        """Send a request; return False if no byte of it was taken."""
        if self.is_stale():
            return False
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._writer.write(data)
        # The transport writes at once, and closes if that very write fails.
        return not self._writer.transport.is_closing()

    async def next_event(self) -> object:
        """Wait for the next part of the response."""
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._reader.read(READ_CHUNK_BYTES)
            self._consumed_bytes += len(data)
            self._http.receive_data(data)

    def is_stale(self) -> bool:
        """Tell whether the peer closed the connection or sent stray bytes."""
        if self._writer.transport.is_closing() or self._reader.closed.is_set():
            return True
        if self._reader.received_bytes != self._consumed_bytes:
            return True
        poll = select.poll()
        sock = self._writer.get_extra_info("socket")
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def reset_for_next_request(self) -> bool:
        """Get ready for another request if the last exchange ended well."""
        if self._http.our_state is not h11.DONE or self.has_unsent_bytes:
            return False
        if self._http.their_state is not h11.DONE or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close at once, whatever is in progress."""
        abort_connection(self._writer)


async def open_connection(address: Address, limits: HttpLimits) -> ClientConnection:
    """Connect; raise OSError if the address refuses."""
    loop = asyncio.get_running_loop()
    reader = MonitoredReader(loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    configure_socket(writer)
    return ClientConnection(reader, writer, limits)


class ConnectionPool:
    """Keep idle connections by address, newest first."""

    def __init__(self, idle_timeout: float) -> None:
        self._idle_timeout = idle_timeout
        self._idle: dict[Address, deque[ClientConnection]] = {}

    def acquire(
        self, address: Address, now: float, max_idle: float | None = None
    ) -> ClientConnection | None:
        """Take the connection used last, dropping those idle for too long."""
        idle = self._idle.get(address)
        limit = self._idle_timeout if max_idle is None else max_idle
        while idle:
            connection = idle.pop()
            peer_keep_alive_seconds = min(limit, self._idle_timeout)
            if connection.peer_keep_alive_seconds is not None:
                peer_keep_alive_seconds = min(
                    peer_keep_alive_seconds,
                    connection.peer_keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS,
                )
            if now - connection.idle_since < peer_keep_alive_seconds:
                return connection
            connection.close()
        self._idle.pop(address, None)
        return None

    def release(
        self, address: Address, connection: ClientConnection, now: float
    ) -> None:
        """Keep a reusable connection, dropping expired and surplus ones."""
        connection.idle_since = now
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        oldest = now - self._idle_timeout
        while len(idle) > MAX_IDLE_PER_ADDRESS or idle[0].idle_since < oldest:
            idle.popleft().close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
