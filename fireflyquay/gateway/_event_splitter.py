"""Splitter of server-sent events: cuts a byte stream at the ends of events."""

from __future__ import annotations

import re

from ._dialect import BrokenResponseError, EventReader

# A longer event is forwarded before it is complete.
MAX_EVENT_BYTES = 256 * 1024
# A blank line ends an event; lines end with LF, CRLF or CR.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
# Bytes of the longest of them that may stand before the next read.
_MAX_PARTIAL_END_BYTES = 2
_LINE_END = re.compile(rb"\r\n|\n|\r")


class EventSplitter(EventReader):
    """Forward complete events unchanged; count their ids and record the last one."""

    def __init__(self) -> None:
        super().__init__()
        self._remainder = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        data = self._remainder + data
        end = _find_last_event_end(data)
        if end:
            self.is_inside_event = False
        elif len(data) > MAX_EVENT_BYTES:
            end = len(data) - _MAX_PARTIAL_END_BYTES
            self.is_inside_event = True
        complete, self._remainder = data[:end], data[end:]
        self._record_events(complete)
        return complete

    def finish(self) -> bytes:
        """Return what follows the last event; raise BrokenResponseError inside one."""
        remainder, self._remainder = self._remainder, b""
        if self.is_inside_event or not _is_between_events(remainder):
            raise BrokenResponseError("The stream ended inside an event.")
        return remainder

    def _record_events(self, events: bytes) -> None:
        for line in _LINE_END.split(events):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                self.event_count += 1


def _find_last_event_end(data: bytes) -> int:
    """Return the position after the last event, or 0 if none ends."""
    ends = [start + len(end) for end in _EVENT_ENDS if (start := data.rfind(end)) >= 0]
    return max(ends, default=0)


def _is_between_events(remainder: bytes) -> bool:
    """Return whether bytes after an event hold only blank lines and comments."""
    *lines, unfinished_line = _LINE_END.split(remainder)
    is_blank = all(not line or line.startswith(b":") for line in lines)
    return is_blank and not unfinished_line
