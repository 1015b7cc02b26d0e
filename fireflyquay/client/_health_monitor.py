"""Health checks of entry VMs during a pending request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ._directory import Address
from ._http_exchange import ConnectionLost, HttpClient, send_request

HEALTH_PATH = "/healthz"
HEALTH_CHECK_TIMEOUT_SECONDS = 2.0


class EntryHealthMonitor:
    """Check the health of an entry VM while its response is awaited."""

    def __init__(self, http: HttpClient, probe_after: float) -> None:
        self._http = http
        # Seconds before each check while the response is awaited.
        self._check_interval_seconds = probe_after

    @asynccontextmanager
    async def abort_if_unresponsive(self, address: Address) -> AsyncIterator[None]:
        """Cancel the block and raise ConnectionLost if a health check fails."""
        loop = asyncio.get_running_loop()
        checks: list[asyncio.Task[None]] = []

        def start_check() -> None:
            checks.append(
                loop.create_task(self._check_health_periodically(address, scope))
            )

        try:
            async with asyncio.timeout(None) as scope:
                timer = loop.call_later(self._check_interval_seconds, start_check)
                try:
                    yield
                finally:
                    timer.cancel()
                    await _cancel(checks)
        except TimeoutError:
            raise ConnectionLost(True) from None

    async def _check_health_periodically(
        self, address: Address, scope: asyncio.Timeout
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                # A response with any status shows that the entry VM is responsive.
                await send_request(
                    self._http,
                    address,
                    "GET",
                    HEALTH_PATH,
                    (),
                    b"",
                    HEALTH_CHECK_TIMEOUT_SECONDS,
                )
            except ConnectionLost:
                scope.reschedule(loop.time())
                return
            await asyncio.sleep(self._check_interval_seconds)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
