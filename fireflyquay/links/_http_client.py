"""HTTP/1.1 client on h11 and asyncio streams with a connection pool."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping

import h11

from fireflyquay.world import Code

from ._http_exchange import BackendExchange, ExchangeOptions, HttpExchange
from ._http_message import (
    HttpFailure,
    HttpLimits,
    HttpResponse,
    HttpStream,
)
from ._http_pool import (
    Address,
    ClientConnection,
    ConnectionPool,
    Dialer,
    TcpDialer,
)
from ._loop_turns import LoopTurns
from ._tunnel import Connection

DEFAULT_EXCHANGE_OPTIONS = ExchangeOptions()


class BackendClient(ABC):
    """Send requests with the given headers to backend servers."""

    @abstractmethod
    def forward(
        self,
        address: Address,
        method: str,
        target: str | bytes,
        header_pairs: list[tuple[str | bytes, str | bytes]],
        body: bytes,
        timeout: float,
        options: ExchangeOptions = DEFAULT_EXCHANGE_OPTIONS,
    ) -> BackendExchange:
        """Prepare an exchange with the given headers and, if needed, a content length.

        The timeout in seconds limits each wait for data, and connecting unless the
        options limit it.
        """

    @abstractmethod
    async def dial(self, address: Address) -> Connection:
        """Connect to a backend server; raise OSError if that fails."""

    @abstractmethod
    async def can_connect(self, address: Address, timeout: float) -> bool:
        """Return whether a connection opens within the timeout in seconds."""

    @abstractmethod
    async def close(self) -> None:
        """Close the idle connections."""


class HttpClient(BackendClient):
    """Send requests over pooled connections."""

    def __init__(self, limits: HttpLimits, dialer: Dialer | None = None) -> None:
        self._limits = limits
        self._dialer = dialer or TcpDialer()
        self._pool = ConnectionPool(limits.idle_timeout)
        # Of backend servers' responses, apart from those of clients' requests.
        self._turns = LoopTurns()

    async def request(
        self,
        host: str,
        port: int,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
        head_timeout: float | None = None,
    ) -> HttpResponse:
        """Send a request and return its response; raise HttpFailure if it fails.

        The timeout in seconds limits the whole exchange; the other one limits it up to
        the head of the response.
        """
        exchange = self.stream(host, port, method, target, headers, body, timeout)
        try:
            async with asyncio.timeout(timeout):
                async with (
                    asyncio.timeout(head_timeout) as head_limit,
                    exchange as stream,
                ):
                    head_limit.reschedule(None)
                    data = await self._read_whole_body(stream)
        except TimeoutError:
            # Those that were opened with it may have gone silent with it.
            self._pool.discard((host, port))
            sentence = (
                f"{host}:{port}: The response was not complete within the timeout, "
                f"on {exchange.describe_connection()}."
            )
            raise HttpFailure(Code.BACKEND_TIMEOUT, sentence, exchange.sent) from None
        return HttpResponse(stream.status, stream.headers, data)

    def stream(
        self,
        host: str,
        port: int,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> HttpExchange:
        """Prepare an exchange whose Host header is the address.

        The timeout in seconds limits connecting and each wait for data.
        """
        header_pairs = [("host", f"{host}:{port}"), *headers.items()]
        return self.forward((host, port), method, target, header_pairs, body, timeout)

    def forward(
        self,
        address: Address,
        method: str,
        target: str | bytes,
        header_pairs: list[tuple[str | bytes, str | bytes]],
        body: bytes,
        timeout: float,
        options: ExchangeOptions = DEFAULT_EXCHANGE_OPTIONS,
    ) -> HttpExchange:
        """Prepare an exchange with the given headers and, if needed, a content length.

        The timeout in seconds limits each wait for data, and connecting unless the
        options limit it.
        """
        if body or method not in ("GET", "HEAD", "DELETE"):
            header_pairs = [*header_pairs, ("Content-Length", str(len(body)))]
        try:
            head = h11.Request(method=method, target=target, headers=header_pairs)
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise HttpFailure(
                Code.BAD_REQUEST, f"The request is not valid HTTP/1.1: {error}.", False
            ) from None
        return HttpExchange(
            self._pool,
            self._dialer,
            self._limits,
            address,
            head,
            body,
            timeout,
            options,
            self._turns,
        )

    async def dial(self, address: Address) -> Connection:
        """Connect to a backend server; raise OSError if that fails."""
        return await self._dialer.dial(address)

    async def can_connect(self, address: Address, timeout: float) -> bool:
        """Return whether a connection opens within the timeout in seconds; pool it."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await self._dialer.dial(address)
        except (OSError, TimeoutError):
            return False
        connection = ClientConnection(reader, writer, self._limits, self._turns)
        now = asyncio.get_running_loop().time()
        self._pool.release(address, connection, now)
        return True

    def keeps_connection(self, host: str, port: int) -> bool:
        """Return whether an idle connection to an address is kept."""
        return self._pool.has_idle((host, port))

    def discard_connections(self, host: str, port: int) -> None:
        """Close the idle connections to an address."""
        self._pool.discard((host, port))

    async def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _read_whole_body(self, stream: HttpStream) -> bytes:
        data = bytearray()
        async for chunk in stream.chunks:
            data += chunk
            if len(data) > self._limits.max_body_bytes:
                raise HttpFailure(
                    Code.BODY_TOO_LARGE,
                    f"The response body exceeds {self._limits.max_body_bytes} bytes.",
                    True,
                )
        return bytes(data)
