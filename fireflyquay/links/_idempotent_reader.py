"""Reads of one address that do not depend on connections kept from earlier ones."""

from __future__ import annotations

import asyncio

import logbook

from fireflyquay.world import Code

from ._http_client import HttpClient
from ._http_message import HttpFailure, HttpResponse

LOG = logbook.Logger("store")

# Seconds for which a kept connection may be silent after a request: several times a
# usual response time, and a small part of the time within which changes are in force.
MIN_PATIENCE_SECONDS = 0.25
# Multiple of the last response time that a response may take, if that is longer.
PATIENCE_FACTOR = 3.0
# Codes of failures that a new connection may avoid.
CONNECTION_CODES = (Code.BACKEND_TIMEOUT, Code.STREAM_LOST)


class IdempotentReader:
    """Send GET requests to one address; leave kept connections that went silent.

    A connection may lose everything without a reset. The kernel tells so only after
    seconds, and each connection that was kept would cost a timeout of its own.
    """

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._client = client
        self._host = host
        self._port = port
        self._last_response_seconds = 0.0

    @property
    def patience(self) -> float:
        """Return the seconds after which a kept connection counts as silent."""
        return max(MIN_PATIENCE_SECONDS, PATIENCE_FACTOR * self._last_response_seconds)

    async def get(self, target: str, timeout: float) -> HttpResponse:
        """Return the response to a request; raise HttpFailure if there is none.

        The timeout in seconds limits both tries together.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if self._client.keeps_connection(self._host, self._port):
            try:
                return await self._send(target, timeout, head_timeout=self.patience)
            except HttpFailure as failure:
                if failure.code not in CONNECTION_CODES:
                    raise
                if loop.time() - started_at >= timeout:
                    raise
                LOG.info("kept connection replaced", extra={"cause": failure.sentence})
            self._client.discard_connections(self._host, self._port)
        remaining_seconds = timeout - (loop.time() - started_at)
        return await self._send(target, remaining_seconds)

    async def _send(self, target: str, timeout: float, **limits: float) -> HttpResponse:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = await self._client.request(
            self._host, self._port, "GET", target, {}, b"", timeout, **limits
        )
        self._last_response_seconds = loop.time() - sent_at
        return response
