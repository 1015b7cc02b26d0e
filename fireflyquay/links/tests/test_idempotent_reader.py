"""Reads get a response although kept connections have gone silent."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from fireflyquay.links import HttpClient, HttpFailure, HttpLimits, IdempotentReader
from fireflyquay.world import Code

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 1.0


class Server:
    """Answer requests after a time, except on connections that have gone silent."""

    def __init__(self):
        self.delay = 0.0
        self.opened = 0
        # Connections up to this number are silent.
        self.silent_until = 0
        # Whether those are reset instead.
        self.resets = False
        self.received = 0

    async def respond(self, reader, writer):
        self.opened += 1
        number = self.opened
        while await reader.read(65536):
            self.received += 1
            if number > self.silent_until:
                await asyncio.sleep(self.delay)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            elif self.resets:
                writer.transport.abort()
                return
        writer.close()


@asynccontextmanager
async def serve(connections=3):
    """Yield a server, a reader with kept connections, and its HTTP client."""
    state = Server()
    server = await asyncio.start_server(state.respond, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(HttpLimits())
    reader = IdempotentReader(client, HOST, port)
    try:
        state.delay = 0.05
        reads = (reader.get("/", TIMEOUT_SECONDS) for _ in range(connections))
        await asyncio.gather(*reads)
        state.delay = 0.0
        assert state.opened == connections
        yield state, reader, client
    finally:
        await client.close()
        server.close()


async def measure(reader):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    response = await reader.get("/", TIMEOUT_SECONDS)
    assert response.body == b"ok"
    return loop.time() - started_at


@pytest.mark.parametrize("resets", [False, True])
def test_read_is_complete_in_time_although_all_kept_connections_are_lost(resets):
    async def run():
        async with serve() as (server, reader, _):
            server.silent_until, server.resets = server.opened, resets
            assert await measure(reader) < TIMEOUT_SECONDS / 2
            # The others that were kept are not met one by one.
            assert await measure(reader) < 0.1
            assert server.received == 6

    asyncio.run(run())


def test_server_that_is_slow_gets_each_read_once():
    async def run():
        async with serve() as (server, reader, _):
            server.delay = 0.4
            await measure(reader)
            server.received = 0
            for _ in range(3):
                await measure(reader)
            assert server.received == 3

    asyncio.run(run())


def test_server_that_answers_nothing_is_given_up_within_the_timeout():
    async def run():
        async with serve() as (server, reader, _):
            server.silent_until = 100
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            with pytest.raises(HttpFailure) as raised:
                await reader.get("/", TIMEOUT_SECONDS)
            assert raised.value.code is Code.BACKEND_TIMEOUT
            assert loop.time() - started_at < TIMEOUT_SECONDS + 0.2

    asyncio.run(run())


def test_write_that_got_no_response_is_not_repeated_but_leaves_kept_connections():
    async def run():
        async with serve() as (server, reader, client):
            server.silent_until, server.received = server.opened, 0
            with pytest.raises(HttpFailure):
                await client.request(
                    HOST, reader._port, "PUT", "/", {}, b"", TIMEOUT_SECONDS / 4
                )
            assert server.received == 1
            assert not client.keeps_connection(HOST, reader._port)

    asyncio.run(run())
