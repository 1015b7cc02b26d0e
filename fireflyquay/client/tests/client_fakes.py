"""Scripted HTTP client and helpers for tests that run in virtual time."""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from emulator import run_virtual
from fireflyquay import links
from fireflyquay.client import Client

LIST_TTL_SECONDS = 20.0
FIRST_ENTRY, SECOND_ENTRY = ("10.0.0.1", 80), ("10.0.0.2", 80)


class FakeHttpFailureError(Exception):
    def __init__(self, sent):
        super().__init__("scripted")
        self.sent = sent


def run(coroutine):
    return run_virtual(coroutine)


@dataclass
class Response:
    status: int = 200
    body: bytes = b""
    headers: tuple = ()
    # Chunks of a streamed body; an exception among them is raised, "hang" waits.
    chunks: tuple = ()

    async def __aiter__(self):
        for chunk in self.chunks or (self.body,):
            if chunk == "hang":
                await asyncio.sleep(3600.0)
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk


def make_answer(**fields):
    return Response(200, json.dumps({"key": "k", "verdict": "RAN", **fields}).encode())


def make_rejection(status, code, verdict, retry_after=None, headers=()):
    body = {"code": code, "verdict": verdict, "sentence": "s", "key": "k"}
    body["retry_after"] = retry_after
    return Response(status, json.dumps(body).encode(), headers)


def encode_events(*pairs):
    return b"".join(
        f"event: {name}\ndata: {json.dumps(data)}\n\n".encode() for name, data in pairs
    )


def make_token_event(index):
    return ("token", {"index": index, "text": f"t{index}"})


DONE_EVENT = ("done", {"verdict": "RAN", "key": "k"})


@dataclass
class SentRequest:
    sent_at: float
    address: tuple
    target: str
    headers: dict
    body: bytes


@dataclass
class ScriptedHttp:
    """Return one item of the script per POST; serve health checks and entry lists."""

    # Responses, exceptions to raise, or "hang" to time out.
    script: list
    addresses: tuple = (FIRST_ENTRY, SECOND_ENTRY)
    sent: list = field(default_factory=list)
    # Addresses whose health check fails.
    unresponsive: tuple = ()
    health_check_count: int = 0
    # Requests for the list of entry VMs.
    list_request_count: int = 0
    open_requests: int = 0

    async def request(self, host, port, method, target, headers, body, timeout):
        if target == "/healthz":
            self.health_check_count += 1
            if (host, port) in self.unresponsive:
                await asyncio.sleep(timeout)
                raise FakeHttpFailureError(True)
            return Response(200, b"{}")
        if target == "/v1/entries":
            return self.list_entries((host, port))
        async with self.stream(
            host, port, method, target, headers, body, timeout
        ) as response:
            return response

    @asynccontextmanager
    async def stream(self, host, port, method, target, headers, body, timeout):
        now = asyncio.get_running_loop().time()
        self.sent.append(SentRequest(now, (host, port), target, dict(headers), body))
        self.open_requests += 1
        assert self.open_requests == 1
        try:
            step = self.script.pop(0)
            if step == "hang":
                await asyncio.sleep(timeout)
                raise FakeHttpFailureError(True)
            if isinstance(step, Exception):
                raise step
            yield step
        finally:
            self.open_requests -= 1

    def list_entries(self, address):
        if address not in self.addresses:
            raise FakeHttpFailureError(False)
        self.list_request_count += 1
        entries = [{"host": host, "port": port} for host, port in self.addresses]
        body = {"entries": entries, "keep_seconds": LIST_TTL_SECONDS}
        return Response(200, json.dumps(body).encode())


def make_client(monkeypatch, http, **options):
    monkeypatch.setattr(links, "HttpFailure", FakeHttpFailureError, raising=False)
    return Client([FIRST_ENTRY], "secret", http, **options)
