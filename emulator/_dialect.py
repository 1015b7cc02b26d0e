"""Protocol adapter between gateways and emulated clients and backend servers."""

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
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    ClientAccountId,
    Code,
    ModelName,
    PromptPartId,
)

SITE_HOST = "site.example"


class ErrorBody(msgspec.Struct, frozen=True):
    """Represent the JSON body of an error response of the gateway itself."""

    code: Code
    sentence: str
    retry_after: float | None


class EmulatedExchange(Exchange):
    """Translate one emulated request and its response."""

    def __init__(self, request: HttpRequest) -> None:
        self._request = request
        headers = request.headers
        self.metadata = RequestMetadata(
            AttemptId(headers["id"]),
            SITE_HOST,
            request.path,
            headers["key"],
            float(headers["timeout"]),
            ModelName("m"),
            int(headers["prompt"]),
            int(headers["output"]),
            True,
            headers.get("last", ""),
            AttemptId(headers.get("resumes", "")),
            tuple(PromptPartId(it) for it in headers["parts"].split(",")[:-1]),
        )

    def make_upstream_request(
        self,
        backend: BackendEntry,
        account: ClientAccountId | None,
        seconds_left: float,
        last_event_id: str,
    ) -> UpstreamRequest:
        """Return the request to send to a backend server."""
        pairs: HeaderPairs = [
            (name, value) for name, value in self._request.headers.items()
        ]
        pairs += [
            ("expect", backend.id),
            ("account", account or ""),
            ("left", str(seconds_left)),
            ("last", last_event_id),
        ]
        return UpstreamRequest("POST", self._request.path, pairs, b"")

    def read_response_metadata(self, headers: dict[str, str]) -> ResponseMetadata:
        """Return the metadata of a backend server's response."""
        limit, brittle = headers.get("limit", ""), headers.get("brittle", "")
        return ResponseMetadata(
            self.metadata.attempt_id,
            True,
            "not-run" in headers,
            float(limit) if limit else None,
            float(brittle) if brittle else None,
        )

    def open_reader(self, backend: BackendEntry, is_stream: bool) -> EventReader | None:
        """Return a reader of the events if the response is a stream."""
        return EventSplitter() if is_stream else None

    def translate_headers(self, headers: RawHeaders) -> HeaderPairs:
        """Return no headers, since emulated clients read none."""
        return []

    def translate_response(
        self, status: int, headers: RawHeaders, body: bytes, keeps_seal: bool
    ) -> Response:
        """Return a complete response unchanged."""
        return Response(status, [], body)

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the response to a request that failed."""
        return _make_error_response(status, failure)


class EmulatedDialect(Dialect):
    """Decode emulated requests and encode error responses."""

    def decode_request(self, request: HttpRequest) -> Exchange:
        """Return the exchange of a client's request."""
        return EmulatedExchange(request)

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the response to a request that can't be decoded."""
        return _make_error_response(status, failure)

    def encode_entries(self, addresses: Sequence[str], ttl_seconds: float) -> bytes:
        """Encode gateway addresses, which emulated clients don't request by HTTP."""
        return msgspec.json.encode(addresses)


def _make_error_response(status: int, failure: Failure) -> Response:
    body = ErrorBody(failure.code, failure.sentence, failure.retry_after)
    return Response(status, [], msgspec.json.encode(body))
