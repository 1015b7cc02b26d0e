"""Decodes callers' requests."""

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
    is_valid_key,
)

from ._contract_source import REQUESTS_PATH

# Usual length of a token, for prompts whose caller does not count them.
CHARS_PER_TOKEN = 4
# Output tokens of a request that names none: a usual answer.
DEFAULT_MAX_TOKENS = 256
# Tokens that a request may name, many times what engines hold of one request.
TOKEN_LIMIT = 1_000_000
# Leading part of a prompt that names what engines may have cached.
PREFIX_CHARS = 256


class RequestBody(msgspec.Struct, frozen=True):
    """Name the parts of a body that matter to scheduling."""

    prompt: str = ""
    max_tokens: int = DEFAULT_MAX_TOKENS
    prompt_tokens: int | None = None
    # Leading part of the prompt that other requests share.
    prefix: str | None = None


@dataclass(frozen=True, slots=True)
class CallerFacts(RequestMetadata):
    """Hold what a caller's request says."""

    # Kind of work, empty if the path names none.
    kind: str
    # The caller's own key, or empty.
    key: RequestKey
    prefix_hash: str
    # Whether the caller reads the answer as events.
    wants_events: bool

    @property
    def name(self) -> RequestKey:
        """Return the key that the caller knows the request by."""
        return self.key or RequestKey(self.attempt_id)


def read_token(request: HttpRequest) -> str:
    """Return the bearer token, or raise UNKNOWN_CUSTOMER."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise FireflyquayError(Code.UNKNOWN_CUSTOMER, "A bearer token is needed.")
    return token.strip()


def read_key(request: HttpRequest) -> RequestKey:
    """Return the caller's key or an empty one, or raise BAD_KEY."""
    key = request.headers.get("idempotency-key", "")
    if key and not is_valid_key(key):
        raise FireflyquayError(Code.BAD_KEY, "The Idempotency-Key is malformed.")
    return RequestKey(key)


def read_caller_facts(request: HttpRequest, attempt: AttemptId) -> CallerFacts:
    """Decode a caller's request; raise FireflyquayError if it is malformed."""
    if request.method != "POST" or not request.path.startswith(REQUESTS_PATH):
        raise FireflyquayError(Code.NOT_FOUND, "There is no such page.")
    token, key, body = read_token(request), read_key(request), _decode(request.body)
    prefix = body.prefix if body.prefix is not None else body.prompt[:PREFIX_CHARS]
    kind = _read_kind(request)
    is_prompt = bool(body.prompt) or body.prompt_tokens is not None
    return CallerFacts(
        attempt_id=attempt,
        host="",
        path=f"{REQUESTS_PATH}{kind}/",
        api_key=token,
        client_timeout=None,
        model=ModelName(""),
        prompt_tokens=_count_prompt_tokens(body) if is_prompt else 0,
        max_output_tokens=_check_tokens(body.max_tokens) if is_prompt else 0,
        has_token_counts=True,
        last_event_id="",
        kind=kind,
        key=key,
        prefix_hash=xxhash.xxh3_64_hexdigest(prefix.encode("utf-8", "replace")),
        wants_events="text/event-stream" in request.headers.get("accept", ""),
    )


def _read_kind(request: HttpRequest) -> str:
    path = request.target.partition(b"?")[0] or request.path.encode()
    named = unquote_to_bytes(path).decode("utf-8", "replace")
    return named.removeprefix(REQUESTS_PATH).partition("/")[0]


def _decode(body: bytes) -> RequestBody:
    if not body:
        return RequestBody()
    try:
        return msgspec.json.decode(body, type=RequestBody)
    except DECODE_ERRORS as error:
        sentence = f"The body is wrong: {error}."
        raise FireflyquayError(Code.BAD_REQUEST, sentence) from None


def _count_prompt_tokens(body: RequestBody) -> int:
    if body.prompt_tokens is not None:
        return _check_tokens(body.prompt_tokens)
    return len(body.prompt) // CHARS_PER_TOKEN + 1


def _check_tokens(count: int) -> int:
    if not 0 <= count <= TOKEN_LIMIT:
        sentence = f"Token counts must lie between 0 and {TOKEN_LIMIT}."
        raise FireflyquayError(Code.BAD_REQUEST, sentence)
    return count
