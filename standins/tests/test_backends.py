import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from fireflyquay.links import HttpClient, HttpFailure, HttpLimits, SseParser
from standins.answers import compute_expected_result, compute_expected_text
from standins.engine import Engine
from standins.service import Service

MAX_TOKENS = 40


@asynccontextmanager
async def run_backend(stand_in):
    client = HttpClient(HttpLimits())
    await stand_in.start()
    try:
        yield stand_in, client
    finally:
        await client.close()
        await stand_in.close()


def run_engine(**switches):
    engine = Engine()
    engine.apply_switches({"decode_rate": 2000.0, **switches})
    return run_backend(engine)


def make_stream_request(key="order/1", prefix="", body=b"draft", prompt=400):
    return msgspec.json.encode(
        {
            "key": key,
            "attempt": 1,
            "kind": "order",
            "prompt_tokens": prompt,
            "max_tokens": MAX_TOKENS,
            "prefix_hash": prefix,
            "body": body,
        }
    )


def open_stream(client, engine, stream_request, timeout=0.5):
    return client.stream(
        engine.host, engine.port, "POST", "/v1/streams", {}, stream_request, timeout
    )


async def read_events(client, engine, stream_request):
    parser, events = SseParser(), []
    async with open_stream(client, engine, stream_request) as stream:
        assert stream.status == 200
        async for data in stream:
            events += parser.feed(data)
    return [(event.name, msgspec.json.decode(event.data)) for event in events]


def join_chunks(events):
    return "".join(data["text"] for name, data in events if name == "chunk").encode()


def test_engine_completes_concurrent_streams():
    async def main():
        async with run_engine(capacity=2) as (engine, client):
            bodies = {f"k{n}": b"%d" % n for n in range(6)}
            streams = await asyncio.gather(
                *(
                    read_events(client, engine, make_stream_request(key, body=body))
                    for key, body in bodies.items()
                )
            )
            for (key, body), events in zip(bodies.items(), streams, strict=True):
                assert events[0] == ("started", {})
                assert join_chunks(events) == compute_expected_text(
                    key, body, MAX_TOKENS
                )
                name, end = events[-1]
                assert name == "finished"
                tokens = [data["tokens"] for kind, data in events if kind == "chunk"]
                assert end == {
                    "prefill_tokens_computed": 400,
                    "output_tokens": sum(tokens),
                }
            assert engine.prefill_computed == 2400
            assert engine.prefill_wasted == 0

    asyncio.run(main())


def test_prefix_cache_reduces_prefill_within_its_token_limit():
    async def main():
        async with run_engine(cache_tokens=700) as (engine, client):
            prefixes = ["a", "a", "b", "b", "c", "a"]
            for number, prefix in enumerate(prefixes):
                await read_events(
                    client, engine, make_stream_request(f"k{number}", prefix)
                )
            computed = [run.prefill_computed for run in engine.executions]
            assert computed == [400, 80, 400, 80, 400, 400]

    asyncio.run(main())


def test_closed_connection_cancels_stream_and_counts_prefill_as_wasted():
    async def main():
        async with run_engine(decode_rate=200) as (engine, client):
            async with open_stream(client, engine, make_stream_request()) as stream:
                async for data in stream:
                    if b"chunk" in data:
                        break
            async with asyncio.timeout(5):
                while engine.executions[0].state == "RUNNING":
                    await asyncio.sleep(0.01)
            assert engine.executions[0].state == "CANCELLED"
            assert engine.prefill_wasted == 400

    asyncio.run(main())


def test_engine_crashes_on_marked_body_and_restarts():
    async def main():
        async with run_engine(crash_downtime=0.3) as (engine, client):
            with pytest.raises(HttpFailure) as caught:
                await read_events(
                    client, engine, make_stream_request(body=b"a CRASH-ENGINE b")
                )
            assert caught.value.sent
            with pytest.raises(HttpFailure) as caught:
                await read_events(client, engine, make_stream_request("k2"))
            assert not caught.value.sent
            await asyncio.sleep(0.5)
            events = await read_events(client, engine, make_stream_request("k3"))
            assert join_chunks(events) == compute_expected_text(
                "k3", b"draft", MAX_TOKENS
            )
            assert [run.key for run in engine.executions] == ["order/1", "k3"]

    asyncio.run(main())


def test_rejecting_engine_reports_not_run():
    async def main():
        async with run_engine(refuse=True) as (engine, client):
            response = await client.request(
                engine.host,
                engine.port,
                "POST",
                "/v1/streams",
                {},
                make_stream_request(),
                1.0,
            )
            assert response.status == 503
            assert msgspec.json.decode(response.body)["verdict"] == "NOT_RUN"
            assert not engine.executions

    asyncio.run(main())


def test_frozen_engine_sends_no_response():
    async def main():
        async with run_engine(frozen=True) as (engine, client):
            with pytest.raises(HttpFailure) as caught:
                await read_events(client, engine, make_stream_request())
            assert caught.value.sent
            engine.switches.frozen = False

    asyncio.run(main())


def send_service_request(client, service):
    headers = {"idempotency-key": "order/1"}
    return client.request(
        service.host, service.port, "POST", "/v1/calls/order", headers, b"draft", 1.0
    )


def test_service_executes_every_request_that_it_accepts():
    async def main():
        async with run_backend(Service()) as (service, client):
            response = await send_service_request(client, service)
            assert response.body == compute_expected_result(
                "order/1", "order", b"draft"
            )
            await send_service_request(client, service)
            assert [run.finished for run in service.executions] == [True, True]
            service.switches.refuse = True
            response = await send_service_request(client, service)
            assert (response.status, msgspec.json.decode(response.body)["verdict"]) == (
                503,
                "NOT_RUN",
            )
            assert len(service.executions) == 2

    asyncio.run(main())


def test_service_crash_interrupts_a_started_execution():
    async def main():
        async with run_backend(Service()) as (service, client):
            service.apply_switches({"crash_calls": 1, "crash_downtime": 0.1})
            with pytest.raises(HttpFailure) as caught:
                await send_service_request(client, service)
            assert caught.value.sent
            await asyncio.sleep(0.3)
            await send_service_request(client, service)
            assert [run.finished for run in service.executions] == [False, True]

    asyncio.run(main())
