"""Splitter of server-sent events: cuts a byte stream at the ends of events."""

from __future__ import annotations

from ._dialect import EventReader

# A longer event is forwarded before it is complete.
MAX_EVENT_BYTES = 256 * 1024


class EventSplitter(EventReader):
    """Forward complete events unchanged; count their ids and record the last one."""

    def __init__(self) -> None:
        super().__init__()
        self._remainder = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        data = self._remainder + data
        end = data.rfind(b"\n\n")
        end = end + 2 if end >= 0 else 0
        crlf = data.rfind(b"\r\n\r\n")
        end = max(end, crlf + 4 if crlf >= 0 else 0)
        if not end and len(data) > MAX_EVENT_BYTES:
            end = len(data)
        complete, self._remainder = data[:end], data[end:]
        self._record_events(complete)
        return complete

    def finish(self) -> bytes:
        """Return the bytes after the last complete event."""
        remainder, self._remainder = self._remainder, b""
        return remainder

    def _record_events(self, events: bytes) -> None:
        for line in events.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                self.event_count += 1
