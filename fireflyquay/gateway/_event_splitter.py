"""Cuts a byte stream of events at their ends."""

from __future__ import annotations

from ._dialect import EventReader

# Bytes of one event, beyond which the stream is passed on uncut.
MAX_EVENT_BYTES = 256 * 1024


class EventSplitter(EventReader):
    """Pass on whole events unchanged and remember the id of the last one."""

    def __init__(self) -> None:
        super().__init__()
        self._remainder = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        data = self._remainder + data
        end = data.rfind(b"\n\n")
        end = end + 2 if end >= 0 else 0
        crlf = data.rfind(b"\r\n\r\n")
        end = max(end, crlf + 4 if crlf >= 0 else 0)
        if not end and len(data) > MAX_EVENT_BYTES:
            end = len(data)
        whole, self._remainder = data[:end], data[end:]
        self._record_ids(whole)
        return whole

    def finish(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest, self._remainder = self._remainder, b""
        return rest

    def _record_ids(self, whole: bytes) -> None:
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.events += 1
