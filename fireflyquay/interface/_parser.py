"""Parsing of clients' requests."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

import msgspec
import xxhash

from fireflyquay.gateway import RequestMetadata
from fireflyquay.links import HttpRequest
from fireflyquay.world import (
    DECODE_ERRORS,
    AttemptId,
    Code,
    FireflyquayError,
    ModelName,
    RequestKey,
    is_valid_request_key,
)

from ._contract_source import REQUESTS_PATH

# Typical length of a token, for prompts whose client states no token count.
CHARS_PER_TOKEN = 4
# Output tokens of a typical answer, for requests that state no limit.
DEFAULT_MAX_TOKENS = 256
# Many times the number of tokens that an engine can hold for one request.
MAX_TOKENS_PER_REQUEST = 1_000_000
# Start of a prompt that is taken as its cacheable prefix if the request states none.
DEFAULT_PREFIX_CHARS = 256


class RequestBody(msgspec.Struct, frozen=True):
    """Hold the fields of a request's body that scheduling needs."""

    prompt: str = ""
    max_tokens: int = DEFAULT_MAX_TOKENS
    prompt_tokens: int | None = None
    # Start of the prompt that other requests have in common with it.
    prefix: str | None = None


@dataclass(frozen=True, slots=True)
class ContractRequestMetadata(RequestMetadata):
    """Hold the metadata of a client's request."""

    # Kind of work; empty if the path names none.
    kind: str
    # Idempotency key set by the client, or empty.
    key: RequestKey
    prefix_hash: str
    # Whether the client accepts the answer as a stream of events.
    wants_events: bool

    @property
    def effective_key(self) -> RequestKey:
        """Return the client's key, or the attempt's id if it set none."""
        return self.key or RequestKey(self.attempt_id)


def parse_bearer_token(request: HttpRequest) -> str:
    """Return the bearer token; raise UNKNOWN_CUSTOMER if there is none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise FireflyquayError(
            Code.UNKNOWN_CUSTOMER, "The Authorization header must have a bearer token."
        )
    return token.strip()


def parse_idempotency_key(request: HttpRequest) -> RequestKey:
    """Return the client's key, empty if it set none; raise BAD_KEY if invalid."""
    key = request.headers.get("idempotency-key", "")
    if key and not is_valid_request_key(key):
        raise FireflyquayError(
            Code.BAD_KEY,
            "Idempotency-Key must be 1 to 200 printable ASCII characters, no spaces.",
        )
    return RequestKey(key)


def parse_request(request: HttpRequest, attempt: AttemptId) -> ContractRequestMetadata:
    """Parse a client's request; raise FireflyquayError if it is malformed."""
    if request.method != "POST" or not request.path.startswith(REQUESTS_PATH):
        raise FireflyquayError(
            Code.NOT_FOUND, "Requests must be sent with POST to /v1/requests/KIND."
        )
    token, key, body = (
        parse_bearer_token(request),
        parse_idempotency_key(request),
        _decode_body(request.body),
    )
    prefix = (
        body.prefix if body.prefix is not None else body.prompt[:DEFAULT_PREFIX_CHARS]
    )
    kind = _parse_kind(request)
    has_prompt = bool(body.prompt) or body.prompt_tokens is not None
    return ContractRequestMetadata(
        attempt_id=attempt,
        host="",
        path=f"{REQUESTS_PATH}{kind}/",
        api_key=token,
        client_timeout=None,
        model=ModelName(""),
        prompt_tokens=_get_prompt_tokens(body) if has_prompt else 0,
        max_output_tokens=_validate_token_count(body.max_tokens) if has_prompt else 0,
        has_token_counts=True,
        last_event_id="",
        kind=kind,
        key=key,
        prefix_hash=xxhash.xxh3_64_hexdigest(prefix.encode("utf-8", "replace")),
        wants_events="text/event-stream" in request.headers.get("accept", ""),
    )


def _parse_kind(request: HttpRequest) -> str:
    path = request.target.partition(b"?")[0] or request.path.encode()
    decoded = unquote_to_bytes(path).decode("utf-8", "replace")
    return decoded.removeprefix(REQUESTS_PATH).partition("/")[0]


def _decode_body(body: bytes) -> RequestBody:
    if not body:
        return RequestBody()
    try:
        return msgspec.json.decode(body, type=RequestBody)
    except DECODE_ERRORS as error:
        sentence = f"The body is not a valid request: {error}."
        raise FireflyquayError(Code.BAD_REQUEST, sentence) from None


def _get_prompt_tokens(body: RequestBody) -> int:
    if body.prompt_tokens is not None:
        return _validate_token_count(body.prompt_tokens)
    return len(body.prompt) // CHARS_PER_TOKEN + 1


def _validate_token_count(count: int) -> int:
    if not 0 <= count <= MAX_TOKENS_PER_REQUEST:
        sentence = f"Token counts must be from 0 to {MAX_TOKENS_PER_REQUEST}."
        raise FireflyquayError(Code.BAD_REQUEST, sentence)
    return count
