import asyncio
from dataclasses import replace

import msgspec
import pytest

from fireflyquay.contracts import (
    CONTRACT_CODEC,
    StoredValue,
    StoreFailed,
    StoreList,
    StoreListing,
    StoreWatch,
)
from fireflyquay.daemons._entry import EntryDaemon
from fireflyquay.daemons._settings import parse_settings
from fireflyquay.links import HttpClient, HttpLimits
from fireflyquay.world import Contract, ContractRecord, Limits, Tier

HOST = "127.0.0.1"
OPERATOR = "operator-token"
SETTINGS = """
[node]
host = "127.0.0.1"
http_port = 0
peer_port = 0
zone = "tallinn-a"
region = "ee-north"
operator_token = "operator-token"
[platform]
host = "127.0.0.1"
port = 1
[[kinds]]
name = "label"
pool = "drafting"
"""


def store_contract(customer, version, share=1.0):
    limits = Limits(10.0, 1e5, 5)
    contract = Contract(
        customer, f"{customer}-token", {"label": Tier.URGENT}, limits, share
    )
    value = CONTRACT_CODEC.encode(ContractRecord(contract, version))
    return StoredValue(f"contracts/{customer}", value, version, version)


class OneShotStore:
    """Answer listings with one contract, and nothing afterwards."""

    async def call(self, call, timeout):
        if isinstance(call, StoreWatch):
            await asyncio.sleep(3600)
        if not isinstance(call, StoreList):
            return StoreFailed(call.path, False)
        values = [store_contract("treipuu", 1)]
        found = tuple(v for v in values if v.path.startswith(call.prefix))
        return StoreListing(found, 1)


class NoVms:
    async def list(self):
        return ()


class Caller:
    def __init__(self, port):
        self.port = port
        self.http = HttpClient(HttpLimits())

    async def ask(self, method, target, token="", body=b"", **headers):
        if token:
            headers["authorization"] = f"Bearer {token}"
        reply = await self.http.request(
            HOST, self.port, method, target, headers, body, 5.0
        )
        return reply.status, reply.body

    async def notify(self, stored, token=OPERATOR):
        body = msgspec.json.encode(stored)
        return (await self.ask("POST", "/v1/notice", token, body))[0]

    async def read_versions(self):
        _, body = await self.ask("GET", "/v1/status", OPERATOR)
        return msgspec.json.decode(body)["contracts"]


def with_daemon(scenario):
    async def run():
        settings, faults = parse_settings(SETTINGS)
        assert not faults
        daemon = EntryDaemon(settings, OneShotStore(), NoVms())
        await daemon.start()
        caller = Caller(daemon.http_port)
        try:
            async with asyncio.timeout(20):
                while (await caller.ask("GET", "/readyz"))[0] != 200:
                    await asyncio.sleep(0.05)
                await scenario(caller)
            assert not daemon.failed.is_set()
        finally:
            await caller.http.close()
            await daemon.stop()

    asyncio.run(run())


def test_notice_is_put_in_force_and_never_reverts():
    async def scenario(caller):
        assert await caller.notify(store_contract("brolga", 3)) == 200
        assert await caller.notify(store_contract("brolga", 2)) == 200
        assert await caller.read_versions() == {"treipuu": 1, "brolga": 3}
        assert await caller.notify(store_contract("brolga", 4), "brolga-token") == 401
        broken = replace(store_contract("brolga", 9), value=b"{")
        assert await caller.notify(broken) == 200
        assert await caller.notify({"path": 1}) == 400
        assert await caller.read_versions() == {"treipuu": 1, "brolga": 3}

    with_daemon(scenario)


def test_operators_pages_need_their_token_and_show_no_secrets():
    async def scenario(caller):
        for token in ("", "treipuu-token", "wrong"):
            assert (await caller.ask("GET", "/v1/status", token))[0] == 401
        status, body = await caller.ask("GET", "/v1/status", OPERATOR)
        assert status == 200
        assert b"token" not in body
        assert (await caller.ask("GET", "/v1/trace/k"))[0] == 401

    with_daemon(scenario)


