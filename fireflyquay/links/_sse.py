"""Parser and encoder for server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Code, FireflyquayError

# Maximum size of an event, which limits the memory of an incomplete one.
MAX_EVENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class SseEvent:
    """Hold one server-sent event."""

    # "message" if the stream gives no event name.
    name: str
    data: bytes


class SseParser:
    """Parse a byte stream into server-sent events; lines end with LF or CRLF."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._name = ""
        self._data: list[bytes] = []
        self._event_bytes = 0

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun whose end has not arrived."""
        return bool(self._buffer or self._name or self._data)

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Return the events that the chunk completes.

        Raises FireflyquayError with BAD_MESSAGE if an event exceeds the size limit.
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
        """Return the event that a blank line ends, or None if it has no data."""
        name, data = self._name, self._data
        self._name, self._data, self._event_bytes = "", [], 0
        if not data:
            return None
        return SseEvent(name or "message", b"\n".join(data))

    def _check_size(self, size: int) -> None:
        if size > self._max_event_bytes:
            raise FireflyquayError(
                Code.BAD_MESSAGE, "A server-sent event exceeds the size limit."
            )


def encode_sse(name: str, data: bytes) -> bytes:
    """Encode an event; its name and data must not contain line breaks."""
    return b"event: %s\ndata: %s\n\n" % (name.encode(), data)
