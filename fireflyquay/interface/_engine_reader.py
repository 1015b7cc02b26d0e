"""Reads a model engine's stream and writes a caller's answer."""

from __future__ import annotations

import msgspec

from fireflyquay.gateway import BrokenResponseError, EventReader
from fireflyquay.links import SseEvent, SseParser, encode_sse
from fireflyquay.world import (
    DECODE_ERRORS,
    FireflyquayError,
    RequestKey,
    Verdict,
)


class EngineChunk(msgspec.Struct, frozen=True):
    """Hold the data of an engine's chunk event."""

    # Counts the chunks of one answer from 0.
    index: int
    text: str
    # Output tokens in this chunk.
    tokens: int


class EngineEnd(msgspec.Struct, frozen=True):
    """Hold the data of an engine's finished event."""

    # Prompt tokens computed rather than taken from the prefix cache.
    prefill_tokens_computed: int
    output_tokens: int


class EngineFault(msgspec.Struct, frozen=True):
    """Hold the data of an engine's failed event."""

    sentence: str = ""


class TokenEvent(msgspec.Struct, frozen=True):
    """Hold the data of one streamed chunk."""

    index: int
    text: str


class DoneEvent(msgspec.Struct, frozen=True):
    """Hold the data of a stream's end."""

    key: RequestKey
    verdict: Verdict
    output_tokens: int


class AnswerBody(msgspec.Struct, frozen=True):
    """Hold the body of a whole answer."""

    key: RequestKey
    verdict: Verdict
    output: str | msgspec.Raw
    output_tokens: int


class EngineReader(EventReader):
    """Turn an engine's events into the caller's, or into one whole answer."""

    def __init__(self, key: RequestKey, wants_events: bool) -> None:
        super().__init__()
        self._key = key
        self._wants_events = wants_events
        self._parser = SseParser()
        self._texts: list[str] = []
        self._end: EngineEnd | None = None

    def feed(self, data: bytes) -> bytes:
        """Return what the caller gets once these bytes have come."""
        try:
            events = self._parser.feed(data)
        except FireflyquayError as error:
            raise BrokenResponseError(error.sentence) from None
        return b"".join(self._take(event) for event in events)

    def finish(self) -> bytes:
        """Return what the caller gets at the end; raise BrokenAnswer if it is none."""
        end = self._end
        if end is None:
            raise BrokenResponseError("The stream ended before its last event.")
        if self._wants_events:
            done = DoneEvent(self._key, Verdict.RAN, end.output_tokens)
            return encode_sse("done", msgspec.json.encode(done))
        output = "".join(self._texts)
        answer = AnswerBody(self._key, Verdict.RAN, output, end.output_tokens)
        return msgspec.json.encode(answer)

    def _take(self, event: SseEvent) -> bytes:
        try:
            match event.name:
                case "started":
                    return b""
                case "chunk":
                    return self._take_chunk(
                        msgspec.json.decode(event.data, type=EngineChunk)
                    )
                case "finished":
                    self._end = msgspec.json.decode(event.data, type=EngineEnd)
                    return b""
                case "failed":
                    fault = msgspec.json.decode(event.data, type=EngineFault)
                    raise BrokenResponseError(fault.sentence)
        except DECODE_ERRORS as error:
            raise BrokenResponseError(f"Unreadable event: {error}.") from None
        raise BrokenResponseError(f"Unknown event {event.name!r}.")

    def _take_chunk(self, chunk: EngineChunk) -> bytes:
        if chunk.index != self.event_count:
            raise BrokenResponseError("A chunk is missing or doubled.")
        self.event_count += 1
        self.last_event_id = str(chunk.index)
        if not self._wants_events:
            self._texts.append(chunk.text)
            return b""
        token = TokenEvent(chunk.index, chunk.text)
        return encode_sse("token", msgspec.json.encode(token))
