"""Server-sent events: a bounded parser and an encoder."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Code, FireflyquayError

# Bytes of one event, as many as are held back of a response.
MAX_EVENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class SseEvent:
    """Hold one event."""

    # "message" where the stream names none.
    name: str
    data: bytes


class SseParser:
    """Turn bytes into events; lines end with LF or CRLF."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._name = ""
        self._data: list[bytes] = []
        self._event_bytes = 0

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Return the events completed by the chunk.

        Raises FireflyquayError with BAD_MESSAGE for an event that is too large.
        """
        self._buffer += chunk
        lines = self._buffer.split(b"\n")
        self._buffer = lines.pop()
        events = [event for line in lines if (event := self._parse_line(line))]
        self._check_size(self._event_bytes + len(self._buffer))
        return events

    def _parse_line(self, line: bytearray) -> SseEvent | None:
        line = line.removesuffix(b"\r")
        if not line:
            return self._finish_event()
        self._event_bytes += len(line)
        self._check_size(self._event_bytes)
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"event":
            self._name = value.decode("utf-8", "replace")
        if field == b"data":
            self._data.append(bytes(value))
        return None

    def _finish_event(self) -> SseEvent | None:
        name, data = self._name, self._data
        self._name, self._data, self._event_bytes = "", [], 0
        if not data:
            return None
        return SseEvent(name or "message", b"\n".join(data))

    def _check_size(self, size: int) -> None:
        if size > self._max_event_bytes:
            raise FireflyquayError(Code.BAD_MESSAGE, "An event is too large.")


def encode_sse(name: str, data: bytes) -> bytes:
    """Write an event whose data holds no line break."""
    return b"event: %s\ndata: %s\n\n" % (name.encode(), data)
