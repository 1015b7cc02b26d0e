"""Stream reader that reports received bytes and disconnection between reads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fireflyquay.world import Incarnation

# Limit of the stream buffer; asyncio pauses reading above twice this size.
READ_BUFFER_BYTES = 64 * 1024


class MonitoredReader(asyncio.StreamReader):
    """Report received bytes and disconnection, even while no read is in progress.

    If the peer has sent more than the buffer holds, only a write detects that it
    disconnected.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, buffer_bytes: int = READ_BUFFER_BYTES
    ) -> None:
        super().__init__(limit=buffer_bytes, loop=loop)
        # Set when the peer has closed the connection, or it is lost.
        self.closed = asyncio.Event()
        # Called once, when the peer has closed the connection, or it is lost.
        self.on_closed: Callable[[], None] | None = None
        # Called before received bytes are buffered, while nothing is expected.
        self.on_unexpected: Callable[[], None] | None = None
        # VM that carries the connection; empty if it is direct.
        self.carrier = Incarnation("")
        # Number of bytes received so far, including those that were not read.
        self.received_bytes = 0

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes were received that have not been read."""
        return bool(self._buffer)

    @property
    def unread_byte_count(self) -> int:
        """Return the number of bytes that were received and have not been read."""
        return len(self._buffer)

    def feed_data(self, data: bytes) -> None:
        """Count and buffer received bytes, unless none are expected."""
        self.received_bytes += len(data)
        if self.on_unexpected is not None:
            self.on_unexpected()
            return
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
