"""HTTP protocol between clients, entry VMs and backend servers."""

from __future__ import annotations

import itertools
import math
import secrets
from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from fireflyquay.gateway import (
    BrokenResponseError,
    Dialect,
    EventReader,
    Exchange,
    Failure,
    HeaderPairs,
    Response,
    ResponseMetadata,
    UpstreamRequest,
)
from fireflyquay.links import HttpRequest, RawHeaders
from fireflyquay.world import (
    DECODE_ERRORS,
    AttemptId,
    BackendEntry,
    BackendKind,
    ClientAccountId,
    Code,
    RequestKey,
    Verdict,
)

from ._engine_reader import AnswerBody, EngineReader
from ._parser import ContractRequestMetadata, parse_request

ATTEMPT_ID_BYTES = 8
STATUS_UNAVAILABLE = 503
JSON_MEDIA_TYPE = "application/json"
JSON_HEADERS: HeaderPairs = [("content-type", JSON_MEDIA_TYPE)]
EVENT_HEADERS: HeaderPairs = [
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
]
# Codes sent to clients in place of the gateway's codes.
CLIENT_CODES = {
    Code.UNKNOWN_ROUTE: Code.UNKNOWN_KIND,
    Code.UNKNOWN_API_KEY: Code.UNKNOWN_CUSTOMER,
}
# Rejection codes after which an earlier request with the same key may have run.
MAY_HAVE_RUN_CODES = (Code.KEY_TAKEN, Code.KEY_REUSED)


class StreamRequest(msgspec.Struct, frozen=True):
    """Hold the body of POST /v1/streams, a request to a model engine."""

    key: RequestKey
    # Number that distinguishes several runs with the same key.
    attempt: int
    kind: str
    prompt_tokens: int
    max_tokens: int
    prefix_hash: str
    body: bytes


class BackendErrorBody(msgspec.Struct, frozen=True):
    """Hold the body of a backend server's error response."""

    verdict: Verdict = Verdict.MAY_HAVE_RUN
    code: str = ""
    sentence: str = ""


class FailureBody(msgspec.Struct, frozen=True):
    """Hold the body of a rejection or failure."""

    code: Code
    verdict: Verdict
    sentence: str
    # Seconds after which the client should retry; None if it should not.
    retry_after: float | None
    key: str


class ListedEntry(msgspec.Struct, frozen=True):
    """Hold the address of an entry VM."""

    host: str
    port: int


class EntryList(msgspec.Struct, frozen=True):
    """Hold the list of entry VMs that clients may use."""

    entries: tuple[ListedEntry, ...]
    # Seconds for which clients may cache the list.
    keep_seconds: float


