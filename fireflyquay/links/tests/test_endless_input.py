"""What a faulty peer sends without end is neither kept nor written to the log."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from fireflyquay.links import HttpClient, HttpFailure, HttpLimits

HOST = "127.0.0.1"
CONNECTIONS = 16
FILLER = b"x" * 65536
SECONDS = 0.5
MAX_LOGGED_CHARS = 1000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FloodingServer:
    """Answer requests, then send bytes until the connection is closed."""

    def __init__(self, response=RESPONSE, delay=0.0, filler=FILLER):
        self.response, self.delay, self.filler = response, delay, filler
        self.open = 0

    async def respond(self, reader, writer):
        self.open += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.response)
            await asyncio.sleep(self.delay)
            while True:
                writer.write(self.filler)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.transport.abort()


@asynccontextmanager
async def serve(flooding):
    server = await asyncio.start_server(flooding.respond, HOST, 0)
    client = HttpClient(HttpLimits())
    try:
        yield client, server.sockets[0].getsockname()[1]
    finally:
        await client.close()
        server.close()


async def get(client, port):
    return await client.request(HOST, port, "GET", "/", {}, b"", 2.0)


def test_idle_connection_that_receives_bytes_is_closed_at_once():
    async def run():
        flooding = FloodingServer(delay=0.2)
        async with serve(flooding) as (client, port):
            await asyncio.gather(*(get(client, port) for _ in range(CONNECTIONS)))
            assert client.keeps_connection(HOST, port)
            await asyncio.sleep(0.2 + SECONDS)
            assert flooding.open == 0
            assert not client.keeps_connection(HOST, port)

    asyncio.run(run())


# A head without an end in one line, in many, in informational responses, and a body
# whose chunk header or trailer has no end.
ENDLESS = {
    "line": (b"HTTP/1.1 200 OK\r\nX-Filler: ", FILLER),
    "lines": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: y\r\n" * 4096),
    "status line": (b"", FILLER),
    "whole head": (b"", FILLER * 2 + b"\r\n\r\n"),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", FILLER),
    "chunk header": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        FILLER,
    ),
    "trailer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Filler: y\r\n" * 4096,
    ),
}


@pytest.mark.parametrize("name", ENDLESS)
def test_response_without_end_is_given_up_and_described_in_short(name):
    async def run():
        start, filler = ENDLESS[name]
        async with serve(FloodingServer(start, 0.0, filler)) as (client, port):
            with pytest.raises(HttpFailure) as raised:
                await get(client, port)
            assert len(raised.value.sentence) < MAX_LOGGED_CHARS
            assert not client.keeps_connection(HOST, port)

    asyncio.run(run())
