"""Rejection of requests, timeouts, disconnection and shutdown of the HTTP server."""

import asyncio
import json
import socket
import time
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.links import BodyMemory, HttpLimits, HttpServer

LIMITS = HttpLimits(
    max_header_bytes=2048,
    max_body_bytes=1000,
    header_timeout=0.2,
    body_timeout=0.2,
    idle_timeout=1.0,
    write_buffer_bytes=4096,
)
SIZED_BYTES = 200_000
# Large enough that bodies of a part of it are not exempt as small ones.
BODY_MEMORY_BYTES = 60_000
LARGE_BODY_LIMITS = replace(LIMITS, max_body_bytes=40_000)


class ServerHarness:
    """Run a server whose handler depends on the path, and record what it observes."""

    def __init__(self):
        self.body_memory = BodyMemory(BODY_MEMORY_BYTES)
        self.server = HttpServer(self.handle, LIMITS, self.body_memory)
        self.client_disconnected = asyncio.Event()
        self.written_bytes = 0

    async def __aenter__(self):
        self.port = await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        await self.server.close(0)

    async def handle(self, request, responder):
        if request.lacks_body:
            await responder.send(503, {}, b"no memory")
            return
        match request.path:
            case "/fail":
                raise ValueError("handler failure for the test")
            case "/truncate":
                await responder.start(200, {})
                await responder.write(b"half")
                raise ValueError("handler failure for the test")
            case "/wait":
                await responder.disconnected.wait()
                self.client_disconnected.set()
            case "/sized":
                await responder.send(200, {}, b"x" * SIZED_BYTES)
            case "/slow":
                await asyncio.sleep(0.2)
                await responder.send(200, {}, b"slow")
            case "/large":
                await responder.start(200, {})
                while self.written_bytes < 40_000_000:
                    await responder.write(b"x" * 4000)
                    self.written_bytes += 4000
            case _:
                body = repr((request.path, request.query, request.body)).encode()
                await responder.send(200, {}, body)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, data):
        """Send bytes and return all received bytes until the server closes."""
        reader, writer = await self.connect()
        writer.write(data)
        writer.write_eof()
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.close()


def run_with_server(scenario):
    async def main():
        async with ServerHarness() as harness:
            await scenario(harness)

    asyncio.run(main())


def split_response(raw):
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


GET_REQUEST = b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n"
INVALID_REQUESTS = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n\r\n", 400),
    (b"GET http://[ HTTP/1.1\r\nhost: a\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n", 413),
    (
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %s\r\n\r\n" % (b"9" * 1900),
        400,
    ),
    (
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n",
        413,
    ),
    (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: odd\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nhost: a\r\nlong: " + b"x" * 3000, 431),
    (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf", 400),
]


@pytest.mark.parametrize("target", [b"/%ff", b"/caf%E9?a=%80", b"/%", b"/%zz"])
def test_escapes_that_are_no_utf8_make_no_request_invalid(target):
    async def scenario(harness):
        status, _ = split_response(await harness.exchange(GET_REQUEST % target))
        assert status == 200

    run_with_server(scenario)


@pytest.mark.parametrize(("data", "status"), INVALID_REQUESTS)
def test_invalid_request_is_rejected_and_the_server_keeps_serving(data, status):
    async def scenario(harness):
        received_status, body = split_response(await harness.exchange(data))
        assert received_status == status
        error = json.loads(body)
        assert error["verdict"] == "NOT_RUN"
        expected = "BODY_TOO_LARGE" if status == 413 else "BAD_REQUEST"
        assert error["code"] == expected
        assert error["sentence"]
        assert split_response(await harness.exchange(GET_REQUEST % b"/next"))[0] == 200

    run_with_server(scenario)


@given(
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.sampled_from(
                [b"\r\n", b"GET / HTTP/1.1\r\n", b"host: a\r\n", b"content-length: 3"]
            ),
        ),
        max_size=8,
    )
)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_server_keeps_serving_after_arbitrary_bytes(parts):
    async def scenario(harness):
        response = await harness.exchange(b"".join(parts))
        assert not response or response.startswith(b"HTTP/1.1 ")
        assert b" 500 " not in response.split(b"\r\n")[0]
        assert split_response(await harness.exchange(GET_REQUEST % b"/next"))[0] == 200

    run_with_server(scenario)


POST_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n"


