"""Conversion of a model engine's event stream into the client's response."""

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


class EngineChunkEvent(msgspec.Struct, frozen=True):
    """Hold the data of an engine's chunk event."""

    # Position in the answer, counted from 0.
    index: int
    text: str
    # Number of output tokens in this chunk.
    tokens: int


class EngineFinishedEvent(msgspec.Struct, frozen=True):
    """Hold the data of an engine's finished event."""

    # Prompt tokens not served from the prefix cache.
    prefill_tokens_computed: int
    output_tokens: int


class EngineFailedEvent(msgspec.Struct, frozen=True):
    """Hold the data of an engine's failed event."""

    sentence: str = ""


class TokenEvent(msgspec.Struct, frozen=True):
    """Hold the data of the client's token event, the text of one chunk."""

    index: int
    text: str


class DoneEvent(msgspec.Struct, frozen=True):
    """Hold the data of the done event, the client's final event."""

    key: RequestKey
    verdict: Verdict
    output_tokens: int


class AnswerBody(msgspec.Struct, frozen=True):
    """Hold the body of a successful response."""

    key: RequestKey
    verdict: Verdict
    output: str | msgspec.Raw
    output_tokens: int


class EngineReader(EventReader):
    """Convert an engine's events to the client's events or to one response body."""

    def __init__(self, key: RequestKey, wants_events: bool) -> None:
        super().__init__()
        self._key = key
        self._wants_events = wants_events
        self._parser = SseParser()
        self._texts: list[str] = []
        self._finished_event: EngineFinishedEvent | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the client's bytes for a chunk of the engine's stream."""
        try:
            events = self._parser.feed(data)
        except FireflyquayError as error:
            raise BrokenResponseError(error.sentence) from None
        return b"".join(self._translate_event(event) for event in events)

    def finish(self) -> bytes:
        """Return the client's last bytes; raise BrokenResponseError if incomplete."""
        finished_event = self._finished_event
        if finished_event is None:
            raise BrokenResponseError("The stream ended without a finished event.")
        if self._parser.is_inside_event:
            raise BrokenResponseError("The stream ended inside an event.")
        if self._wants_events:
            done = DoneEvent(self._key, Verdict.RAN, finished_event.output_tokens)
            return encode_sse("done", msgspec.json.encode(done))
        output = "".join(self._texts)
        answer = AnswerBody(
            self._key, Verdict.RAN, output, finished_event.output_tokens
        )
        return msgspec.json.encode(answer)

    def _translate_event(self, event: SseEvent) -> bytes:
        try:
            match event.name:
                # Has no data for the client.
                case "started":
                    return b""
                case "chunk":
                    return self._translate_chunk(
                        msgspec.json.decode(event.data, type=EngineChunkEvent)
                    )
                case "finished":
                    self._finished_event = msgspec.json.decode(
                        event.data, type=EngineFinishedEvent
                    )
                    return b""
                case "failed":
                    failure = msgspec.json.decode(event.data, type=EngineFailedEvent)
                    raise BrokenResponseError(failure.sentence)
        except DECODE_ERRORS as error:
            raise BrokenResponseError(f"An event can't be decoded: {error}.") from None
        raise BrokenResponseError(f"The stream has an unknown event {event.name!r}.")

    def _translate_chunk(self, chunk: EngineChunkEvent) -> bytes:
        if chunk.index != self.event_count:
            raise BrokenResponseError("A chunk of the stream is missing or repeated.")
        self.event_count += 1
        self.last_event_id = str(chunk.index)
        if not self._wants_events:
            self._texts.append(chunk.text)
            return b""
        token = TokenEvent(chunk.index, chunk.text)
        return encode_sse("token", msgspec.json.encode(token))
