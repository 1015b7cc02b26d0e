"""HTTP/1.1 client that reports just what its socket has seen."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field

_numbers = itertools.count(1)
_PREFIX = secrets.token_hex(4)
READ_BYTES = 65536


def make_attempt_id() -> str:
    """Return an id for one attempt."""
    return f"{_PREFIX}{next(_numbers):08x}"


@dataclass
class Answer:
    """Hold what a client received of a response."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the response ended as its framing says.
    is_whole: bool = False
    # Whether only the end of the channel ends the body.
    ends_with_channel: bool = False
    # How the channel ended: "open", "closed" or "reset".
    channel: str = "open"


class Channel:
    """Send one request after the other over one channel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer
        self._buffer = b""
        self._has_ended = False
        self.is_open = True

    @classmethod
    async def open(cls, host: str, port: int) -> Channel:
        """Open a channel; raise OSError if that fails."""
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
        return cls(reader, writer)

    @property
    def is_closed_by_peer(self) -> bool:
        """Return whether the end of the channel has arrived."""
        return self._reader.at_eof() or self.writer.transport.is_closing()

    def close(self) -> None:
        """Close the channel."""
        self.is_open = False
        self.writer.close()

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request whole."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self) -> Answer:
        """Receive a response to its end, whatever that is."""
        answer = Answer()
        try:
            await self._receive(answer)
        except asyncio.IncompleteReadError:
            answer.channel = "closed"
        except OSError:
            answer.channel = "reset"
        if answer.channel != "open":
            self.close()
        return answer

    async def _receive(self, answer: Answer) -> None:
        while b"\r\n\r\n" not in self._buffer:
            await self._fill()
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        answer.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            while len(self._buffer) < size:
                answer.body = self._buffer
                await self._fill()
            answer.body, self._buffer = self._buffer[:size], self._buffer[size:]
            answer.is_whole = True
        elif answer.headers.get("transfer-encoding", "") == "chunked":
            await self._receive_chunks(answer)
        else:
            await self._receive_until_end(answer)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    async def _receive_chunks(self, answer: Answer) -> None:
        while True:
            while b"\r\n" not in self._buffer:
                await self._fill()
            line, _, self._buffer = self._buffer.partition(b"\r\n")
            size = int(line, 16)
            while len(self._buffer) < size + 2:
                await self._fill()
            answer.body += self._buffer[:size]
            self._buffer = self._buffer[size + 2 :]
            if not size:
                answer.is_whole = True
                return

    async def _receive_until_end(self, answer: Answer) -> None:
        answer.ends_with_channel = True
        answer.body, self._buffer = self._buffer, b""
        while data := await self._reader.read(READ_BYTES):
            answer.body += data
        answer.is_whole = True
        answer.channel = "closed"

    async def _fill(self) -> None:
        data = await self._reader.read(READ_BYTES)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        self._buffer += data


def make_headers(host: str, key: str, deadline_ms: int, **more: str) -> dict[str, str]:
    """Return the headers of a client's request, with a new id."""
    return {
        "Host": host,
        "X-Request-Id": make_attempt_id(),
        "X-Deadline-Ms": str(deadline_ms),
        "Api-Key": key,
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
