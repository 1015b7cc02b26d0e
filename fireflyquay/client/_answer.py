"""Answers and failures as callers see them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from fireflyquay.world import (
    DECODE_ERRORS,
    Code,
    FireflyquayError,
    RequestKey,
    Verdict,
)

STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the whole answer to a request."""

    key: RequestKey
    output: Any


@dataclass(frozen=True, slots=True)
class Token:
    """Hold one piece of a streamed answer."""

    # Counts from 0 without gaps.
    index: int
    text: str


class RequestFailed(FireflyquayError):  # noqa: N818
    """Tell that a request failed, and whether it may have run."""

    def __init__(
        self,
        code: Code,
        verdict: Verdict,
        sentence: str,
        key: RequestKey,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(code, sentence)
        self.verdict = verdict
        self.key = key
        # Seconds after which trying again makes sense; None for never.
        self.retry_after = retry_after


class EntriesUnreachable(RequestFailed):
    """Tell that no entry VM answered and nothing was sent."""

    def __init__(self, sentence: str) -> None:
        super().__init__(
            Code.NOT_READY, Verdict.NOT_RUN, sentence, RequestKey(""), None
        )


class AnswerBody(msgspec.Struct, frozen=True):
    """Decode the body of an answer."""

    verdict: Verdict
    output: Any = None
    key: str = ""


class FailureBody(msgspec.Struct, frozen=True):
    """Decode the body of a refusal or failure."""

    code: str
    verdict: Verdict
    sentence: str = ""
    retry_after: float | None = None
    key: str = ""


def decode_answer(body: bytes, key: RequestKey) -> Answer:
    """Read an answer; raise RequestFailed when it can't be read."""
    try:
        decoded = msgspec.json.decode(body, type=AnswerBody)
    except DECODE_ERRORS:
        raise make_invalid_response_failure(key) from None
    if decoded.verdict is not Verdict.RAN:
        raise make_invalid_response_failure(key)
    return Answer(RequestKey(decoded.key) or key, decoded.output)


def decode_failure(
    body: bytes, key: RequestKey, retry_after: float | None = None
) -> RequestFailed:
    """Read a refusal or failure; an unreadable one may have run.

    The Retry-After header's seconds count where the body has none.
    """
    try:
        decoded = msgspec.json.decode(body, type=FailureBody)
    except DECODE_ERRORS:
        return make_invalid_response_failure(key)
    code = _read_code(decoded.code)
    if decoded.retry_after is not None:
        retry_after = decoded.retry_after
    key = RequestKey(decoded.key) or key
    return RequestFailed(code, decoded.verdict, decoded.sentence, key, retry_after)


def make_invalid_response_failure(key: RequestKey) -> RequestFailed:
    """Make the failure for an answer that can't be read."""
    sentence = "The entry VM's answer can't be read."
    return RequestFailed(Code.INTERNAL, Verdict.MAY_HAVE_RUN, sentence, key)


def _read_code(text: str) -> Code:
    try:
        return Code(text)
    except ValueError:
        return Code.INTERNAL
