"""Socket options that detect unresponsive peers, and errors of addresses."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

# Allows for several retransmissions: TCP resends a lost packet within a few hundred
# milliseconds.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
MS_PER_SECOND = 1_000
# Idle time before the first keepalive probe, and time between probes.
KEEPALIVE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 3
# Place of tcpi_unacked in the kernel's tcp_info, after eight bytes and four counts.
UNACKNOWLEDGED_OFFSET = 24
TCP_INFO_BYTES = 32
_SEGMENT_COUNT = struct.Struct("=I")


def find_open_socket(writer: asyncio.StreamWriter) -> socket.socket | None:
    """Return the socket of a connection; None if it has none or was lost."""
    sock = writer.get_extra_info("socket")
    return None if sock is None or sock.fileno() < 0 else sock


def _find_tcp_socket(writer: asyncio.StreamWriter) -> socket.socket | None:
    sock = find_open_socket(writer)
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return None
    return sock


def tolerate_closed_window(writer: asyncio.StreamWriter, seconds: float) -> None:
    """Keep the connection for a time although its peer reads nothing.

    The kernel does not tell a peer that acknowledges but reads nothing from a dead one.
    """
    sock = _find_tcp_socket(writer)
    if sock is None:
        return
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * MS_PER_SECOND)
    )


def is_window_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has acknowledged all that it lets this end send.

    A peer that has gone leaves bytes that were sent without an acknowledgement.
    """
    sock = _find_tcp_socket(writer)
    if sock is None:
        return False
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    [unacknowledged_segments] = _SEGMENT_COUNT.unpack_from(info, UNACKNOWLEDGED_OFFSET)
    return unacknowledged_segments == 0


def limit_received_bytes(writer: asyncio.StreamWriter, size: int) -> None:
    """Receive no more bytes at a time, so that a small buffer is not overrun."""
    # The transport's own default is several times the buffers of a connection.
    writer.transport.max_size = size


def enable_dead_peer_detection(
    writer: asyncio.StreamWriter, unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Make the kernel close the connection when its peer becomes unreachable.

    That is the given time after sending what the peer does not acknowledge.
    """
    sock = _find_tcp_socket(writer)
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


@contextmanager
def convert_address_errors() -> Iterator[None]:
    """Raise OSError for a host or port that can't be an address."""
    try:
        yield
    except (ValueError, OverflowError) as error:
        raise OSError(f"invalid address: {error}") from error
