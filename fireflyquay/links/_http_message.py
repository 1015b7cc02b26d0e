"""Limits, messages and errors shared by the HTTP server and client."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

from fireflyquay.world import Code, FireflyquayError, Incarnation

MAX_READ_BYTES = 64 * 1024

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limit the memory and time that one connection may use."""

    # Size of the request line or status line together with the headers.
    max_header_bytes: int = 16 * 1024
    # Size of a body that is read as a whole.
    max_body_bytes: int = 1024 * 1024
    # Maximum seconds from the first byte of a request to the end of its headers.
    header_timeout: float = 10.0
    # Maximum seconds from the end of the headers to the end of the body.
    body_timeout: float = 30.0
    # Maximum seconds that a connection is idle, or that a write waits for the peer.
    idle_timeout: float = 60.0
    # Number of unsent bytes above which a write waits until the peer has read.
    write_buffer_bytes: int = 64 * 1024
    # Bytes of a client's input that are received and passed to the parser at a time.
    read_ahead_bytes: int = 16 * 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one request with its body."""

    method: str
    # Percent-decoded, without the query.
    path: str
    query: dict[str, str]
    # Names in lower case; repeated headers are joined by commas.
    headers: dict[str, str]
    body: bytes
    # Path and query as received.
    target: bytes = b""
    # Names and values as received, in their order.
    raw_headers: RawHeaders = ()
    # Whether the body was not read for lack of memory; the request can't be handled.
    lacks_body: bool = False


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold one whole response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpStream:
    """Hold a response whose body is read in chunks."""

    status: int
    headers: dict[str, str]
    # Raises HttpFailure if the response ends before its body is complete, as far as its
    # framing tells.
    chunks: AsyncIterator[bytes]
    # Names and values as received, in their order.
    raw_headers: RawHeaders = ()
    # Whether the body has neither a length nor chunks, so that only the end of the
    # connection ends it.
    ends_with_connection: bool = False
    # VM that carries the connection; empty if it is direct.
    carrier: Incarnation = Incarnation("")

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self.chunks


class HttpFailure(FireflyquayError):  # noqa: N818
    """Report an invalid request, or one that got no complete response."""

    def __init__(self, code: Code, sentence: str, sent: bool) -> None:
        super().__init__(code, sentence)
        # Whether any byte of the request may have reached the peer.
        self.sent = sent


class CallerDisconnectedError(FireflyquayError):
    """Report that the client has disconnected or stopped reading."""

    def __init__(self) -> None:
        super().__init__(Code.CALLER_GONE, "The client's connection is closed.")


def join_headers(raw_headers: RawHeaders) -> dict[str, str]:
    """Return values by lower-case name; join those of repeated headers by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw_headers:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers
