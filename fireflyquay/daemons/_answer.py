"""The answer of one exchange, read by the caller and by its later copies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fireflyquay.decisions import (
    Redirect,
    Refuse,
)
from fireflyquay.links import RunChunk, RunFinished

MAX_UNREAD_BYTES = 256 * 1024

End = RunFinished | Refuse | Redirect


@dataclass(slots=True)
class Reader:
    """Follow one connection's place in an answer."""

    # Bytes of the answer that the connection has taken.
    read_bytes: int = 0


class Answer:
    """Buffer an answer's chunks until every connection has taken them."""

    def __init__(self, on_end: Callable[[], None]) -> None:
        self.chunks: list[RunChunk] = []
        self.end: End | None = None
        # Called once, when the end is known.
        self._on_end = on_end
        self._bytes = 0
        self._readers: list[Reader] = []
        self._changed = asyncio.Event()
        self._room = asyncio.Event()

    @property
    def size(self) -> int:
        """Return the bytes held."""
        return self._bytes

    def add_reader(self) -> Reader:
        """Let a connection read from the start."""
        reader = Reader()
        self._readers.append(reader)
        return reader

    def remove_reader(self, reader: Reader) -> bool:
        """Stop reading; tell whether nobody reads any more."""
        self._readers.remove(reader)
        self._room.set()
        return not self._readers

    async def append(self, chunk: RunChunk) -> None:
        """Add a chunk, waiting while the slowest connection is far behind."""
        self.chunks.append(chunk)
        self._bytes += len(chunk.data)
        self._notify()
        while self._count_unread() > MAX_UNREAD_BYTES:
            self._room.clear()
            await self._room.wait()

    def finish(self, end: End) -> None:
        """Set how the answer ended."""
        if self.end is not None:
            return
        self.end = end
        self._notify()
        self._on_end()

    def note_read(self, reader: Reader, size: int) -> None:
        """Note bytes taken by a connection."""
        reader.read_bytes += size
        self._room.set()

    async def wait_beyond(self, index: int) -> None:
        """Wait until there is a chunk of this index or an end."""
        while self.end is None and len(self.chunks) <= index:
            changed = self._changed
            await changed.wait()

    def _count_unread(self) -> int:
        if not self._readers:
            return 0
        return self._bytes - min(reader.read_bytes for reader in self._readers)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
