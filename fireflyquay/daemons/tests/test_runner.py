import asyncio
from types import SimpleNamespace

import pytest

from fireflyquay.daemons import _runner
from fireflyquay.daemons._answer import Answer
from fireflyquay.daemons._meter import Meter
from fireflyquay.daemons._runner import Runner
from fireflyquay.decisions import (
    Dispatch,
    FailureKind,
)
from fireflyquay.links import BackendFailure, Metrics
from fireflyquay.world import BackendKind, Code, Verdict


class FakeNode:
    def __init__(self):
        self.failures = []

    def note_failed(self, now, exchange, kind, has_streamed):
        self.failures.append((exchange, kind, has_streamed))


class FaultyAdapter:
    async def run(self, request, backend):
        raise ZeroDivisionError
        yield


def run_once(adapter, kind):
    async def work():
        node = FakeNode()
        runner = Runner(node, {kind: adapter}, Meter(Metrics()), asyncio.Event())
        request = SimpleNamespace(exchange=7, key="k", attempt=1)
        backend = SimpleNamespace(kind=kind)
        runner.start(Dispatch(request, backend), Answer(lambda: None))
        while not node.failures:
            await asyncio.sleep(0.001)
        await runner.close()
        return node.failures

    return asyncio.run(work())


class SlowAdapter:
    async def run(self, request, backend):
        await asyncio.sleep(0.05)
        raise BackendFailure(Code.BACKEND_FAILED, Verdict.NOT_RUN, "Refused.")
        yield


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (BackendKind.MODEL_ENGINE, FailureKind.STALLED),
        (BackendKind.PLAIN_SERVICE, FailureKind.NOT_STARTED),
    ],
)
def test_only_engines_are_stalled_when_silent(kind, expected, monkeypatch):
    monkeypatch.setattr(_runner, "STALL_TIMEOUT_S", 0.01)
    assert run_once(SlowAdapter(), kind) == [(7, expected, False)]


def test_a_fault_of_an_adapter_ends_the_run():
    failures = run_once(FaultyAdapter(), BackendKind.MODEL_ENGINE)
    assert failures == [(7, FailureKind.LOST, False)]
