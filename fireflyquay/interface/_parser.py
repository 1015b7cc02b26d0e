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
    PromptPartId,
    RequestKey,
    is_valid_request_key,
)

from ._contract_source import REQUESTS_PATH

# Assumed token length, for requests without a prompt token count.
CHARS_PER_TOKEN = 4
# Output token limit of requests that set none; typical for an answer.
DEFAULT_MAX_TOKENS = 256
# Largest accepted token count, many times what an engine can hold for one request.
MAX_TOKENS_PER_REQUEST = 1_000_000
# Characters of the prompt used as the cacheable prefix if the request sets none.
DEFAULT_PREFIX_CHARS = 256


class RequestBody(msgspec.Struct, frozen=True):
    """Hold the fields of a request body that are used for scheduling."""

    prompt: str = ""
    max_tokens: int = DEFAULT_MAX_TOKENS
    prompt_tokens: int | None = None
    # Prefix that the prompt shares with other requests.
    prefix: str | None = None


@dataclass(frozen=True, slots=True)
class ContractRequestMetadata(RequestMetadata):
    """Hold the request metadata that entry VMs add to the gateway's."""

    # Kind of request; empty if the path names none.
    kind: str
    # Idempotency key set by the client, or empty.
    key: RequestKey
    # Hash of the prompt's prefix, sent to the model engine.
    prefix_hash: str
    # Whether the client accepts the answer as a stream of events.
    wants_events: bool

    @property
    def effective_key(self) -> RequestKey:
        """Return the client's key, or the attempt id if the client set none."""
        return self.key or RequestKey(self.attempt_id)


def parse_bearer_token(request: HttpRequest) -> str:
    """Return the bearer token; raise FireflyquayError with UNKNOWN_CUSTOMER if none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise FireflyquayError(Code.UNKNOWN_CUSTOMER, "A bearer token is needed.")
    return token.strip()


def parse_idempotency_key(request: HttpRequest) -> RequestKey:
    """Return the key, or empty if not set; raise FireflyquayError with BAD_KEY."""
    key = request.headers.get("idempotency-key", "")
    if key and not is_valid_request_key(key):
        raise FireflyquayError(
            Code.BAD_KEY,
            "The Idempotency-Key is malformed.",
        )
    return RequestKey(key)


def parse_request(request: HttpRequest, attempt: AttemptId) -> ContractRequestMetadata:
    """Parse a client's request; raise FireflyquayError if it is malformed."""
    if request.method != "POST" or not request.path.startswith(REQUESTS_PATH):
        raise FireflyquayError(Code.NOT_FOUND, "There is no such page.")
    token, key, body = (
        parse_bearer_token(request),
        parse_idempotency_key(request),
        _decode_body(request.body),
    )
    prefix = (
        body.prefix if body.prefix is not None else body.prompt[:DEFAULT_PREFIX_CHARS]
    )
    prefix_hash = xxhash.xxh3_64_hexdigest(prefix.encode("utf-8", "replace"))
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
        resumed_attempt_id=AttemptId(""),
        shared_parts=(PromptPartId(prefix_hash),) if prefix else (),
        kind=kind,
        key=key,
        prefix_hash=prefix_hash,
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
        sentence = f"The body is wrong: {error}."
        raise FireflyquayError(Code.BAD_REQUEST, sentence) from None


def _get_prompt_tokens(body: RequestBody) -> int:
    if body.prompt_tokens is not None:
        return _validate_token_count(body.prompt_tokens)
    return len(body.prompt) // CHARS_PER_TOKEN + 1


def _validate_token_count(count: int) -> int:
    if not 0 <= count <= MAX_TOKENS_PER_REQUEST:
        sentence = f"Token counts must lie between 0 and {MAX_TOKENS_PER_REQUEST}."
        raise FireflyquayError(Code.BAD_REQUEST, sentence)
    return count
