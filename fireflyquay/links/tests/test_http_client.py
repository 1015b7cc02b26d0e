"""Connection reuse, and reports of whether a failed request may have arrived."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from fireflyquay.links import HttpClient, HttpFailure, HttpLimits, HttpServer
from fireflyquay.world import Code

LIMITS = HttpLimits(max_body_bytes=1000)
HOST = "127.0.0.1"


async def handle(request, responder):
    if request.path == "/hang":
        await responder.disconnected.wait()
    if request.path == "/chunks":
        await responder.start(200, {})
        for number in range(5):
            await responder.write(b"%d" % number)
        await responder.finish()
        return
    await responder.send(200, {"x-method": request.method}, request.body)


@asynccontextmanager
async def serve(handler=handle):
    server, client = HttpServer(handler, HttpLimits()), HttpClient(LIMITS)
    port = await server.start(HOST, 0)
    try:
        yield client, port, server
    finally:
        await client.close()
        await server.close(0)


@asynccontextmanager
async def serve_raw(responses):
    """Serve one of the given raw responses on each connection, then close it."""
    remaining, received = list(responses), []

    async def respond(reader, writer):
        if remaining:
            received.append(await reader.read(65536))
            writer.write(remaining.pop(0))
        writer.close()

    server = await asyncio.start_server(respond, HOST, 0)
    client = HttpClient(LIMITS)
    try:
        yield client, server.sockets[0].getsockname()[1], received
    finally:
        await client.close()
        server.close()


async def post(client, port, path="/", body=b"hello", timeout=5.0):
    return await client.request(HOST, port, "POST", path, {}, body, timeout)


def test_requests_reuse_a_connection():
    async def main():
        async with serve() as (client, port, server):
            for _ in range(3):
                response = await post(client, port)
                assert (response.status, response.body) == (200, b"hello")
                assert response.headers["x-method"] == "POST"
            assert len(server._connections) == 1

    asyncio.run(main())


def test_stream_yields_chunks_and_releases_its_connection():
    async def main():
        async with serve() as (client, port, server):
            for _ in range(2):
                exchange = client.stream(HOST, port, "GET", "/chunks", {}, b"", 5.0)
                async with exchange as stream:
                    data = [chunk async for chunk in stream.chunks]
                assert b"".join(data) == b"01234"
            assert len(server._connections) == 1

    asyncio.run(main())


def test_request_is_reported_as_not_sent_if_the_connection_is_refused():
    async def main():
        async with serve() as (client, port, server):
            await server.close(0)
            with pytest.raises(HttpFailure) as caught:
                await post(client, port)
            assert not caught.value.sent

    asyncio.run(main())


def test_stale_connection_is_replaced():
    async def main():
        async with serve() as (client, port, server):
            await post(client, port)
            await server.close(0)
            restarted = HttpServer(handle, HttpLimits())
            await restarted.start(HOST, port)
            assert (await post(client, port)).body == b"hello"
            await restarted.close(0)

    asyncio.run(main())


def test_connection_closed_by_the_peer_is_detected_before_the_event_loop_runs():
    async def main():
        loop, client = asyncio.get_running_loop(), HttpClient(LIMITS)
        with socket.create_server((HOST, 0)) as listener:
            listener.setblocking(False)
            port = listener.getsockname()[1]
            for _ in range(3):
                post_task = asyncio.create_task(post(client, port))
                async with asyncio.timeout(5):
                    peer, _ = await loop.sock_accept(listener)
                await loop.sock_recv(peer, 65536)
                peer.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                assert (await post_task).body == b"ok"
                peer.close()
        await client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "response",
    [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", b"junk\r\n\r\n"],
)
def test_request_is_reported_as_sent_and_not_retried_if_the_response_is_lost(response):
    async def main():
        async with serve_raw([response, b"HTTP/1.1 200 OK\r\n\r\n"]) as raw:
            client, port, received = raw
            with pytest.raises(HttpFailure) as caught:
                await post(client, port)
            assert caught.value.sent
            assert len(received) == 1

    asyncio.run(main())


def test_unexpected_bytes_are_not_read_as_the_next_response():
    async def handler(reader, writer):
        await reader.read(65536)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine")
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")
        await reader.read()
        writer.close()

    async def main():
        server = await asyncio.start_server(handler, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(LIMITS)
        for _ in range(3):
            assert (await post(client, port)).body == b"mine"
            await asyncio.sleep(0.1)
        await client.close()
        server.close()

    asyncio.run(main())


def test_request_is_reported_as_sent_if_the_response_times_out():
    async def main():
        async with serve() as (client, port, _):
            with pytest.raises(HttpFailure) as caught:
                await post(client, port, "/hang", timeout=0.1)
            assert caught.value.sent
            assert caught.value.code is Code.BACKEND_TIMEOUT

    asyncio.run(main())


def test_response_above_the_size_limit_is_rejected():
    async def main():
        async with serve() as (client, port, _):
            with pytest.raises(HttpFailure) as caught:
                await post(client, port, body=b"x" * 1001)
            assert caught.value.code is Code.BODY_TOO_LARGE

    asyncio.run(main())


@pytest.mark.parametrize("target", ["/a b", "/\r\nx: y", "/ü"])
def test_invalid_target_is_rejected_before_sending(target):
    with pytest.raises(HttpFailure) as caught:
        HttpClient(LIMITS).stream(HOST, 1, "GET", target, {}, b"", 1.0)
    assert not caught.value.sent


@pytest.mark.parametrize(
    "address", [("a..b", 80), ("x" * 64, 80), ("\x00", 80), (HOST, 70000), (HOST, -1)]
)
def test_address_that_is_none_fails_the_request_as_not_sent(address):
    async def scenario():
        client = HttpClient(LIMITS)
        assert not await client.can_connect(address, 1.0)
        with pytest.raises(HttpFailure) as failure:
            async with client.forward(address, "GET", "/", [("Host", "h")], b"", 1.0):
                pass
        assert not failure.value.sent
        await client.close()

    asyncio.run(scenario())