def test_trace_is_shown_to_operators_and_to_its_own_customer():
    async def scenario(caller):
        await caller.notify(store_contract("brolga", 1))
        body = b'{"prompt": "p"}'
        headers = {"idempotency-key": "order-17", "fireflyquay-send-count": "1"}
        # Without a backend server the request waits or is refused; both leave a trace.
        sending = asyncio.ensure_future(
            caller.ask("POST", "/v1/requests/label", "treipuu-token", body, **headers)
        )
        await asyncio.sleep(0.5)
        counts = {}
        for token in ("treipuu-token", "brolga-token", OPERATOR):
            for key in ("order-17", "treipuu%2Forder-17"):
                _, found = await caller.ask("GET", f"/v1/trace/{key}", token)
                counts[token, key] = len(msgspec.json.decode(found))
        sending.cancel()
        assert counts["treipuu-token", "order-17"] > 0
        assert counts[OPERATOR, "order-17"] == counts["treipuu-token", "order-17"]
        assert counts[OPERATOR, "treipuu%2Forder-17"] == counts[OPERATOR, "order-17"]
        assert counts["brolga-token", "order-17"] == 0
        assert counts["brolga-token", "treipuu%2Forder-17"] == 0

    with_daemon(scenario)


@pytest.mark.parametrize(
    ("body", "headers", "code"),
    [
        (b"{", {}, "BAD_REQUEST"),
        (b"[1]", {}, "BAD_REQUEST"),
        (b'{"prompt": 1}', {}, "BAD_REQUEST"),
        (b'{"prompt": "\xff"}', {}, "BAD_REQUEST"),
        (b"[" * 100_000, {}, "BAD_REQUEST"),
        (b'{"max_tokens": -1}', {}, "BAD_REQUEST"),
        (b'{"max_tokens": 1e400}', {}, "BAD_REQUEST"),
        (b"{}", {"idempotency-key": "fq1.x"}, "BAD_KEY"),
        (b"{}", {"idempotency-key": "k" * 201}, "BAD_KEY"),
        (b"{}", {"fireflyquay-attempt": "-1"}, "BAD_REQUEST"),
        (b"{}", {"fireflyquay-send-count": "9" * 400}, "BAD_REQUEST"),
        (b"x" * (1 << 20) + b"x", {}, "BODY_TOO_LARGE"),
    ],
)
def test_bad_requests_get_a_code_and_not_run(body, headers, code):
    async def scenario(caller):
        status, answer = await caller.ask(
            "POST", "/v1/requests/label", "treipuu-token", body, **headers
        )
        refusal = msgspec.json.decode(answer)
        assert 400 <= status < 500
        assert (refusal["code"], refusal["verdict"]) == (code, "NOT_RUN")

    with_daemon(scenario)


@pytest.mark.parametrize(
    "blob",
    [
        b"\x16\x03\x01\x02\x00\x01\x00\x01",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET /v1/trace/%ff%00 HTTP/1.1\r\nhost: a\r\n"
        b"authorization: Bearer \xff\r\n\r\n",
        b"POST /v1/requests/label HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
        b"POST /v1/requests/%2e%2e HTTP/1.1\r\nhost: a\r\n"
        b"transfer-encoding: chunked\r\n\r\nzz\r\n",
        b"GET /" + b"a" * 70_000,
        b"\n" * 1000,
    ],
)
def test_bytes_that_are_no_request_leave_the_daemon_serving(blob):
    async def scenario(caller):
        reader, writer = await asyncio.open_connection(HOST, caller.port)
        writer.write(blob)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        assert not answer or answer.startswith(b"HTTP/1.1 4")
        assert (await caller.ask("GET", "/healthz"))[0] == 200

    with_daemon(scenario)
