"""A stream reader that tells what arrived while nobody reads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Unparsed bytes at which a connection is no longer read.
READ_BUFFER_BYTES = 64 * 1024


class MonitoredReader(asyncio.StreamReader):
    """Tell at once when the peer sends or closes, also while nobody reads.

    A peer that sends more than the buffer holds is then noticed only by writing.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READ_BUFFER_BYTES, loop=loop)
        # Set once the peer has closed or the connection is lost.
        self.closed = asyncio.Event()
        # Called once when the peer has closed or the connection is lost.
        self.on_closed: Callable[[], None] | None = None
        # Bytes that have arrived, read or not.
        self.received_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Count what arrived."""
        self.received_bytes += len(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Note the end of input."""
        super().feed_eof()
        self._mark_closed()

    def set_exception(self, exc: BaseException) -> None:
        """Note a lost connection."""
        super().set_exception(exc)
        self._mark_closed()

    def _mark_closed(self) -> None:
        self.closed.set()
        callback, self.on_closed = self.on_closed, None
        if callback is not None:
            callback()
