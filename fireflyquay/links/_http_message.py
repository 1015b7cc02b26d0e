"""What HTTP servers and clients share: limits, messages and failures."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

from fireflyquay.world import Code, FireflyquayError

# Bytes asked of a socket at a time.
READ_CHUNK_BYTES = 64 * 1024


RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound what one connection may cost."""

    # Bytes of a request line or status line with its headers.
    max_header_bytes: int = 16 * 1024
    # Bytes of a body that is held as a whole.
    max_body_bytes: int = 1024 * 1024
    # Seconds from a request's first byte to the end of its headers.
    header_timeout: float = 10.0
    # Seconds from the end of the headers to the end of the body.
    body_timeout: float = 30.0
    # Seconds without a request, or with a write that the peer does not take.
    idle_timeout: float = 60.0
    # Bytes that may wait for the peer to read them.
    write_buffer_bytes: int = 64 * 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one request, its body included."""

    method: str
    # Percent-decoded, without the query.
    path: str
    query: dict[str, str]
    # Names in lower case; repeated headers are joined by commas.
    headers: dict[str, str]
    body: bytes
    # Path and query as sent.
    target: bytes = b""
    # Names and values as sent, in their order.
    raw_headers: RawHeaders = ()


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold one whole response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpStream:
    """Hold a response whose body is still arriving."""

    status: int
    headers: dict[str, str]
    # Ends with the body; raises HttpFailure when the body is cut off.
    chunks: AsyncIterator[bytes]
    # Names and values as sent, in their order.
    raw_headers: RawHeaders = ()

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self.chunks


class HttpFailure(FireflyquayError):  # noqa: N818
    """Tell that an exchange gave no whole response."""

    def __init__(self, code: Code, sentence: str, sent: bool) -> None:
        super().__init__(code, sentence)
        # Whether any byte of the request may have reached the peer.
        self.sent = sent


class CallerDisconnectedError(FireflyquayError):
    """Tell that the caller's connection no longer takes the answer."""

    def __init__(self) -> None:
        super().__init__(Code.CALLER_GONE, "The caller's connection is closed.")


def join_headers(raw: RawHeaders) -> dict[str, str]:
    """Decode headers and join the values of repeated names."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers
