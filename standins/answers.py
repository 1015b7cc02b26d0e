"""Responses of the stand-ins, computed so that tests can compare every byte."""

from __future__ import annotations

import hashlib

import msgspec


def count_output_tokens(key: str, body: bytes, max_tokens: int) -> int:
    """Return the number of output tokens: at least half of `max_tokens`."""
    half = max_tokens // 2
    seed = int(_compute_seed(key, body), 16)
    return max(1, max_tokens - seed % (half + 1))


def make_tokens(key: str, body: bytes, first: int, last: int) -> str:
    """Return the text of the tokens from first up to, but not including, last."""
    seed = _compute_seed(key, body)
    return "".join(f"{seed}.{number} " for number in range(first, last))


def compute_expected_text(key: str, body: bytes, max_tokens: int) -> bytes:
    """Return the complete output of an engine."""
    count = count_output_tokens(key, body, max_tokens)
    return make_tokens(key, body, 0, count).encode()


def compute_expected_result(key: str, kind: str, body: bytes) -> bytes:
    """Return the complete response body of a plain service."""
    result = {"key": key, "kind": kind, "body_hash": hash_body(body)}
    return msgspec.json.encode(result)


def hash_body(body: bytes) -> str:
    """Return a short hash of a request body."""
    return hashlib.sha256(body).hexdigest()[:16]


def _compute_seed(key: str, body: bytes) -> str:
    text = b"%s\n%s" % (key.encode(), body)
    return hashlib.sha256(text).hexdigest()[:8]
