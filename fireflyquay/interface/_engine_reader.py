"""Translation of a model engine's stream into the response for the client."""

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

    # Prompt tokens that were computed, not read from the prefix cache.
    prefill_tokens_computed: int
    output_tokens: int


class EngineFailedEvent(msgspec.Struct, frozen=True):
    """Hold the data of an engine's failed event."""

    sentence: str = ""


class TokenEvent(msgspec.Struct, frozen=True):
    """Hold the data of a token event for the client."""

    index: int
    text: str


class DoneEvent(msgspec.Struct, frozen=True):
    """Hold the data of the done event, the last one for the client."""

    key: RequestKey
    verdict: Verdict
    output_tokens: int


class AnswerBody(msgspec.Struct, frozen=True):
    """Hold the body of a complete answer."""

    key: RequestKey
    verdict: Verdict
    output: str | msgspec.Raw
    output_tokens: int


class EngineReader(EventReader):
    """Translate an engine's events into the client's events or into one answer."""

    def __init__(self, key: RequestKey, wants_events: bool) -> None:
        super().__init__()
        self._key = key
        self._wants_events = wants_events
        self._parser = SseParser()
        self._texts: list[str] = []
        self._finished_event: EngineFinishedEvent | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the bytes to send to the client after receiving these."""
        try:
            events = self._parser.feed(data)
        except FireflyquayError as error:
            raise BrokenResponseError(error.sentence) from None
        return b"".join(self._translate_event(event) for event in events)

    def finish(self) -> bytes:
        """Return the last bytes to send; raise BrokenResponseError on a cut stream."""
        finished_event = self._finished_event
        if finished_event is None:
            raise BrokenResponseError("The stream ended without a finished event.")
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
