"""Connections accepted from other entry VMs, and the frames that arrive on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fireflyquay.dispatch import CONNECTION_BYTES, MemoryUse

from ._connection_guard import ConnectionGuard, GuardedConnection
from ._connection_reset import abort_connection
from ._sockets import limit_received_bytes
from ._tunnel import FRAME_HEADER_BYTES, MAX_STALL_SECONDS

# Maximum size of a frame; the registry of thousands of backend servers fits in.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Frames up to this size are read even if the memory is used up.
SMALL_FRAME_BYTES = 64 * 1024
MAX_RECEIVED_BYTES = 16 * 1024


class PeerConnection(GuardedConnection):
    """Read the frames of a connection that was accepted from a peer."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        guard: ConnectionGuard,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._guard = guard
        # Part of a frame that has arrived; None between frames.
        self._frame: bytearray | None = None
        self._received_bytes = 0
        self._has_received_frame = False
        self.carries_tunnel = False
        limit_received_bytes(writer, MAX_RECEIVED_BYTES)
        self._holder = guard.add(self)

    @property
    def writer(self) -> asyncio.StreamWriter:
        """Return the writer of the connection."""
        return self._writer

    @property
    def max_stall_seconds(self) -> float:
        """Return the seconds for which the peer may take nothing."""
        return MAX_STALL_SECONDS

    def measure(self) -> MemoryUse:
        """Return what the connection takes now."""
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        frame_bytes = 0 if self._frame is None else len(self._frame)
        return MemoryUse(
            CONNECTION_BYTES + unsent_bytes + frame_bytes,
            self._received_bytes,
            unsent_bytes,
            self.carries_tunnel or (self._has_received_frame and self._frame is None),
        )

    def give_way(self) -> None:
        """Close the connection at once to make room."""
        abort_connection(self._writer)

    def end(self) -> None:
        """Give the connection's memory back."""
        self._guard.remove(self._holder)

    async def read_frame(self, reject: Callable[[str], None]) -> bytes:
        """Return the next frame; raise ValueError if it can't be held."""
        header = await self._reader.readexactly(FRAME_HEADER_BYTES)
        size = int.from_bytes(header, "big")
        if size > MAX_FRAME_BYTES:
            reject(
                f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            )
            raise ValueError("The frame exceeds the size limit.")
        self._frame = frame = bytearray()
        while len(frame) < size:
            missing_bytes = min(size - len(frame), MAX_RECEIVED_BYTES)
            part = await self._reader.readexactly(missing_bytes)
            self._received_bytes += len(part)
            frame += part
            self._guard.update(self._holder)
            is_small = len(frame) <= SMALL_FRAME_BYTES
            if not is_small and not self._guard.account.has_room(0, uses_reserve=True):
                self._guard.refuse("message of a VM")
                raise ValueError("There is no memory for the frame.")
        self._frame = None
        self._has_received_frame = True
        return bytes(frame)
