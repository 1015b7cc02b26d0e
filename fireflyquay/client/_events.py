"""Incremental parser of server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

# Incomplete lines are counted in bytes, complete ones in decoded characters.
MAX_EVENT_BYTES = 1 << 20


class EventTooLargeError(ValueError):
    """Report an event that exceeds MAX_EVENT_BYTES."""


@dataclass(frozen=True, slots=True)
class SseEvent:
    """Hold one server-sent event."""

    name: str
    data: str


class SseParser:
    """Parse chunks of bytes into events."""

    def __init__(self) -> None:
        self._incomplete_line = b""
        self._name = ""
        self._data: list[str] = []
        self._event_size = 0

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Return the events that a chunk completes; raise EventTooLargeError."""
        lines = (self._incomplete_line + chunk).split(b"\n")
        self._incomplete_line = lines.pop()
        if len(self._incomplete_line) + self._event_size > MAX_EVENT_BYTES:
            raise EventTooLargeError
        events = []
        for line in lines:
            event = self._parse_line(line.removesuffix(b"\r").decode(errors="replace"))
            if event is not None:
                events.append(event)
        return events

    def _parse_line(self, line: str) -> SseEvent | None:
        if not line:
            return self._finish_event()
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        self._event_size += len(line)
        if self._event_size > MAX_EVENT_BYTES:
            raise EventTooLargeError
        if field == "event":
            self._name = value
        if field == "data":
            self._data.append(value)
        return None

    def _finish_event(self) -> SseEvent | None:
        event = None
        if self._data:
            event = SseEvent(self._name or "message", "\n".join(self._data))
        self._name = ""
        self._data = []
        self._event_size = 0
        return event
