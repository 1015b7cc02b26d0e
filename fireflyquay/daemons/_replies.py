"""Writes answers, refusals and redirects to callers."""

from __future__ import annotations

import base64
import math
from dataclasses import replace

import msgspec

from fireflyquay.decisions import (
    Redirect,
    Refuse,
    refuse_untaken,
)
from fireflyquay.links import HttpResponder, RunChunk, RunFinished, read_status
from fireflyquay.world import Code, FireflyquayError, RequestKey, Verdict

from ._answer import Answer, Reader
from ._parser import CopyFault

JSON_HEADERS = {"content-type": "application/json"}
SSE_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-store"}


class RefusalBody(msgspec.Struct, frozen=True):
    """Hold the body of a refusal or failure."""

    code: Code
    verdict: Verdict
    sentence: str
    retry_after: float | None
    key: str
    # Key for a new attempt, or empty.
    new_key: str = ""


class AnswerBody(msgspec.Struct, frozen=True):
    """Hold the body of a whole answer."""

    key: str
    verdict: Verdict
    output: str | msgspec.Raw
    output_tokens: int


class TokenEvent(msgspec.Struct, frozen=True):
    """Hold the data of one streamed chunk."""

    index: int
    text: str


class DoneEvent(msgspec.Struct, frozen=True):
    """Hold the data of a stream's end."""

    key: str
    verdict: Verdict
    output_tokens: int


async def send_json(responder: HttpResponder, status: int, value: object) -> None:
    """Answer with a JSON body."""
    await responder.send(status, JSON_HEADERS, msgspec.json.encode(value))


async def send_refusal(responder: HttpResponder, key: str, refuse: Refuse) -> None:
    """Answer with a refusal or failure and when to come back."""
    body = RefusalBody(
        refuse.code,
        refuse.verdict,
        refuse.sentence,
        refuse.retry_after,
        key,
        refuse.new_key or "",
    )
    headers = dict(JSON_HEADERS)
    if refuse.retry_after is not None:
        headers["retry-after"] = str(math.ceil(refuse.retry_after))
    status = read_status(refuse.code)
    await responder.send(status, headers, msgspec.json.encode(body))


async def send_error(
    responder: HttpResponder, key: str, error: FireflyquayError, is_sole_copy: bool
) -> None:
    """Answer a request that was never taken."""
    refuse = refuse_untaken(error.code, error.sentence, is_sole_copy)
    if isinstance(error, CopyFault) and not is_sole_copy:
        refuse = replace(refuse, verdict=Verdict.MAY_HAVE_RUN, retry_after=None)
    await send_refusal(responder, key, refuse)


async def send_redirect(
    responder: HttpResponder, target: str, redirect: Redirect
) -> None:
    """Send the caller to the entry VM that holds its request."""
    location = f"http://{redirect.host}:{redirect.http_port}{target}"
    await responder.send(307, {"location": location}, b"")


async def send_whole(
    responder: HttpResponder, target: str, key: RequestKey, answer: Answer
) -> None:
    """Wait for the end and answer in one piece."""
    reader = answer.add_reader()
    try:
        index = 0
        while answer.end is None:
            await answer.wait_beyond(index)
            _take_new(answer, reader, index)
            index = len(answer.chunks)
        await _send_end(responder, target, key, answer)
    finally:
        answer.remove_reader(reader)


async def send_stream(
    responder: HttpResponder,
    target: str,
    key: RequestKey,
    answer: Answer,
    start: int,
) -> None:
    """Stream chunks as they come, from an index on."""
    reader = answer.add_reader()
    try:
        await answer.wait_beyond(0)
        if not answer.chunks and not isinstance(answer.end, RunFinished):
            await _send_end(responder, target, key, answer)
            return
        await responder.start(200, SSE_HEADERS)
        await _stream_chunks(responder, answer, reader, start)
        await responder.write(_encode_end(key, answer))
        await responder.finish()
    finally:
        answer.remove_reader(reader)


async def _stream_chunks(
    responder: HttpResponder, answer: Answer, reader: Reader, start: int
) -> None:
    index = 0
    while True:
        await answer.wait_beyond(index)
        if index >= len(answer.chunks):
            return
        chunk = answer.chunks[index]
        index += 1
        if chunk.index >= start:
            text = _decode_text(chunk)
            await responder.write(_encode("token", TokenEvent(chunk.index, text)))
        answer.note_read(reader, len(chunk.data))


async def _send_end(
    responder: HttpResponder, target: str, key: RequestKey, answer: Answer
) -> None:
    end = answer.end
    if isinstance(end, Refuse):
        await send_refusal(responder, key, end)
        return
    if isinstance(end, Redirect):
        await send_redirect(responder, target, end)
        return
    tokens = end.output_tokens if end else 0
    output = _join_output(answer)
    body = AnswerBody(key, Verdict.RAN, output, tokens)
    await send_json(responder, 200, body)


def _take_new(answer: Answer, reader: Reader, index: int) -> None:
    for chunk in answer.chunks[index:]:
        answer.note_read(reader, len(chunk.data))


def _join_output(answer: Answer) -> str | msgspec.Raw:
    data = b"".join(chunk.data for chunk in answer.chunks)
    try:
        return data.decode()
    except UnicodeDecodeError:
        return base64.b64encode(data).decode()


def _decode_text(chunk: RunChunk) -> str:
    return chunk.data.decode("utf-8", "replace")


def _encode(event: str, value: object) -> bytes:
    return f"event: {event}\ndata: ".encode() + msgspec.json.encode(value) + b"\n\n"


def _encode_end(key: RequestKey, answer: Answer) -> bytes:
    end = answer.end
    if isinstance(end, RunFinished):
        return _encode("done", DoneEvent(key, Verdict.RAN, end.output_tokens))
    if isinstance(end, Refuse):
        body = RefusalBody(end.code, end.verdict, end.sentence, end.retry_after, key)
        return _encode("failed", body)
    body = RefusalBody(
        Code.STREAM_LOST, Verdict.MAY_HAVE_RUN, "The stream moved.", 0.0, key
    )
    return _encode("failed", body)
