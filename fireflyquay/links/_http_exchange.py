"""Exchange of one request and its response over a pooled or new connection."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from types import TracebackType

import h11

from fireflyquay.world import Code, parse_count

from ._http_message import (
    HttpFailure,
    HttpLimits,
    HttpStream,
    join_headers,
)
from ._http_pool import (
    Address,
    ClientConnection,
    ConnectionPool,
    Dialer,
)
from ._loop_turns import LoopTurns

# Highest status of the classes that HTTP defines.
MAX_STATUS = 599
# Statuses of responses that never have a body.
BODILESS_STATUSES = (204, 304)


@dataclass(frozen=True, slots=True)
class ExchangeOptions:
    """Configure the connection and the accepted responses of one exchange."""

    # Timeout for connecting, in seconds; None to use the exchange's timeout.
    connect_timeout: float | None = None
    # Maximum idle time of a reused connection; None to use the pool's limit.
    max_idle_seconds: float | None = None
    # Whether a connection may be used that carried another exchange.
    reuses_connections: bool = True
    # Returns whether response headers belong to this request, given whether the
    # connection carried another exchange before; None to accept all.
    matches_request: Callable[[dict[str, str], bool], bool] | None = None
    # Opens the connection; None to use the client's own dialer.
    dialer: Dialer | None = None


def parse_keep_alive_seconds(value: str) -> float | None:
    """Return the timeout of a Keep-Alive header in seconds, or None if it has none."""
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout":
            return parse_count(seconds)
    return None


def _ends_with_connection(
    method: bytes, status: int, headers: Mapping[str, str]
) -> bool:
    """Return whether only the end of the connection ends a response's body."""
    if method == b"HEAD" or status in BODILESS_STATUSES:
        return False
    return "content-length" not in headers and "transfer-encoding" not in headers


class BackendExchange(AbstractAsyncContextManager[HttpStream]):
    """Send a request to a backend server and yield its response."""

    @property
    @abstractmethod
    def is_direct(self) -> bool:
        """Return whether a connection is open that no other VM carries."""

    @abstractmethod
    def interrupt(self) -> None:
        """Break the connection off, so that the exchange fails at once."""


