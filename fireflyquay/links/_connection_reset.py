"""Resets of connections, so that no peer takes a truncated message for a whole one."""

from __future__ import annotations

import asyncio
import socket
import struct

from ._sockets import find_open_socket

_LINGER = struct.Struct("ii")


def set_reset_on_close(writer: asyncio.StreamWriter, is_reset: bool) -> None:
    """Set whether closing resets the connection; the end of the process closes it."""
    sock = find_open_socket(writer)
    if sock is not None:
        linger = _LINGER.pack(int(is_reset), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def abort_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection and discard unsent bytes."""
    transport = writer.transport
    if transport.get_write_buffer_size() or not transport.is_closing():
        set_reset_on_close(writer, True)
    transport.abort()