@pytest.mark.parametrize(
    ("partial_request", "verdict"),
    [
        (b"GET / HT", "MAY_HAVE_RUN"),
        (POST_HEAD + b"\r\n", "MAY_HAVE_RUN"),
        (POST_HEAD + b"fireflyquay-send-count: 2\r\n\r\n", "MAY_HAVE_RUN"),
        (POST_HEAD + b"fireflyquay-send-count: 1\r\n\r\n", "NOT_RUN"),
    ],
)
def test_verdict_of_a_408_depends_on_the_send_count(partial_request, verdict):
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(partial_request)
        status, body = split_response(await reader.read())
        writer.close()
        assert status == 408
        assert json.loads(body)["verdict"] == verdict

    run_with_server(scenario)


def test_client_that_sends_after_a_rejection_receives_the_response():
    async def scenario(harness):
        with socket.create_connection(("127.0.0.1", harness.port)) as client:
            client.send(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n")
            for _ in range(4):
                await asyncio.sleep(0.02)
                client.send(b"x" * 500)
            assert split_response(client.recv(4096))[0] == 413

    run_with_server(scenario)


def test_pipelined_requests_are_answered_in_order():
    async def scenario(harness):
        raw = await harness.exchange(
            GET_REQUEST % b"/a%20b?x=1&y=" + GET_REQUEST % b"/two"
        )
        assert b"('/a b', {'x': '1', 'y': ''}, b'')" in raw
        assert raw.index(b"/a b") < raw.index(b"/two")

    run_with_server(scenario)


def test_head_response_has_no_body_and_expect_gets_100_continue():
    async def scenario(harness):
        raw = await harness.exchange(
            b"HEAD /x HTTP/1.1\r\nhost: a\r\n\r\n" + GET_REQUEST % b"/y"
        )
        assert raw.count(b"HTTP/1.1 200") == 2
        assert b"'/x'" not in raw
        reader, writer = await harness.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n"
            b"expect: 100-continue\r\n\r\n"
        )
        assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
        writer.write(b"ok")
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        writer.close()

    run_with_server(scenario)


def test_handler_exception_is_reported_as_may_have_run():
    async def scenario(harness):
        status, body = split_response(await harness.exchange(GET_REQUEST % b"/fail"))
        assert status == 500
        error = json.loads(body)
        assert (error["code"], error["verdict"]) == ("INTERNAL", "MAY_HAVE_RUN")

    run_with_server(scenario)


def test_response_truncated_by_an_exception_resets_the_connection():
    async def scenario(harness):
        for version in (b"1.1", b"1.0"):
            with pytest.raises(ConnectionResetError):
                reader, writer = await harness.connect()
                writer.write(b"GET /truncate HTTP/" + version + b"\r\nhost: a\r\n\r\n")
                await reader.read()
            writer.close()

    run_with_server(scenario)


@pytest.mark.parametrize("pipelined_request", [b"", GET_REQUEST % b"/pipelined"])
def test_waiting_handler_is_notified_when_the_client_disconnects(pipelined_request):
    async def scenario(harness):
        _, writer = await harness.connect()
        writer.write(GET_REQUEST % b"/wait" + pipelined_request)
        await asyncio.sleep(0.05)
        assert not harness.client_disconnected.is_set()
        writer.close()
        async with asyncio.timeout(5):
            await harness.client_disconnected.wait()

    run_with_server(scenario)


def test_handler_waits_while_the_client_does_not_read():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(GET_REQUEST % b"/large")
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.3)
        written_before = harness.written_bytes
        await asyncio.sleep(0.2)
        assert harness.written_bytes == written_before < 40_000_000
        await reader.read(1_000_000)
        writer.transport.abort()

    run_with_server(scenario)


def test_close_waits_for_an_exchange_in_progress():
    async def scenario(harness):
        idle_reader, idle_writer = await harness.connect()
        exchange = asyncio.create_task(harness.exchange(GET_REQUEST % b"/slow"))
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(harness.server.close(5))
        assert await idle_reader.read() == b""
        assert not exchange.done()
        await closing
        assert split_response(await exchange)[1] == b"slow"
        idle_writer.close()
        with pytest.raises(ConnectionRefusedError):
            await harness.connect()

    run_with_server(scenario)


@pytest.mark.parametrize("iterations", range(6))
def test_request_that_was_read_as_its_connection_closes_is_answered(iterations):
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(GET_REQUEST % b"/first")
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.write(GET_REQUEST % b"/crossing")
        for _ in range(iterations):
            await asyncio.sleep(0)
        harness.server.stop_keep_alive()
        try:
            data = await reader.read()
        except ConnectionResetError:
            # It was left unread: the client may send it elsewhere.
            return
        assert b"/crossing" in data

    run_with_server(scenario)


