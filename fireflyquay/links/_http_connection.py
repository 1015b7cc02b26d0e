"""Connections of the HTTP server, which read requests and run the handler."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import logbook
import msgspec

from fireflyquay.dispatch import CONNECTION_BYTES, MemoryUse
from fireflyquay.world import Code, Verdict

from ._body_memory import SMALL_BODY_BYTES, BodyMemory
from ._connection_guard import ConnectionGuard, GuardedConnection
from ._connection_reset import abort_connection
from ._graceful_close import close_gracefully, count_unsent_bytes
from ._http_message import (
    CallerDisconnectedError,
    HttpLimits,
    HttpRequest,
    join_headers,
)
from ._http_responder import HttpResponder
from ._loop_turns import EventShare
from ._monitored_reader import MonitoredReader
from ._sockets import limit_received_bytes

LOG = logbook.Logger("http")

# Text of a head is held this often: as received, as items, and decoded.
HEAD_COPIES = 3
# Memory of the objects that a header and a query parameter are parsed into.
HEADER_BYTES = 300
PARAMETER_BYTES = 100
# A body is held this often while it is read or sent on.
BODY_COPIES = 2
# Memory that is reserved at a time for a body without a stated length.
BODY_STEP_BYTES = 16 * 1024


class HttpErrorBody(msgspec.Struct, frozen=True):
    """Hold the body of an error response from the server, not from a handler."""

    code: Code
    verdict: Verdict
    sentence: str


class HttpRequestError(Exception):
    """Report a request that is rejected with a 4xx status."""

    def __init__(
        self,
        status: int,
        code: Code,
        sentence: str,
        verdict: Verdict = Verdict.NOT_RUN,
    ) -> None:
        super().__init__(sentence)
        self.status = status
        self.error_body = HttpErrorBody(code, verdict, sentence)


def _make_timeout_error(headers: dict[str, str]) -> HttpRequestError:
    """Return the error for a slow request, which may have run if it was sent before."""
    is_first_send = headers.get("fireflyquay-send-count") == "1"
    verdict = Verdict.NOT_RUN if is_first_send else Verdict.MAY_HAVE_RUN
    return HttpRequestError(
        408,
        Code.BAD_REQUEST,
        "The request came too slowly.",
        verdict,
    )


def _make_parse_error(error: h11.RemoteProtocolError) -> HttpRequestError:
    if error.error_status_hint == 431:
        return HttpRequestError(431, Code.BAD_REQUEST, "The headers are too large.")
    return HttpRequestError(400, Code.BAD_REQUEST, f"Not HTTP/1.1: {error}.")


def _parse_target(target: bytes) -> tuple[str, dict[str, str]]:
    try:
        parts = urlsplit(target.decode("ascii"))
        # Escapes need not be UTF-8. What is passed on is the target itself.
        path = unquote(parts.path, errors="replace")
        pairs = parse_qsl(parts.query, keep_blank_values=True, errors="replace")
    except ValueError:
        raise HttpRequestError(400, Code.BAD_REQUEST, "Bad request target.") from None
    if not path.startswith("/"):
        raise HttpRequestError(400, Code.BAD_REQUEST, "The path must start with '/'.")
    return path, dict(pairs)


def _estimate_head_memory(head: h11.Request, parameter_count: int) -> int:
    """Return the bytes that a request's head takes for as long as it is handled."""
    raw_items = head.headers.raw_items()
    text_bytes = len(head.target)
    text_bytes += sum(len(name) + len(value) for name, value in raw_items)
    objects_bytes = len(raw_items) * HEADER_BYTES + parameter_count * PARAMETER_BYTES
    return text_bytes * HEAD_COPIES + objects_bytes


