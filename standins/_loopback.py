"""Helpers of tests that use sockets on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Conditions usually hold within milliseconds, on a busy machine within a few seconds.
WAIT_TIMEOUT_SECONDS = 20.0


class PortReservation:
    """Hold TCP ports on all local addresses until servers of a test listen on them.

    A bound socket that does not listen keeps the system from assigning its port to
    another socket; with ``SO_REUSEADDR``, which asyncio sets for servers, a server may
    listen on the port all the same.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [_bind_unused_port() for _ in range(count)]
        self.ports: list[int] = [sock.getsockname()[1] for sock in self._sockets]

    def release(self) -> None:
        """Release the ports."""
        for sock in self._sockets:
            sock.close()


def _bind_unused_port() -> socket.socket:
    # Without SO_REUSEADDR, the system assigns only a port that no socket uses.
    sock = socket.socket()
    sock.bind(("", 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock


async def wait_until(
    condition: Callable[[], bool], seconds: float = WAIT_TIMEOUT_SECONDS
) -> None:
    """Poll until the condition holds; raise TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
