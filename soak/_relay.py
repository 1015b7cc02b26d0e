"""Loopback proxy that delays, resets or blocks connections."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from fireflyquay.links import abort_connection

CHUNK_BYTES = 65536
POLL_INTERVAL_SECONDS = 0.02


class Mode(StrEnum):
    """Select how a relay treats its connections."""

    PASS = "PASS"  # noqa: S105
    # Each chunk is forwarded after a delay.
    DELAY = "DELAY"
    # New and open connections are reset.
    RESET = "RESET"
    # No data is forwarded; connections stay open.
    SILENT = "SILENT"
    # Requests are forwarded, responses are not.
    ONE_WAY = "ONE_WAY"


class Relay:
    """Forward bytes between a listening port and a target port."""

    def __init__(self, target_port: int, host: str = "127.0.0.1") -> None:
        self._host = host
        self._target_port = target_port
        self.mode = Mode.PASS
        # Applies in Mode.DELAY.
        self.delay_seconds = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Those of connections that deliver nothing any more.
        self._silent_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start listening and return the port."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._host, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def set_mode(self, mode: Mode, delay_seconds: float = 0.0) -> None:
        """Set the mode and the delay for new and open connections."""
        self.mode, self.delay_seconds = mode, delay_seconds
        if mode is Mode.RESET:
            for writer in list(self._writers):
                abort_connection(writer)

    def silence_open(self) -> None:
        """Forward nothing more over open connections; new ones work."""
        self._silent_writers |= self._writers

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            abort_connection(writer)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            abort_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            abort_connection(writer)
            return
        writers = (writer, target_writer)
        self._writers.update(writers)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, False),
                self._forward(target_reader, writer, True),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.difference_update(writers)
            self._silent_writers.difference_update(writers)
            for open_writer in writers:
                open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while writer in self._silent_writers or self._is_blocked(is_response):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_seconds)
            if not data:
                # End of file in one direction closes both, as in most servers.
                writer.close()
                return
            writer.write(data)
            await writer.drain()

    def _is_blocked(self, is_response: bool) -> bool:
        return self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_response)
