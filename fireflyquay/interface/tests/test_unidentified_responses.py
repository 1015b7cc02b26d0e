"""Tests of responses that don't state the request that they belong to."""

import asyncio

from fireflyquay.world import BackendState

from .cluster import run_cluster

REFUSAL = b'{"verdict":"NOT_RUN","code":"FULL","sentence":"The queue is full."}'


class FaultyService:
    """Repeat a refusal before each later response on the same connection."""

    host = "127.0.0.1"
    port = 0

    def __init__(self):
        self.executed_bodies = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        request_count = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length:")[2].split()[0])
                self.executed_bodies.append(await reader.readexactly(length))
                request_count += 1
                if request_count > 1:
                    writer.write(encode_response(503, REFUSAL))
                writer.write(encode_response(200, b'{"done":true}'))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def encode_response(status, body):
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def test_repeated_refusal_of_a_service_refuses_no_later_request():
    async def run():
        async with run_cluster(engines=0, services=0) as cluster:
            service = FaultyService()
            await service.start()
            cluster.put_backend(service, BackendState.SERVING)
            await asyncio.sleep(1.2)
            responses = [
                await cluster.send("booking", {"pins": number}) for number in range(4)
            ]
            assert [it.status for it in responses] == [200] * 4
            assert len(service.executed_bodies) == 4
            service.close()

    asyncio.run(asyncio.wait_for(run(), 30.0))
