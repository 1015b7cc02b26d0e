"""Socket options that reveal peers which went silent."""

from __future__ import annotations

import asyncio
import socket

# Milliseconds that sent bytes may stay unacknowledged. A lost packet is sent again
# within some hundred milliseconds, so this spans several retransmissions.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
# Seconds of silence before the first probe, and between probes.
KEEPALIVE_INTERVAL_SECONDS = 1
# Unanswered probes that end a connection.
MAX_UNANSWERED_PROBES = 3


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Let the kernel end a connection whose peer is cut off."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
