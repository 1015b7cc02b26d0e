"""Closing of connections once the peer has received what was sent."""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
import termios

from ._connection_reset import set_reset_on_close
from ._http_message import MAX_READ_BYTES
from ._sockets import (
    enable_dead_peer_detection,
    find_open_socket,
    tolerate_closed_window,
)

_COUNT = struct.Struct("i")
# Interval between checks whether the peer has acknowledged what was sent.
ACKNOWLEDGEMENT_POLL_SECONDS = 0.02
# Time without input during which input is still read and discarded after everything was
# received. Closing earlier would reset the connection before a client that is still
# sending reads the response.
LINGERING_CLOSE_SECONDS = 1.0
# Time without progress after which a peer counts as one that pauses.
STALL_SECONDS = 1.0
# Maximum time for which input is discarded after everything was received.
MAX_LINGER_SECONDS = 30.0


def count_unsent_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the number of bytes that the peer has not acknowledged, if known.

    Without an answer of the kernel, only those of the write buffer count.
    """
    buffered_bytes = writer.transport.get_write_buffer_size()
    sock = find_open_socket(writer)
    if sock is None:
        return buffered_bytes
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        return buffered_bytes
    return buffered_bytes + _COUNT.unpack(answer)[0]


async def drain(writer: asyncio.StreamWriter, max_stall_seconds: float) -> None:
    """Wait until the write buffer is drained.

    Raises TimeoutError if the peer receives nothing for the given time, and OSError if
    the connection is lost.
    """
    loop = asyncio.get_running_loop()
    unsent_bytes, progress_at = count_unsent_bytes(writer), loop.time()
    has_stalled = False
    while True:
        try:
            wait = asyncio.timeout(min(max_stall_seconds, STALL_SECONDS))
            async with wait:
                await writer.drain()
            if find_open_socket(writer) is None:
                # asyncio reports no error to those who wait when it was aborted.
                raise ConnectionResetError("the connection was aborted")
            if has_stalled:
                enable_dead_peer_detection(writer)
            return
        except TimeoutError as error:
            if not wait.expired():
                # The kernel gave the connection up: each further wait ends at once.
                raise ConnectionResetError("the peer took nothing") from error
            previous_bytes, unsent_bytes = unsent_bytes, count_unsent_bytes(writer)
            if unsent_bytes < previous_bytes:
                progress_at = loop.time()
            elif loop.time() - progress_at >= max_stall_seconds:
                raise
            tolerate_closed_window(writer, max_stall_seconds)
            has_stalled = True


async def close_gracefully(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    max_stall_seconds: float,
    discards_input: bool,
) -> None:
    """Close a connection once the peer has received everything.

    Closing with unread input resets a connection, and the peer may lose what it has not
    read. Unless input is discarded, it is left unread, so that the reset tells a peer
    that its next request was not read. Raises OSError if the connection is lost, or if
    the peer receives nothing for the given time.
    """
    writer.transport.set_write_buffer_limits(high=0)
    if count_unsent_bytes(writer):
        tolerate_closed_window(writer, max_stall_seconds)
    await drain(writer, max_stall_seconds)
    if not writer.transport.is_closing():
        # From here on, the kernel sends the rest.
        set_reset_on_close(writer, False)
    is_peer_open = discards_input and not reader.at_eof()
    if is_peer_open or count_unsent_bytes(writer):
        if not discards_input:
            writer.transport.pause_reading()
        writer.write_eof()
        await _wait_for_acknowledgement(
            reader, writer, max_stall_seconds, discards_input
        )
    writer.close()
    await writer.wait_closed()


async def _wait_for_acknowledgement(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    max_stall_seconds: float,
    discards_input: bool,
) -> None:
    loop = asyncio.get_running_loop()
    unsent_bytes, progress_at = count_unsent_bytes(writer), loop.time()
    received_at = loop.time()
    while not writer.transport.is_closing():
        is_peer_open = discards_input and not reader.at_eof()
        if is_peer_open:
            if await _discard_input(reader):
                received_at = loop.time()
        else:
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)
        _check_connection(writer)
        previous_bytes, unsent_bytes = unsent_bytes, count_unsent_bytes(writer)
        if unsent_bytes < previous_bytes:
            progress_at = loop.time()
        stalled_seconds = loop.time() - progress_at
        if unsent_bytes and stalled_seconds >= max_stall_seconds:
            raise TimeoutError
        silent_seconds = loop.time() - max(progress_at, received_at)
        has_lingered = (
            silent_seconds >= LINGERING_CLOSE_SECONDS
            or stalled_seconds >= MAX_LINGER_SECONDS
        )
        if not unsent_bytes and (not is_peer_open or has_lingered):
            return


async def _discard_input(reader: asyncio.StreamReader) -> bool:
    """Read and discard; return whether anything was received."""
    try:
        async with asyncio.timeout(ACKNOWLEDGEMENT_POLL_SECONDS):
            return bool(await reader.read(MAX_READ_BYTES))
    except TimeoutError:
        return False


def _check_connection(writer: asyncio.StreamWriter) -> None:
    """Raise OSError if the connection was lost, which only a read would notice."""
    sock = find_open_socket(writer)
    if sock is None:
        return
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
