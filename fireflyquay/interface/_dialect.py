"""The project's own wire towards callers and backend servers."""

from __future__ import annotations

import itertools
import math
import secrets
from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from fireflyquay.gateway import (
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
from ._parser import CallerFacts, read_caller_facts

ATTEMPT_BYTES = 8
UNAVAILABLE = 503
JSON_HEADERS: HeaderPairs = [("content-type", "application/json")]
EVENT_HEADERS: HeaderPairs = [
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
]
# What this interface calls the gateway's codes.
CODES = {
    Code.UNKNOWN_ROUTE: Code.UNKNOWN_KIND,
    Code.UNKNOWN_API_KEY: Code.UNKNOWN_CUSTOMER,
}
# Codes that leave open whether an earlier request with the same key ran.
DOUBTFUL_CODES = (Code.KEY_TAKEN, Code.KEY_REUSED)


class EngineOrder(msgspec.Struct, frozen=True):
    """Hold the body of POST /v1/streams at a model engine."""

    key: RequestKey
    # Tells runs of one key apart.
    attempt: int
    kind: str
    prompt_tokens: int
    max_tokens: int
    prefix_hash: str
    body: bytes


class BackendRefusal(msgspec.Struct, frozen=True):
    """Hold the body of a backend server's refusal."""

    verdict: Verdict = Verdict.MAY_HAVE_RUN
    code: str = ""
    sentence: str = ""


class RefusalBody(msgspec.Struct, frozen=True):
    """Hold the body of a refusal or failure."""

    code: Code
    verdict: Verdict
    sentence: str
    # Seconds after which the caller should come back.
    retry_after: float | None
    key: str


class ListedEntry(msgspec.Struct, frozen=True):
    """Name an entry VM's address."""

    host: str
    port: int


class EntryList(msgspec.Struct, frozen=True):
    """Hold the entry VMs that callers may use."""

    entries: tuple[ListedEntry, ...]
    # Seconds that the list may be kept.
    keep_seconds: float


class ContractExchange(Exchange):
    """Translate one caller's request and its answer."""

    def __init__(self, request: HttpRequest, number: int) -> None:
        self._request = request
        self._number = number
        attempt = AttemptId(secrets.token_hex(ATTEMPT_BYTES))
        self.metadata: CallerFacts = read_caller_facts(request, attempt)

    def make_upstream_request(
        self,
        backend: BackendEntry,
        account: ClientAccountId | None,
        seconds_left: float,
        last_event_id: str,
    ) -> UpstreamRequest:
        """Return the request as a backend server gets it."""
        metadata, body = self.metadata, self._request.body
        headers: HeaderPairs = [
            ("host", f"{backend.host}:{backend.port}"),
            *JSON_HEADERS,
        ]
        if backend.kind is not BackendKind.MODEL_ENGINE:
            # Services need not act on the key; at most once doesn't rest on it.
            headers.append(("idempotency-key", metadata.name))
            target = "/v1/calls/" + quote(metadata.kind, safe="")
            return UpstreamRequest("POST", target, headers, body)
        order = EngineOrder(
            metadata.name,
            self._number,
            metadata.kind,
            metadata.prompt_tokens,
            metadata.max_output_tokens,
            metadata.prefix_hash,
            body,
        )
        headers.append(("accept", "text/event-stream"))
        data = msgspec.json.encode(order)
        return UpstreamRequest("POST", "/v1/streams", headers, data)

    def read_response_metadata(self, headers: dict[str, str]) -> ResponseMetadata:
        """Accept any response; refusals tell in their bodies whether they ran."""
        return ResponseMetadata(AttemptId(""), is_sealed=True, states_not_run=False)

    def open_reader(self, backend: BackendEntry, is_stream: bool) -> EventReader | None:
        """Return what reads an engine's stream; None for a service's whole answer."""
        if backend.kind is not BackendKind.MODEL_ENGINE:
            return None
        return EngineReader(self.metadata.name, self.metadata.wants_events)

    def translate_headers(self, headers: RawHeaders) -> HeaderPairs:
        """Return the headers of a success as the caller gets them."""
        return EVENT_HEADERS if self.metadata.wants_events else JSON_HEADERS

    def translate_response(
        self, status: int, headers: RawHeaders, body: bytes, keeps_seal: bool
    ) -> Response:
        """Return a service's answer, or its failure, as the caller gets it."""
        if not 200 <= status < 300:
            refusal = _decode_refusal(body)
            sentence = f"Status {status}. {refusal.sentence}".strip()
            return self.make_failure_response(
                502, Failure(FAILED, sentence, None, True)
            )
        output = _read_output(body)
        answer = AnswerBody(self.metadata.name, Verdict.RAN, output, 0)
        return Response(200, JSON_HEADERS, msgspec.json.encode(answer))

    def states_not_run(self, status: int, body: bytes) -> bool:
        """Tell whether a response states that the request did not run."""
        is_refusal = status == UNAVAILABLE
        return is_refusal and _decode_refusal(body).verdict is Verdict.NOT_RUN

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return a response of the entry VM's own."""
        return _make_failure(self.metadata.name, status, failure)

    def get_log_fields(self) -> dict[str, str]:
        """Return what the log tells of the request besides its id."""
        return {"key": self.metadata.key} if self.metadata.key else {}

    def make_final_event(self, failure: Failure) -> bytes:
        """Return the event that tells the caller that its stream failed."""
        if not self.metadata.wants_events:
            return b""
        body = _make_body(self.metadata.name, failure)
        return b"event: failed\ndata: " + msgspec.json.encode(body) + b"\n\n"


class ContractDialect(Dialect):
    """Speak the project's own interface."""

    def __init__(self) -> None:
        # Two entry VMs may give one key to the same engine after another.
        self._numbers = itertools.count(secrets.randbits(32))

    def decode_request(self, request: HttpRequest) -> Exchange:
        """Decode a caller's request; raise FireflyquayError if it is malformed."""
        return ContractExchange(request, next(self._numbers))

    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the response to a request that can't be decoded."""
        return _make_failure(RequestKey(""), status, failure)

    def encode_entries(self, addresses: Sequence[str], ttl_seconds: float) -> bytes:
        """Encode the list of entry VMs that callers may use."""
        pairs = (address.rpartition(":") for address in addresses)
        entries = tuple(ListedEntry(host, int(port)) for host, _, port in pairs)
        return msgspec.json.encode(EntryList(entries, ttl_seconds))


FAILED = Code.BACKEND_FAILED


def _make_failure(key: RequestKey, status: int, failure: Failure) -> Response:
    headers = list(JSON_HEADERS)
    if failure.retry_after is not None:
        headers.append(("retry-after", str(math.ceil(failure.retry_after))))
    body = _make_body(key, failure)
    return Response(status, headers, msgspec.json.encode(body))


def _make_body(key: RequestKey, failure: Failure) -> RefusalBody:
    is_doubtful = failure.may_have_run or failure.code in DOUBTFUL_CODES
    return RefusalBody(
        CODES.get(failure.code, failure.code),
        Verdict.MAY_HAVE_RUN if is_doubtful else Verdict.NOT_RUN,
        failure.sentence,
        failure.retry_after,
        key,
    )


def _decode_refusal(body: bytes) -> BackendRefusal:
    try:
        return msgspec.json.decode(body, type=BackendRefusal)
    except DECODE_ERRORS:
        return BackendRefusal()


def _read_output(body: bytes) -> str | msgspec.Raw:
    """Return a service's answer as JSON, or as text if it is none."""
    try:
        msgspec.json.decode(body)
    except DECODE_ERRORS:
        return body.decode("utf-8", "replace")
    return msgspec.Raw(body)
