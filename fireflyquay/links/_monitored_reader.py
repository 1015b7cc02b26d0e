"""Stream reader that detects received bytes and disconnection without a read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Limit of the stream buffer; asyncio pauses reading above twice this size.
READ_BUFFER_BYTES = 64 * 1024


class MonitoredReader(asyncio.StreamReader):
    """Report received bytes and disconnection immediately, even without a read.

    If the peer sends more than the buffer holds, only a write detects that it left.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READ_BUFFER_BYTES, loop=loop)
        # Set when the peer has closed or the connection is lost.
        self.closed = asyncio.Event()
        # Called once, when the peer has closed or the connection is lost.
        self.on_closed: Callable[[], None] | None = None
        # Bytes received so far, read or not.
        self.received_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Count and buffer received bytes."""
        self.received_bytes += len(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Record the end of input."""
        super().feed_eof()
        self._mark_closed()

    def set_exception(self, exc: BaseException) -> None:
        """Record a lost connection."""
        super().set_exception(exc)
        self._mark_closed()

    def _mark_closed(self) -> None:
        self.closed.set()
        callback, self.on_closed = self.on_closed, None
        if callback is not None:
            callback()
