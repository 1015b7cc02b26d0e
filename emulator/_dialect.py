"""The wire of emulated clients and backend servers."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from fireflyquay.gateway import (
    Dialect,
    EventReader,
    EventSplitter,
    Exchange,
    Failure,
    HeaderPairs,
    RequestMetadata,
    Response,
    ResponseMetadata,
    UpstreamRequest,
)
from fireflyquay.links import HttpRequest, RawHeaders
from fireflyquay.world import AttemptId, BackendEntry, ClientAccountId, Code, ModelName

HOST = "site.example"


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the body of a gateway's own response."""

    code: Code
    sentence: str
    retry_after: float | None


class EmulatedExchange(Exchange):
    """Translate one emulated request."""

    def __init__(self, request: HttpRequest) -> None:
        self._request = request
        headers = request.headers
        self.metadata = RequestMetadata(
            AttemptId(headers["id"]),
            HOST,
            request.path,
            headers["key"],
            float(headers["patience"]),
            ModelName("m"),
            int(headers["prompt"]),
            int(headers["output"]),
            True,
            headers.get("last", ""),
        )

    def make_request(
        self,
        backend: BackendEntry,
        account: ClientAccountId | None,
        time_left: float,
        last_event: str,
    ) -> UpstreamRequest:
        """Return the request as a backend server gets it."""
        pairs: HeaderPairs = [
            (name, value) for name, value in self._request.headers.items()
        ]
        pairs += [
            ("expect", backend.id),
            ("account", account or ""),
            ("left", str(time_left)),
            ("last", last_event),
        ]
        return UpstreamRequest("POST", self._request.path, pairs, b"")

    def read_response_metadata(self, headers: dict[str, str]) -> ResponseMetadata:
        """Decode a backend server's headers."""
        return ResponseMetadata(self.metadata.attempt, True, "unrun" in headers)

    def open_reader(self, backend: BackendEntry, is_stream: bool) -> EventReader | None:
        """Return what reads a stream's events."""
        return EventSplitter() if is_stream else None

    def translate_headers(self, headers: RawHeaders) -> HeaderPairs:
        """Return no headers, for emulated clients read none."""
        return []

    def translate_response(
        self, status: int, headers: RawHeaders, body: bytes, is_genuine: bool
    ) -> Response:
        """Return a whole response unchanged."""
        return Response(status, [], body)

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return a response of the gateway's own."""
        return _make_error_response(status, failure)


class EmulatedDialect(Dialect):
    """Open exchanges of emulated requests."""

    def open(self, request: HttpRequest) -> Exchange:
        """Decode a client's request."""
        return EmulatedExchange(request)

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the response to a request that can't be decoded."""
        return _make_error_response(status, failure)

    def encode_entries(self, addresses: Sequence[str], keep_seconds: float) -> bytes:
        """Encode a list that emulated clients get without it."""
        return msgspec.json.encode(addresses)


def _make_error_response(status: int, failure: Failure) -> Response:
    told = ErrorBody(failure.code, failure.sentence, failure.retry_after)
    return Response(status, [], msgspec.json.encode(told))
