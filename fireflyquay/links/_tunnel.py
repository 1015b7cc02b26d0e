"""Tunnels: connections to backend servers through another entry VM.

The VM that carries a tunnel forwards bytes and knows nothing of requests. What it
receives from the backend server is framed on the way back, so that the end of the
backend server's connection can be told from the end of the tunnel.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import IntEnum

from fireflyquay.membership import Message

from ._connection_reset import abort_connection
from ._graceful_close import close_gracefully, count_unsent_bytes
from ._monitored_reader import MonitoredReader

FRAME_HEADER_BYTES = 4
MAX_CHUNK_BYTES = 64 * 1024
# Maximum number of tunnels that a VM carries, each with two descriptors: a quarter of
# those of a small VM.
MAX_CARRIED_TUNNELS = 500
# Maximum seconds for which the VM at the other end may receive nothing of what ends the
# tunnel.
MAX_STALL_SECONDS = 60.0

Connection = tuple[MonitoredReader, asyncio.StreamWriter]


class TunnelState(IntEnum):
    """Tell whether a VM could open the connection that a tunnel leads to."""

    OPEN = 0
    # It can't connect to the backend server, but to another one.
    SERVER_UNREACHABLE = 1
    # It can't connect to any backend server that it tried.
    CUT_OFF = 2
    # It does not carry the tunnel: it stops, carries too many, or does not use the
    # backend server itself.
    DECLINED = 3


class TunnelRequest(Message):
    """Request a tunnel to a backend server, over the connection that carries this."""

    host: str
    port: int


# Opens the connection that a tunnel leads to.
TunnelOpener = Callable[
    [TunnelRequest], Awaitable[tuple[TunnelState, Connection | None]]
]


def encode_frame(data: bytes) -> bytes:
    """Return data with its length; without data, the end of the connection."""
    return len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data


class TunnelProtocol(asyncio.StreamReaderProtocol):
    """Decode the frames of a tunnel, of which the first holds its state."""

    def __init__(self, reader: MonitoredReader, loop: asyncio.AbstractEventLoop):
        super().__init__(reader, loop=loop)
        self.state: asyncio.Future[TunnelState] = loop.create_future()
        self._buffer = bytearray()
        # Bytes of the current frame that have not arrived.
        self._missing_bytes = 0
        self._has_ended = False

    def data_received(self, data: bytes) -> None:
        """Pass the content of frames on."""
        self._buffer += data
        while self._buffer and not self._has_ended:
            if not self._missing_bytes and not self._begin_frame():
                return
            self._pass_content()

    def _begin_frame(self) -> bool:
        if len(self._buffer) < FRAME_HEADER_BYTES:
            return False
        self._missing_bytes = int.from_bytes(self._buffer[:FRAME_HEADER_BYTES], "big")
        del self._buffer[:FRAME_HEADER_BYTES]
        if not self._missing_bytes:
            self._has_ended = True
            super().eof_received()
        return True

    def _pass_content(self) -> None:
        content = bytes(self._buffer[: self._missing_bytes])
        if not content:
            return
        del self._buffer[: len(content)]
        self._missing_bytes -= len(content)
        if self.state.done():
            super().data_received(content)
            return
        try:
            self.state.set_result(TunnelState(content[0]))
        except ValueError:
            self._fail(ConnectionResetError("the state of the tunnel is unknown"))

    def eof_received(self) -> bool:
        """Treat the end of the tunnel as a lost connection, unless it was announced."""
        self._fail(ConnectionResetError("the tunnel broke off"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a lost connection, unless its end was announced."""
        self._fail(exc or ConnectionResetError("the tunnel broke off"))
        super().connection_lost(exc)

    def _fail(self, error: Exception) -> None:
        if not self.state.done():
            self.state.set_exception(error)
            # The opener may have been cancelled.
            self.state.exception()
        reader = self._stream_reader
        if not self._has_ended and reader is not None and reader.exception() is None:
            reader.set_exception(error)


class TunnelCarrier:
    """Carry the tunnels of other VMs to backend servers."""

    def __init__(self) -> None:
        self.opener: TunnelOpener | None = None
        # Number of tunnels that are carried at present.
        self.count = 0

    async def carry(
        self,
        request: TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Open a tunnel for another VM and forward its bytes until either end.

        Returns when the other VM has received them.
        """
        self.count += 1
        try:
            await self._forward(request, reader, writer)
            await close_gracefully(
                reader, writer, MAX_STALL_SECONDS, discards_input=True
            )
        except TimeoutError:
            abort_connection(writer)
        finally:
            self.count -= 1

    async def _forward(
        self,
        request: TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        state, connection = TunnelState.DECLINED, None
        if self.opener is not None and self.count <= MAX_CARRIED_TUNNELS:
            state, connection = await self.opener(request)
        writer.write(encode_frame(bytes([state])))
        if connection is None:
            return
        try:
            await _forward_both_ways(reader, writer, connection)
        finally:
            abort_connection(connection[1])


async def _forward_both_ways(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: Connection
) -> None:
    """Forward bytes until either side ends; a client that ends is not waited for."""
    requests = asyncio.ensure_future(_forward_requests(reader, connection[1]))
    responses = asyncio.ensure_future(_forward_responses(connection, writer))
    try:
        await asyncio.wait((requests, responses), return_when=asyncio.FIRST_COMPLETED)
    finally:
        is_whole = responses.done() and not responses.cancelled()
        is_whole = is_whole and responses.exception() is None
        for task in (requests, responses):
            task.cancel()
        await asyncio.gather(requests, responses, return_exceptions=True)
        if not is_whole:
            abort_connection(writer)


async def _forward_requests(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(MAX_CHUNK_BYTES):
        writer.write(data)
        await writer.drain()


async def _forward_responses(
    connection: Connection, writer: asyncio.StreamWriter
) -> None:
    """Forward bytes, and their end unless requests were not received until then."""
    reader, request_writer = connection
    while data := await reader.read(MAX_CHUNK_BYTES):
        writer.write(encode_frame(data))
        await writer.drain()
    if not count_unsent_bytes(request_writer):
        writer.write(encode_frame(b""))
    await writer.drain()
