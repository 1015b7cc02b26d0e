"""HTTP exchanges with entry VMs, with failures raised as ConnectionLost."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ._directory import Address

Headers = tuple[tuple[str, str], ...]
HeadersLike = Mapping[str, str] | Iterable[tuple[str | bytes, str | bytes]]


class HttpResponse(Protocol):
    """Define the attributes of an HTTP response that the client reads."""

    status: int
    headers: HeadersLike
    body: bytes


class HttpStreamResponse(Protocol):
    """Define the attributes of a streamed HTTP response that the client reads."""

    status: int
    headers: HeadersLike

    def __aiter__(self) -> AsyncIterator[bytes]: ...


if TYPE_CHECKING:
    from fireflyquay.links import HttpClient
else:
    HttpClient = object


class ConnectionLost(Exception):  # noqa: N818
    """Report that no complete response was received."""

    def __init__(self, sent: bool) -> None:
        super().__init__("No complete response was received.")
        # False if the entry VM can't have received any of the request.
        self.sent = sent


async def send_request(
    http: HttpClient,
    address: Address,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout: float,
) -> HttpResponse:
    """Send a request and return its response; raise ConnectionLost."""
    try:
        return await http.request(
            address.host, address.port, method, target, dict(headers), body, timeout
        )
    except _import_http_failure() as failure:
        raise ConnectionLost(failure.sent) from failure


@asynccontextmanager
async def open_stream(
    http: HttpClient,
    address: Address,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout: float,
) -> AsyncIterator[HttpStreamResponse]:
    """Send a request and yield its streamed response; raise ConnectionLost."""
    try:
        async with http.stream(
            address.host, address.port, method, target, dict(headers), body, timeout
        ) as response:
            yield response
    except _import_http_failure() as failure:
        raise ConnectionLost(failure.sent) from failure


def get_header(headers: HeadersLike, name: str) -> str | None:
    """Return the value of a header; its name is case-insensitive."""
    pairs = headers.items() if isinstance(headers, Mapping) else headers
    for key, value in pairs:
        if _to_text(key).lower() == name.lower():
            return _to_text(value)
    return None


def parse_retry_after(headers: HeadersLike) -> float | None:
    """Return the seconds of Retry-After, or None if absent or invalid."""
    try:
        seconds = float(get_header(headers, "Retry-After") or "")
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


def _to_text(value: str | bytes) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else value


def _import_http_failure() -> type[Exception]:
    from fireflyquay.links import HttpFailure

    return HttpFailure