class ServerConnection(GuardedConnection):
    """Read the requests of one connection in turn and run the handler for each."""

    def __init__(
        self,
        reader: MonitoredReader,
        writer: asyncio.StreamWriter,
        handler: Callable[[HttpRequest, HttpResponder], Awaitable[None]],
        limits: HttpLimits,
        body_memory: BodyMemory,
        guard: ConnectionGuard,
        is_server_closing: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._body_memory = body_memory
        self._guard = guard
        self._share = EventShare(guard.turns)
        # Response of the exchange in progress, if its handler runs.
        self._responder: HttpResponder | None = None
        # Memory of the head of the request in progress.
        self._head_bytes = 0
        # Bytes of the body in progress.
        self._body_bytes = 0
        # Bytes reserved for the body of the request in progress.
        self._held_bytes = 0
        self._is_server_closing = is_server_closing
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._has_exchange_in_progress = False
        # Whether it is closed as soon as the client has the last response.
        self._is_closing = False
        # Limits the wait for a request while it lasts.
        self._idle_wait: asyncio.Timeout | None = None
        writer.transport.set_write_buffer_limits(high=limits.write_buffer_bytes)
        limit_received_bytes(writer, limits.read_ahead_bytes)
        self._holder = guard.add(self)

    @property
    def writer(self) -> asyncio.StreamWriter:
        """Return the writer of the connection."""
        return self._writer

    @property
    def max_stall_seconds(self) -> float:
        """Return the seconds for which the peer may take nothing."""
        return self._limits.idle_timeout

    def measure(self) -> MemoryUse:
        """Return what the connection takes now."""
        buffered_bytes = self._writer.transport.get_write_buffer_size()
        input_bytes = self._reader.unread_byte_count + len(self._http.trailing_data[0])
        body_bytes = max(self._body_bytes, self._held_bytes) * BODY_COPIES
        responder = self._responder
        return MemoryUse(
            CONNECTION_BYTES
            + buffered_bytes
            + input_bytes
            + self._head_bytes
            + body_bytes,
            self._reader.received_bytes,
            self.count_unsent_bytes(),
            responder is not None and not responder.finished,
        )

    def give_way(self) -> None:
        """Close the connection at once to make room."""
        abort_connection(self._writer)

    @property
    def is_busy(self) -> bool:
        """Return whether an exchange is in progress or its response not yet sent."""
        return self._has_exchange_in_progress or self.count_unsent_bytes() > 0

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes that the client has not received."""
        return count_unsent_bytes(self._writer)

    def abort(self) -> None:
        """Reset the connection, unless the kernel has the whole response."""
        if self._is_closing and not self._writer.transport.get_write_buffer_size():
            self._writer.close()
        else:
            abort_connection(self._writer)

    def close_if_idle(self) -> None:
        """Close the connection unless an exchange is in progress or has arrived."""
        if self._has_exchange_in_progress or self._is_closing:
            return
        if self._has_next_request:
            return
        if not self.count_unsent_bytes():
            self._writer.close()
        elif self._idle_wait is not None:
            self._idle_wait.reschedule(asyncio.get_running_loop().time())

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_request():
                self._release_request()
                if self._has_next_request:
                    # Others are served before what this client sent ahead.
                    await self._guard.turns.take()
            self._release_request()
            await self._close()
        except (OSError, CallerDisconnectedError):
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception as error:
            self._guard.errors.record("HTTP connection", error)
            self.abort()
        finally:
            self._release_request()
            self._guard.remove(self._holder)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        if not await self._wait_for_first_byte():
            return False
        self._has_exchange_in_progress = True
        try:
            request = await self._read_request()
        except HttpRequestError as error:
            await self._reject_request(error)
            return False
        if request is None:
            return False
        await self._run_handler(request)
        self._has_exchange_in_progress = False
        return self._reset_for_next_request()

    async def _wait_for_first_byte(self) -> bool:
        """Wait for a request; return False on idle timeout or end of input."""
        if self._http.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(self._limits.idle_timeout) as self._idle_wait:
                data = await self._reader.read(self._limits.read_ahead_bytes)
        except TimeoutError:
            if not self._reader.has_unread_bytes:
                return False
            # It arrived as the time was up.
            data = await self._reader.read(self._limits.read_ahead_bytes)
        finally:
            self._idle_wait = None
        if not data:
            return False
        self._http.receive_data(data)
        return True

    async def _read_request(self) -> HttpRequest | None:
        try:
            async with asyncio.timeout(self._limits.header_timeout):
                head = await self._next_event()
        except TimeoutError:
            # Without headers, the number of earlier sends is unknown.
            raise _make_timeout_error({}) from None
        if not isinstance(head, h11.Request):
            return None
        path, query = _parse_target(head.target)
        headers = join_headers(list(head.headers))
        self._head_bytes = _estimate_head_memory(head, len(query))
        self._guard.update(self._holder)
        try:
            async with asyncio.timeout(self._limits.body_timeout):
                body = await self._read_body(headers)
        except TimeoutError:
            raise _make_timeout_error(headers) from None
        return HttpRequest(
            head.method.decode("ascii"),
            path,
            query,
            headers,
            body or b"",
            head.target,
            head.headers.raw_items(),
            lacks_body=body is None,
        )

    async def _read_body(self, headers: dict[str, str]) -> bytes | None:
        """Return the body, or None if it exceeds the memory for bodies."""
        length = int(headers.get("content-length", "0"))
        self._check_body_size(length)
        if not self._guard.account.has_room(0):
            return None
        if not self._hold_body(length):
            return None
        body = bytearray()
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Data):
                return bytes(body)
            body += event.data
            self._body_bytes = len(body)
            self._check_body_size(len(body))
            if not self._hold_body(self._round_body_size(len(body))):
                self._release_body()
                return None

    def _round_body_size(self, size: int) -> int:
        """Return the size to reserve for a body that grows, in steps, not by chunks."""
        if size <= max(SMALL_BODY_BYTES, self._held_bytes):
            return size
        steps = -(-size // BODY_STEP_BYTES)
        return min(steps * BODY_STEP_BYTES, self._limits.max_body_bytes)

    def _hold_body(self, size: int) -> bool:
        """Reserve memory for a body of which the given bytes are known."""
        if size <= max(SMALL_BODY_BYTES, self._held_bytes):
            return True
        # What the request holds already must not keep it from being held alone.
        self._release_body()
        # One body is always held, as there is memory for it besides.
        has_room = not self._body_memory.held_bytes or self._guard.account.has_room(
            size * BODY_COPIES
        )
        if not has_room or not self._body_memory.reserve(size):
            return False
        self._held_bytes = size
        self._guard.update(self._holder)
        return True

    def _release_request(self) -> None:
        self._head_bytes = 0
        self._release_body()

    def _release_body(self) -> None:
        self._body_memory.release(self._held_bytes)
        self._held_bytes = self._body_bytes = 0

    def _check_body_size(self, body_bytes: int) -> None:
        if body_bytes > self._limits.max_body_bytes:
            sentence = f"The body is over {self._limits.max_body_bytes} bytes."
            raise HttpRequestError(413, Code.BODY_TOO_LARGE, sentence)

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise _make_parse_error(error) from None
            if event is not h11.NEED_DATA:
                await self._share.spend()
                return event
            if self._http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._writer.write(self._http.send(continue_response))
            if not self._reader.has_unread_bytes:
                self._share.renew()
            self._http.receive_data(
                await self._reader.read(self._limits.read_ahead_bytes)
            )

    async def _run_handler(self, request: HttpRequest) -> None:
        responder = self._make_responder(request.method == "HEAD")
        self._responder = responder
        try:
            await self._handler(request, responder)
        except CallerDisconnectedError:
            responder.abort()
        except Exception as error:
            self._guard.errors.record(
                "HTTP request", error, method=request.method, path=request.path
            )
        finally:
            self._responder = None
        if not responder.finished:
            await self._end_unfinished_exchange(responder)

    async def _end_unfinished_exchange(self, responder: HttpResponder) -> None:
        if responder.started or responder.disconnected.is_set():
            responder.abort()
            return
        error_body = HttpErrorBody(
            Code.INTERNAL,
            Verdict.MAY_HAVE_RUN,
            "The server failed on this request.",
        )
        await self._send_error(responder, 500, error_body)

    async def _reject_request(self, error: HttpRequestError) -> None:
        responder = self._make_responder(False)
        await self._send_error(responder, error.status, error.error_body)

    async def _send_error(
        self,
        responder: HttpResponder,
        status: int,
        error_body: HttpErrorBody,
    ) -> None:
        headers = {"content-type": "application/json"}
        await responder.send(status, headers, msgspec.json.encode(error_body))

    def _make_responder(self, is_head_request: bool) -> HttpResponder:
        return HttpResponder(
            self._http,
            self._writer,
            self._limits,
            self._reader.closed,
            self._is_ending,
            is_head_request,
        )

    def _reset_for_next_request(self) -> bool:
        """Prepare for another request; return False if reuse is impossible."""
        if self._writer.transport.is_closing():
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        if self._is_ending():
            return False
        self._http.start_next_cycle()
        return True

    def _is_ending(self) -> bool:
        """Return whether no further request is served on this connection."""
        if self._http.their_state in (h11.IDLE, h11.SEND_BODY, h11.ERROR):
            # The request was not read.
            return True
        return self._is_server_closing() and not self._has_next_request

    @property
    def _has_next_request(self) -> bool:
        """Return whether the client has sent more than the request in progress."""
        return bool(self._http.trailing_data[0]) or self._reader.has_unread_bytes

    async def _close(self) -> None:
        self._is_closing = True
        await close_gracefully(
            self._reader,
            self._writer,
            self._limits.idle_timeout,
            # Otherwise the client was not told that the connection ends.
            self._http.our_state is h11.MUST_CLOSE,
        )
