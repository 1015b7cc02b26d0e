"""Log handler that writes JSON lines with rate and size limits, without blocking."""

from __future__ import annotations

import os
from collections import deque
from datetime import UTC, datetime
from typing import Any

import logbook
import msgspec

# Size limit of the queue; lines that would exceed it are dropped and counted.
MAX_QUEUED_BYTES = 256 * 1024
# Length of the windows in which lines are counted for the rate limit.
RATE_WINDOW_SECONDS = 1.0


class JsonLineHandler(logbook.Handler):
    """Write each record as a JSON line to a non-blocking file descriptor.

    Lines are rate limited per channel and event. The next line that is written holds
    the number of suppressed lines as `left_out`.
    """

    def __init__(self, fd: int, lines_per_second: int) -> None:
        super().__init__()
        self._fd = fd
        self._lines_per_second = lines_per_second
        self._queued_lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped_count = 0
        self._rate_windows: dict[tuple[str, str], tuple[float, int]] = {}
        self._suppressed_counts: dict[tuple[str, str], int] = {}
        os.set_blocking(fd, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record unless a limit is exceeded, and write queued lines."""
        event_key = (record.channel, str(record.msg))
        timestamp = record.time.replace(tzinfo=UTC)
        suppressed_count = self._apply_rate_limit(event_key, timestamp)
        if suppressed_count is None:
            return
        line: dict[str, Any] = {
            "time": timestamp.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "part": record.channel,
            "event": record.message,
            **record.extra,
        }
        if suppressed_count:
            line["left_out"] = suppressed_count
        if record.formatted_exception:
            line["trace"] = record.formatted_exception
        self._enqueue(msgspec.json.encode(line, enc_hook=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the queue is empty or a write would block."""
        while self._queued_lines:
            line = self._queued_lines[0]
            try:
                written_bytes = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The log can't be written, for example because its reader has closed
                # the pipe, so this error can't be logged.
                self._queued_lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written_bytes
            if written_bytes < len(line):
                self._queued_lines[0] = line[written_bytes:]
                return
            self._queued_lines.popleft()

    def _apply_rate_limit(
        self, event_key: tuple[str, str], timestamp: datetime
    ) -> int | None:
        """Return how many lines were suppressed, or None to suppress this one."""
        now = timestamp.timestamp()
        window_start, count = self._rate_windows.get(event_key, (now, 0))
        if not 0 <= now - window_start < RATE_WINDOW_SECONDS:
            window_start, count = now, 0
        self._rate_windows[event_key] = (window_start, count + 1)
        if count >= self._lines_per_second:
            self._suppressed_counts[event_key] = (
                self._suppressed_counts.get(event_key, 0) + 1
            )
            return None
        return self._suppressed_counts.pop(event_key, 0)

    def _enqueue(self, line: bytes) -> None:
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._dropped_count += 1
            return
        if self._dropped_count:
            notice = {"event": "log lines dropped", "count": self._dropped_count}
            self._dropped_count = 0
            line = msgspec.json.encode(notice) + b"\n" + line
        self._queued_lines.append(line)
        self._queued_bytes += len(line)
