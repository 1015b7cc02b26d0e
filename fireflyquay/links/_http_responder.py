"""Response side of an HTTP exchange on the server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import h11

from ._connection_reset import abort_connection, set_reset_on_close
from ._graceful_close import drain
from ._http_message import CallerDisconnectedError, HttpLimits, RawHeaders

Headers = Mapping[str, str] | RawHeaders


def make_header_pairs(headers: Headers) -> list[tuple[bytes | str, bytes | str]]:
    """Return headers as a list of pairs."""
    return list(headers.items() if isinstance(headers, Mapping) else headers)


class HttpResponder:
    """Send one response, whole or in parts.

    Sending raises CallerDisconnectedError if the connection is closed, or if the client
    receives nothing for the idle timeout while the write buffer is full.
    """

    def __init__(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
        disconnected: asyncio.Event,
        is_closing: Callable[[], bool] = lambda: False,
        is_head_request: bool = False,
    ) -> None:
        self._http = http
        self._writer = writer
        self._limits = limits
        self._is_server_closing = is_closing
        self._is_head_request = is_head_request
        # Set when the client has disconnected.
        self.disconnected = disconnected
        # Whether sending of a response has begun.
        self.started = False
        # Whether the response is complete or aborted.
        self.finished = False

    async def send(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        ends_with_connection: bool = False,
    ) -> None:
        """Send a whole response, without the body if the request's method is HEAD."""
        pairs = make_header_pairs(headers)
        if not ends_with_connection:
            pairs.append(("content-length", str(len(body))))
        head = self._make_head(status, pairs)
        data = self._begin_response(head, ends_with_connection)
        data += self._encode_chunk(body) + self._end_response()
        await self._write_bytes(data)

    async def start(
        self, status: int, headers: Headers, ends_with_connection: bool = False
    ) -> None:
        """Send the status and headers of a response whose body follows in parts.

        They are framed as chunks, unless the end of the connection is to end them.
        """
        head = self._make_head(status, headers)
        await self._write_bytes(self._begin_response(head, ends_with_connection))

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""
        await self._write_bytes(self._encode_chunk(chunk))

    async def finish(self) -> None:
        """End a response that is sent in parts."""
        await self._write_bytes(self._end_response())

    def abort(self) -> None:
        """Reset the connection, so that the client detects a truncated response."""
        self.finished = True
        abort_connection(self._writer)

    def _make_head(self, status: int, headers: Headers) -> h11.Response:
        pairs = make_header_pairs(headers)
        if self._is_server_closing():
            pairs.append(("connection", "close"))
        return h11.Response(status_code=status, headers=pairs)

    def _begin_response(self, head: h11.Response, ends_with_connection: bool) -> bytes:
        self.started = True
        if ends_with_connection:
            # h11 uses chunks unless the peer's version lacks them.
            self._http.their_http_version = b"1.0"
        if self._is_ended_by_connection(head):
            # Otherwise, if this process is killed, the response seems to end there.
            set_reset_on_close(self._writer, True)
        return self._http.send(head)

    def _is_ended_by_connection(self, head: h11.Response) -> bool:
        """Return whether only the end of the connection ends the body."""
        has_length = any(name == b"content-length" for name, _ in head.headers)
        may_be_chunked = (self._http.their_http_version or b"") >= b"1.1"
        return not may_be_chunked and not has_length

    def _encode_chunk(self, chunk: bytes) -> bytes:
        if not chunk or self._is_head_request:
            return b""
        return self._http.send(h11.Data(data=chunk))

    def _end_response(self) -> bytes:
        self.finished = True
        return self._http.send(h11.EndOfMessage())

    async def _write_bytes(self, data: bytes) -> None:
        if self._writer.transport.is_closing():
            raise CallerDisconnectedError
        self._writer.write(data)
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        if unsent_bytes <= self._limits.write_buffer_bytes:
            return
        try:
            await drain(self._writer, self._limits.idle_timeout)
        except OSError:
            abort_connection(self._writer)
            raise CallerDisconnectedError from None
