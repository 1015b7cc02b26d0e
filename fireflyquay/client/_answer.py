"""Answers and failures of requests, and their JSON bodies."""

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
    """Hold the complete output of a request."""

    key: RequestKey
    output: Any


@dataclass(frozen=True, slots=True)
class Token:
    """Hold the text of one event of a streamed answer."""

    # Position in the answer, counted from 0 without gaps.
    index: int
    text: str


class RequestFailed(FireflyquayError):  # noqa: N818
    """Report that a request failed and whether it may have run."""

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
        # Seconds to wait before a retry; None if the request should not be retried.
        self.retry_after = retry_after


class EntriesUnreachable(RequestFailed):
    """Report that no entry VM could be used; the request has not run."""

    def __init__(self, sentence: str) -> None:
        super().__init__(
            Code.NOT_READY, Verdict.NOT_RUN, sentence, RequestKey(""), None
        )


class AnswerBody(msgspec.Struct, frozen=True):
    """Hold the JSON body of an answer."""

    verdict: Verdict
    output: Any = None
    key: str = ""


class FailureBody(msgspec.Struct, frozen=True):
    """Hold the JSON body of a rejection or failure."""

    code: str
    verdict: Verdict
    sentence: str = ""
    retry_after: float | None = None
    key: str = ""


def decode_answer(body: bytes, key: RequestKey) -> Answer:
    """Return the decoded answer; raise RequestFailed if the body is invalid."""
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
    """Return the decoded failure; an invalid body counts as MAY_HAVE_RUN.

    retry_after is the value of the Retry-After header in seconds; a value in the body
    takes precedence.
    """
    try:
        decoded = msgspec.json.decode(body, type=FailureBody)
    except DECODE_ERRORS:
        return make_invalid_response_failure(key)
    code = _parse_code(decoded.code)
    if decoded.retry_after is not None:
        retry_after = decoded.retry_after
    key = RequestKey(decoded.key) or key
    return RequestFailed(code, decoded.verdict, decoded.sentence, key, retry_after)


def make_invalid_response_failure(key: RequestKey) -> RequestFailed:
    """Return the failure for an invalid response, with verdict MAY_HAVE_RUN."""
    sentence = "The entry VM's response is not a valid answer."
    return RequestFailed(Code.INTERNAL, Verdict.MAY_HAVE_RUN, sentence, key)


def _parse_code(text: str) -> Code:
    try:
        return Code(text)
    except ValueError:
        return Code.INTERNAL
