"""Unsent bytes of connections."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct("i")


def count_unsent_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the number of bytes that the peer has not acknowledged, if known.

    Without an answer of the kernel, only those of the write buffer count.
    """
    buffered_bytes = writer.transport.get_write_buffer_size()
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered_bytes
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        return buffered_bytes
    return buffered_bytes + _COUNT.unpack(answer)[0]