class ContractExchange(Exchange):
    """Translate one request and its response between client and backend server."""

    identifies_responses = False

    def __init__(self, request: HttpRequest, attempt_number: int) -> None:
        self._request = request
        self._attempt_number = attempt_number
        attempt = AttemptId(secrets.token_hex(ATTEMPT_ID_BYTES))
        self.metadata: ContractRequestMetadata = parse_request(request, attempt)

    def make_upstream_request(
        self,
        backend: BackendEntry,
        account: ClientAccountId | None,
        seconds_left: float,
        last_event_id: str,
    ) -> UpstreamRequest:
        """Return the request to send to a backend server."""
        metadata, body = self.metadata, self._request.body
        headers: HeaderPairs = [
            ("host", f"{backend.host}:{backend.port}"),
            *JSON_HEADERS,
        ]
        if backend.kind is not BackendKind.MODEL_ENGINE:
            # Services may ignore the key: at-most-once execution is enforced by the
            # entry VMs.
            headers.append(("idempotency-key", metadata.effective_key))
            target = "/v1/calls/" + quote(metadata.kind, safe="")
            return UpstreamRequest("POST", target, headers, body)
        stream_request = StreamRequest(
            metadata.effective_key,
            self._attempt_number,
            metadata.kind,
            metadata.prompt_tokens,
            metadata.max_output_tokens,
            metadata.prefix_hash,
            body,
        )
        headers.append(("accept", "text/event-stream"))
        data = msgspec.json.encode(stream_request)
        return UpstreamRequest("POST", "/v1/streams", headers, data)

    def read_response_metadata(self, headers: dict[str, str]) -> ResponseMetadata:
        """Return metadata that accepts any response; only error bodies say NOT_RUN."""
        return ResponseMetadata(AttemptId(""), is_sealed=True, states_not_run=False)

    def open_reader(self, backend: BackendEntry, is_stream: bool) -> EventReader | None:
        """Return a reader for an engine's stream, or None for a service."""
        if backend.kind is not BackendKind.MODEL_ENGINE:
            return None
        return EngineReader(self.metadata.effective_key, self.metadata.wants_events)

    def translate_headers(self, headers: RawHeaders) -> HeaderPairs:
        """Return the headers of a successful response to the client."""
        return EVENT_HEADERS if self.metadata.wants_events else JSON_HEADERS

    def translate_response(
        self, status: int, headers: RawHeaders, body: bytes, keeps_seal: bool
    ) -> Response:
        """Return the client's response for a service's output or error."""
        if not 200 <= status < 300:
            error = _decode_backend_error(body)
            sentence = (f"Status {status}. {error.sentence}").strip()
            return self.make_failure_response(
                502, Failure(BACKEND_FAILED, sentence, None, True)
            )
        output = _decode_output(body)
        answer = AnswerBody(self.metadata.effective_key, Verdict.RAN, output, 0)
        return Response(200, JSON_HEADERS, msgspec.json.encode(answer))

    def check_unframed_body(self, headers: dict[str, str], body: bytes) -> None:
        """Raise BrokenResponseError if the JSON of a service's body is incomplete."""
        media_type = headers.get("content-type", "").partition(";")[0].strip().lower()
        if media_type != JSON_MEDIA_TYPE:
            return
        try:
            msgspec.json.decode(body)
        except DECODE_ERRORS as error:
            raise BrokenResponseError(
                f"The JSON without a length is incomplete: {error}."
            ) from None

    def states_not_run(self, status: int, body: bytes) -> bool:
        """Return whether a response states that the request did not run."""
        # Only a 503 response may state NOT_RUN.
        is_unavailable = status == STATUS_UNAVAILABLE
        return is_unavailable and _decode_backend_error(body).verdict is Verdict.NOT_RUN

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return an error response of the entry VM itself."""
        return _make_failure_response(self.metadata.effective_key, status, failure)

    def get_log_fields(self) -> dict[str, str]:
        """Return the client's key as a log field, if it set one."""
        return {"key": self.metadata.key} if self.metadata.key else {}

    def make_final_event(self, failure: Failure) -> bytes:
        """Return the final event of a failed stream, or nothing without a stream."""
        if not self.metadata.wants_events:
            return b""
        body = _make_failure_body(self.metadata.effective_key, failure)
        return b"event: failed\ndata: " + msgspec.json.encode(body) + b"\n\n"


class ContractDialect(Dialect):
    """Implement the protocol between clients, entry VMs and backend servers."""

    def __init__(self) -> None:
        # Random start, so that two entry VMs that send the same key to an engine use
        # different attempt numbers.
        self._attempt_numbers = itertools.count(secrets.randbits(32))

    def decode_request(self, request: HttpRequest) -> Exchange:
        """Decode a client's request; raise FireflyquayError if it is malformed."""
        return ContractExchange(request, next(self._attempt_numbers))

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the error response to a request that can't be decoded."""
        return _make_failure_response(RequestKey(""), status, failure)

    def encode_entries(self, addresses: Sequence[str], ttl_seconds: float) -> bytes:
        """Encode the entry VMs that clients may use, with their TTL in seconds."""
        pairs = (address.rpartition(":") for address in addresses)
        entries = tuple(ListedEntry(host, int(port)) for host, _, port in pairs)
        return msgspec.json.encode(EntryList(entries, ttl_seconds))


BACKEND_FAILED = Code.BACKEND_FAILED


def _make_failure_response(key: RequestKey, status: int, failure: Failure) -> Response:
    headers = list(JSON_HEADERS)
    if failure.retry_after is not None:
        headers.append(("retry-after", str(math.ceil(failure.retry_after))))
    body = _make_failure_body(key, failure)
    return Response(status, headers, msgspec.json.encode(body))


def _make_failure_body(key: RequestKey, failure: Failure) -> FailureBody:
    may_have_run = failure.may_have_run or failure.code in MAY_HAVE_RUN_CODES
    return FailureBody(
        CLIENT_CODES.get(failure.code, failure.code),
        Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
        failure.sentence,
        failure.retry_after,
        key,
    )


def _decode_backend_error(body: bytes) -> BackendErrorBody:
    """Return the decoded error; an invalid body counts as MAY_HAVE_RUN."""
    try:
        return msgspec.json.decode(body, type=BackendErrorBody)
    except DECODE_ERRORS:
        return BackendErrorBody()


def _decode_output(body: bytes) -> str | msgspec.Raw:
    """Return the raw JSON of a service's body, or its text if it isn't JSON."""
    try:
        msgspec.json.decode(body)
    except DECODE_ERRORS:
        return body.decode("utf-8", "replace")
    return msgspec.Raw(body)