def test_request_that_was_read_at_the_idle_timeout_is_answered():
    async def scenario(harness):
        reader, writer = await harness.connect()
        await asyncio.sleep(0.05)
        writer.write(GET_REQUEST % b"/crossing")
        # The event loop meets the request and the timeout in one iteration.
        time.sleep(LIMITS.idle_timeout)
        assert b"/crossing" in await reader.read(4096)
        writer.close()

    run_with_server(scenario)


def test_request_that_follows_a_response_from_before_the_stop_is_answered():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(GET_REQUEST % b"/slow" + GET_REQUEST % b"/next")
        await asyncio.sleep(0.05)
        harness.server.stop_keep_alive()
        data = await reader.read()
        assert b"slow" in data
        assert b"/next" in data
        writer.close()

    run_with_server(scenario)


def test_close_waits_until_the_client_has_received_the_response():
    async def scenario(harness):
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, ("127.0.0.1", harness.port))
            await loop.sock_sendall(client, GET_REQUEST % b"/sized")
            await asyncio.sleep(0.1)
            closing = asyncio.create_task(harness.server.close(5))
            await asyncio.sleep(0.3)
            assert not closing.done()
            data = b""
            while part := await loop.sock_recv(client, 4096):
                data += part
            assert data.endswith(b"x" * SIZED_BYTES)
            await closing

    run_with_server(scenario)


def make_post(path, size, is_chunked):
    head = b"POST %s HTTP/1.1\r\nhost: a\r\n" % path
    if is_chunked:
        chunk = b"%x\r\n%s\r\n" % (size // 2, b"x" * (size // 2))
        return head + b"transfer-encoding: chunked\r\n\r\n" + 2 * chunk + b"0\r\n\r\n"
    return head + b"content-length: %d\r\n\r\n" % size + b"x" * size


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_bodies_beyond_the_memory_for_them_are_refused(is_chunked):
    async def scenario(harness):
        harness.server.set_limits(LARGE_BODY_LIMITS)
        _, writer = await harness.connect()
        writer.write(make_post(b"/wait", 40_000, is_chunked))
        await asyncio.sleep(0.05)
        assert harness.body_memory.held_bytes == 40_000
        raw = await harness.exchange(make_post(b"/second", 32_000, is_chunked))
        assert split_response(raw) == (503, b"no memory")
        assert b"connection: close" in raw
        raw = await harness.exchange(make_post(b"/third", 16_000, is_chunked))
        assert split_response(raw)[0] == 200
        # Large bodies keep no small request out.
        harness.body_memory.reserve(20_000)
        raw = await harness.exchange(make_post(b"/small", 800, is_chunked))
        assert split_response(raw)[0] == 200
        harness.body_memory.release(20_000)
        writer.close()
        await harness.client_disconnected.wait()
        await asyncio.sleep(0.05)
        assert harness.body_memory.held_bytes == 0
        raw = await harness.exchange(make_post(b"/fourth", 40_000, is_chunked))
        assert split_response(raw)[0] == 200

    run_with_server(scenario)


def test_client_that_sends_its_whole_refused_body_receives_the_response():
    async def scenario(harness):
        harness.server.set_limits(LARGE_BODY_LIMITS)
        harness.body_memory.reserve(BODY_MEMORY_BYTES)
        reader, writer = await harness.connect()
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 27000\r\n\r\n")
        # Longer than a connection lingers without input.
        for _ in range(9):
            await asyncio.sleep(0.2)
            writer.write(b"x" * 3000)
        assert split_response(await reader.read()) == (503, b"no memory")
        assert writer.transport.get_write_buffer_size() == 0
        writer.close()

    run_with_server(scenario)


def test_body_in_chunks_is_held_alone_whatever_its_size():
    async def scenario(harness):
        harness.server.set_limits(replace(LIMITS, max_body_bytes=2 * BODY_MEMORY_BYTES))
        raw = await harness.exchange(make_post(b"/", 2 * BODY_MEMORY_BYTES, True))
        assert split_response(raw)[0] == 200

    run_with_server(scenario)


def test_dead_peers_are_detected_as_before_once_a_client_reads_on():
    async def scenario(harness):
        harness.server.set_limits(replace(LIMITS, idle_timeout=9.0))
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, ("127.0.0.1", harness.port))
            await loop.sock_sendall(client, GET_REQUEST % b"/large")
            await asyncio.sleep(1.4)
            (connection,) = harness.server._connections.values()
            sock = connection._writer.get_extra_info("socket")
            option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            assert sock.getsockopt(*option) == 9000
            written_bytes = harness.written_bytes
            while harness.written_bytes < written_bytes + 100_000:
                await loop.sock_recv(client, 65536)
            assert sock.getsockopt(*option) == 3000

    run_with_server(scenario)
