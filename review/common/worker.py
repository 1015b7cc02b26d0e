"""Stand-in of a worker whose answers, their framing and crashes are set."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
import time
from dataclasses import dataclass, field

from .deployment import Deployment, Record

_numbers = itertools.count(1)
BACK_SECONDS = 2.5
REGISTRATION_SECONDS = 0.3
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Answering:
    """Describe how a worker answers."""

    # Seconds of work before the answer begins.
    work_seconds: float = 0.02
    # The body is sent in parts, with a pause after each.
    part: bytes = b"done"
    part_count: int = 1
    pause_seconds: float = 0.0
    # Without a length, the answer ends with its channel.
    has_length: bool = True
    content_type: str = "text/plain"


@dataclass
class Worker:
    """Serve requests over kept channels, one at a time on each."""

    service: str
    record: Record
    deployment: Deployment
    answering: Answering = field(default_factory=Answering)
    slots: int = 10
    # Body of a request that crashes the worker when it begins to run it.
    poison: bytes = b""
    logs_runs: bool = True
    crash_count: int = 0

    def __post_init__(self) -> None:
        self.name = f"i-{next(_numbers):08x}"
        self.port = 0
        # Ids of the requests that ran, with the loop time.
        self.runs: list[tuple[str, float]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._free_slots = asyncio.Semaphore(self.slots)
        self._restart: asyncio.Task[None] | None = None
        self._born = 0

    async def start(self) -> None:
        """Listen, and register in the store."""
        await self._listen()
        self._register()

    async def close(self) -> None:
        """Stop."""
        if self._restart is not None:
            self._restart.cancel()
        self._reset_all()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._born = int(time.time() * 1000)

    def _register(self) -> None:
        spec = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self._born,
        }
        self.deployment.store.put("servers", self.name, spec)

    def _reset_all(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def _crash(self) -> None:
        """Reset all channels; listen again under the same name some seconds later."""
        self.record.write(f"worker {self.name} crashes")
        self.crash_count += 1
        self._reset_all()
        self._restart = asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_SECONDS)
        await self._listen()
        await asyncio.sleep(REGISTRATION_SECONDS)
        self._register()
        self.record.write(f"worker {self.name} is back")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        name = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {name}\r\n"
                f"X-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        async with self._free_slots:
            self.runs.append((name, asyncio.get_running_loop().time()))
            if self.logs_runs:
                self.record.write(f"worker {self.name} runs {name} ({first})")
            if self.poison and body == self.poison:
                self._crash()
                return False
            return await self._answer(name, writer)

    async def _answer(self, name: str, writer: asyncio.StreamWriter) -> bool:
        how = self.answering
        await asyncio.sleep(how.work_seconds)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {name}",
            f"X-Response-Seal: seal.{name}",
            f"Content-Type: {how.content_type}",
        ]
        if how.has_length:
            lines.append(f"Content-Length: {len(how.part) * how.part_count}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for _ in range(how.part_count):
            writer.write(how.part)
            await writer.drain()
            if how.pause_seconds:
                await asyncio.sleep(how.pause_seconds)
        if self.logs_runs:
            self.record.write(f"worker {self.name} has sent its whole answer to {name}")
        return how.has_length