class HttpExchange(BackendExchange):
    """Send a request and yield its response, as an async context manager.

    Entering it and reading chunks raise HttpFailure, whose `sent` says whether the
    request may have arrived.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialer: Dialer,
        limits: HttpLimits,
        address: Address,
        head: h11.Request,
        body: bytes,
        timeout: float,
        options: ExchangeOptions,
        turns: LoopTurns,
    ) -> None:
        self._pool = pool
        self._turns = turns
        self._dialer = options.dialer or dialer
        self._limits = limits
        self._address = address
        self._head = head
        self._body = body
        self._timeout = timeout
        self._options = options
        self._connection: ClientConnection | None = None
        # Seconds for which the connection was idle before; None if it is new.
        self._idle_seconds: float | None = None
        # Whether the response is a success that only the end of the connection ends.
        self._is_unframed_success = False
        self._is_complete = False
        self._is_interrupted = False
        # Whether any byte of the request may have reached the peer.
        self.sent = False

    async def __aenter__(self) -> HttpStream:
        try:
            self._connection = await self._send_request()
            response = await self._read_matching_head()
        except BaseException:
            self._release()
            raise
        headers = join_headers(response.headers)
        self._connection.peer_keep_alive_seconds = parse_keep_alive_seconds(
            headers.get("keep-alive", "")
        )
        status = response.status_code
        is_unframed = _ends_with_connection(self._head.method, status, headers)
        self._is_unframed_success = is_unframed and 200 <= status < 300
        return HttpStream(
            status,
            headers,
            self,
            response.headers.raw_items(),
            is_unframed,
            self._connection.carrier,
        )

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._release()

    def __aiter__(self) -> HttpExchange:
        return self

    async def __anext__(self) -> bytes:
        if self._is_complete:
            raise StopAsyncIteration
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise self._make_failure(
                Code.STREAM_LOST, "The response ended before its body was complete."
            )
        assert self._connection is not None
        if self._is_unframed_success and self._connection.has_unacknowledged_bytes:
            # The peer's end may come before the reset that tells of its trouble.
            raise self._make_failure(
                Code.STREAM_LOST,
                "The connection ended before the peer had received the request.",
            )
        self._is_complete = True
        raise StopAsyncIteration

    @property
    def is_direct(self) -> bool:
        """Return whether a connection is open that no other VM carries."""
        return self._connection is not None and not self._connection.carrier

    def describe_connection(self) -> str:
        """Return whether the exchange used a new connection, for a log line."""
        if not self.sent:
            return "no connection"
        if self._idle_seconds is None:
            return "a new connection"
        return f"a connection that was idle for {self._idle_seconds:.1f} s"

    def interrupt(self) -> None:
        """Break the connection off, so that the exchange fails at once."""
        self._is_interrupted = True
        if self._connection is not None:
            self._connection.abort()

    async def _send_request(self) -> ClientConnection:
        """Send the request over a pooled or new connection; return the connection."""
        now = asyncio.get_running_loop().time()
        max_idle_seconds = self._options.max_idle_seconds
        if self._options.reuses_connections and self._dialer.may_reuse(self._address):
            while (
                pooled := self._pool.acquire(self._address, now, max_idle_seconds)
            ) is not None:
                if self._try_send(pooled):
                    return pooled
        new_connection = await self._connect()
        if self._try_send(new_connection):
            return new_connection
        raise self._make_failure(
            Code.STREAM_LOST,
            "The new connection was closed before the request was sent.",
        )

    def _try_send(self, connection: ClientConnection) -> bool:
        if connection.send(self._head, self._body):
            self.sent = True
            self._idle_seconds = connection.idle_seconds
            return True
        connection.abort()
        return False

    async def _connect(self) -> ClientConnection:
        try:
            async with asyncio.timeout(self._options.connect_timeout or self._timeout):
                reader, writer = await self._dialer.dial(self._address)
                return ClientConnection(reader, writer, self._limits, self._turns)
        except TimeoutError:
            raise self._make_failure(
                Code.BACKEND_TIMEOUT, "The connection attempt timed out."
            ) from None
        except OSError as error:
            raise self._make_failure(
                Code.STREAM_LOST, f"The connection attempt failed: {error}."
            ) from None

    async def _read_matching_head(self) -> h11.Response:
        """Return the head of this request's response; skip those to other requests."""
        assert self._connection is not None
        matches_request = self._options.matches_request
        while True:
            response = await self._read_head()
            if matches_request is None or matches_request(
                join_headers(response.headers), self._connection.was_used
            ):
                return response
            while isinstance(await self._next_event(), h11.Data):
                pass
            self._connection.reset_for_next_response(self._head, self._body)

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise self._make_failure(
                        Code.STREAM_LOST,
                        f"The response has the unknown status {event.status_code}.",
                    )
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._make_failure(
                    Code.STREAM_LOST, "The connection was closed without a response."
                )

    async def _next_event(self) -> object:
        assert self._connection is not None
        try:
            async with asyncio.timeout(self._timeout):
                event = await self._connection.next_event()
            if self._is_interrupted:
                # The end of the connection might pass for the end of the response.
                raise ConnectionAbortedError("it was given up")
            return event
        except TimeoutError:
            raise self._make_failure(
                Code.BACKEND_TIMEOUT, "No data arrived within the timeout."
            ) from None
        except OSError as error:
            raise self._make_failure(
                Code.STREAM_LOST, f"The connection was lost: {error}."
            ) from None
        except h11.RemoteProtocolError as error:
            raise self._make_failure(
                Code.STREAM_LOST, f"The response is not valid HTTP/1.1: {error}."
            ) from None

    def _make_failure(self, code: Code, sentence: str) -> HttpFailure:
        host, port = self._address
        return HttpFailure(code, f"{host}:{port}: {sentence}", self.sent)

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        may_be_kept = self._is_complete and self._options.reuses_connections
        if may_be_kept and connection.reset_for_next_request():
            now = asyncio.get_running_loop().time()
            self._pool.release(self._address, connection, now)
            return
        connection.abort()
