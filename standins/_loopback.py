"""What tests with sockets on loopback share."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Seconds after which a condition that does not hold fails its test; usually it takes
# milliseconds, on a busy machine a few seconds.
WAIT_TIMEOUT_SECONDS = 20.0


def find_free_port() -> int:
    """Return a port that nothing listens at."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def wait_until(
    condition: Callable[[], bool], seconds: float = WAIT_TIMEOUT_SECONDS
) -> None:
    """Wait for a condition; raise TimeoutError if it does not hold in time."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
