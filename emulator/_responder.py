"""Responder that passes a gateway's response to an emulated client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fireflyquay.links import CallerDisconnectedError

# Keeps chunks in order that would otherwise arrive at the same time.
MIN_ARRIVAL_GAP_SECONDS = 1e-6


class EmulatedResponder:
    """Pass a gateway's response to one emulated client after a delay."""

    def __init__(self, loop: asyncio.AbstractEventLoop, delay: float) -> None:
        self._loop = loop
        self._delay = delay
        self.disconnected = asyncio.Event()
        self.started = False
        # Whether the gateway has ended the response, and whether that has reached the
        # client.
        self.is_closed = False
        self.finished = False
        self.status = 0
        self.is_aborted = False
        # Arrival time and bytes of each chunk that has arrived at the client.
        self.received: list[tuple[float, bytes]] = []
        # Set when a chunk or the end of the response arrives.
        self.updated = asyncio.Event()
        self._last_arrival = 0.0

    async def send(
        self,
        status: int,
        headers: object,
        body: bytes,
        ends_with_connection: bool = False,
    ) -> None:
        """Send a complete response."""
        await self.start(status, headers, ends_with_connection)
        await self.write(body)
        await self.finish()

    async def start(
        self, status: int, headers: object, ends_with_connection: bool = False
    ) -> None:
        """Start a response with a status."""
        self._check_open()
        self.started, self.status = True, status

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        self._check_open()
        self._schedule(self._receive, chunk)

    async def finish(self) -> None:
        """End the response."""
        self._check_open()
        self.is_closed = True
        self._schedule(self._end_response, False)

    def abort(self) -> None:
        """Abort the response, which the client sees without delay."""
        self.is_closed = True
        self._end_response(True)

    def _schedule(self, call: Callable, argument: object) -> None:
        """Schedule the arrival of a chunk or the end after all earlier ones."""
        earliest = self._last_arrival + MIN_ARRIVAL_GAP_SECONDS
        self._last_arrival = max(self._loop.time() + self._delay, earliest)
        self._loop.call_at(self._last_arrival, call, argument)

    def _receive(self, chunk: bytes) -> None:
        self.received.append((self._loop.time(), chunk))
        self.updated.set()

    def _end_response(self, is_aborted: bool) -> None:
        if not self.finished:
            self.finished, self.is_aborted = True, is_aborted
            self.updated.set()

    def _check_open(self) -> None:
        if self.disconnected.is_set() or self.is_closed:
            raise CallerDisconnectedError
