"""A client connection that is lost while a response waits for the client to read."""

from __future__ import annotations

import asyncio
import errno

import pytest

from fireflyquay.links import (
    CallerDisconnectedError,
    ConnectionGuard,
    HttpLimits,
    HttpServer,
    _graceful_close,
    abort_connection,
)
from fireflyquay.links._sockets import (
    enable_dead_peer_detection,
    is_window_closed,
    tolerate_closed_window,
)

HOST = "127.0.0.1"
STALL_SECONDS = 0.05
# More than the kernel keeps for a client that reads nothing.
BODY = b"x" * 20_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def lose(error):
    """Return a function that loses a connection as the event loop does."""

    def report_loss(writer):
        writer.transport.get_protocol().connection_lost(error)
        abort_connection(writer)

    return report_loss


# An abort reports no error. That of an unreachable host is no ConnectionError.
LOSSES = {
    "aborted": abort_connection,
    "reset": lose(ConnectionResetError(errno.ECONNRESET, "reset")),
    "timed out": lose(TimeoutError(errno.ETIMEDOUT, "timed out")),
    "host unreachable": lose(OSError(errno.EHOSTUNREACH, "unreachable")),
}


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("has_stalled", [False, True])
def test_lost_connection_is_a_disconnect_of_the_client(loss, has_stalled, monkeypatch):
    monkeypatch.setattr(_graceful_close, "STALL_SECONDS", STALL_SECONDS)

    async def run():
        guard = ConnectionGuard()
        raised = asyncio.get_running_loop().create_future()

        async def handle(request, responder):
            try:
                await responder.send(200, {}, BODY)
            except Exception as error:
                raised.set_result(error)
                raise

        server = HttpServer(handle, HttpLimits(), guard=guard)
        port = await server.start(HOST, 0)
        _, client = await asyncio.open_connection(HOST, port, limit=1)
        client.transport.pause_reading()
        client.write(REQUEST)
        await asyncio.sleep(STALL_SECONDS * (4 if has_stalled else 0.5))
        [connection] = guard._connections.values()
        LOSSES[loss](connection.writer)
        assert isinstance(await raised, CallerDisconnectedError)
        await server.close(0)
        client.close()
        assert guard.errors.count == 0

    asyncio.run(asyncio.wait_for(run(), 10))


def test_options_of_a_closed_connection_are_left_alone():
    async def run():
        server = await asyncio.start_server(lambda *_: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        abort_connection(writer)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert writer.get_extra_info("socket").fileno() < 0
        enable_dead_peer_detection(writer)
        tolerate_closed_window(writer, 1.0)
        assert not is_window_closed(writer)
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10))
