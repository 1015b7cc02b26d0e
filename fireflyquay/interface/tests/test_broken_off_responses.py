"""Tests that a response that broke off is not passed on as a whole one."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from fireflyquay.links import encode_sse
from fireflyquay.world import BackendState
from standins import wait_until
from standins.engine import Engine
from standins.service import Service

from .cluster import run_cluster

STARTED = encode_sse("started", b"{}")
CHUNK = encode_sse("chunk", b'{"index":0,"text":"oak","tokens":1}')
FINISHED = encode_sse("finished", b'{"prefill_tokens_computed":1,"output_tokens":1}')
JSON = "content-type: application/json\r\n"


@asynccontextmanager
async def run_raw_backend(cluster, stand_in, headers, body):
    """Replace a stand-in by a server whose responses end with their connection."""

    async def respond(reader, writer):
        if await reader.read(65536):
            writer.write(f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode() + body)
        writer.close()

    server = await asyncio.start_server(respond, stand_in.host, 0)
    stand_in.port = server.sockets[0].getsockname()[1]
    cluster.put_backend(stand_in, BackendState.SERVING)
    try:
        await wait_until(lambda: cluster.entries[0].get_status().backends)
        yield
    finally:
        server.close()


def run_scenario(scenario):
    async def run():
        async with run_cluster(engines=0, services=0) as cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 30.0))


@pytest.mark.parametrize("is_stream", [True, False])
@pytest.mark.parametrize(
    "body",
    [
        b"",
        STARTED,
        STARTED + CHUNK,
        STARTED + CHUNK + CHUNK[:-1],
        STARTED + CHUNK + FINISHED[:-1],
        STARTED + CHUNK + FINISHED + CHUNK[:10],
    ],
)
def test_engine_stream_that_broke_off_is_not_ended_as_complete(body, is_stream):
    async def scenario(cluster):
        async with run_raw_backend(cluster, Engine(), "", body):
            response = await cluster.send("work-order", is_stream=is_stream)
            if response.status == 200:
                name, data = response.events[-1]
                assert (name, data["verdict"]) == ("failed", "MAY_HAVE_RUN")
            else:
                assert response.body["verdict"] == "MAY_HAVE_RUN"

    run_scenario(scenario)


@pytest.mark.parametrize("body", [b"", b'{"pins":', b'{"pins":3', b'"oa', b"[1,2"])
def test_service_json_that_broke_off_is_not_returned_as_output(body):
    async def scenario(cluster):
        async with run_raw_backend(cluster, Service(), JSON, body):
            response = await cluster.send("booking", {"pins": 3})
            assert response.status == 502
            assert response.body["verdict"] == "MAY_HAVE_RUN"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("headers", "body", "output"),
    [
        (JSON, b'{"pins":3}', {"pins": 3}),
        ("", b'{"pins":3}', {"pins": 3}),
        ("content-type: text/plain\r\n", b"booked", "booked"),
    ],
)
def test_whole_service_response_without_framing_is_returned(headers, body, output):
    async def scenario(cluster):
        async with run_raw_backend(cluster, Service(), headers, body):
            response = await cluster.send("booking", {"pins": 3})
            assert (response.status, response.body["output"]) == (200, output)

    run_scenario(scenario)


def test_whole_engine_stream_without_framing_is_returned():
    async def scenario(cluster):
        async with run_raw_backend(cluster, Engine(), "", STARTED + CHUNK + FINISHED):
            response = await cluster.send("work-order")
            assert (response.status, response.body["output"]) == (200, "oak")

    run_scenario(scenario)
