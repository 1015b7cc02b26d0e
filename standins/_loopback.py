"""Helpers of tests that use sockets on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Conditions usually hold within milliseconds, on a busy machine within a few seconds.
WAIT_TIMEOUT_SECONDS = 20.0


def find_free_port() -> int:
    """Return a TCP port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def wait_until(
    condition: Callable[[], bool], seconds: float = WAIT_TIMEOUT_SECONDS
) -> None:
    """Poll until the condition holds; raise TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
