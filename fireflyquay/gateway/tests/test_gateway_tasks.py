"""Tests of tasks that raise an exception."""

import asyncio
import gc

import logbook

from emulator import Emulation, run_virtual
from fireflyquay.gateway._ingress import Ingress
from fireflyquay.links import CallerDisconnectedError
from proofs import make_site


def test_failed_task_is_logged_and_restarted():
    async def scenario():
        async with Emulation(make_site(vms=1), seed=1) as emulation:
            [gateway] = emulation.gateways.values()
            source = gateway.replicas._source
            read = source.list_backends

            async def fail():
                source.list_backends = read
                raise ValueError("unexpected error")

            source.list_backends = fail
            emulation.fails_on_errors = False
            await emulation.run(3.0)
            emulation.remove("app-0")
            await emulation.run(2.0)
            assert len(emulation.history.unexpected_errors) == 1
            return gateway.replicas.backends.accepts_requests("app-0")

    log = logbook.TestHandler()
    with log.applicationbound():
        assert not run_virtual(scenario())
    [line] = [it for it in log.records if it.message == "a task failed"]
    assert "poll_backends" in line.extra["task"]
    assert "unexpected error" in line.formatted_exception


class _Responder:
    def __init__(self):
        self.disconnected = asyncio.Event()


def test_failure_of_a_request_that_ends_with_its_gateway_is_not_reported_as_lost(
    monkeypatch,
):
    async def fail(self, request, responder):
        raise CallerDisconnectedError

    async def scenario():
        unretrieved = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: unretrieved.append(context["message"])
        )
        ingress = Ingress.__new__(Ingress)
        ingress.in_progress = 0
        task = asyncio.ensure_future(ingress.handle(None, _Responder()))
        # The request has failed, and its handler has not seen it yet.
        for _ in range(2):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del task
        gc.collect()
        assert ingress.in_progress == 0
        return unretrieved

    monkeypatch.setattr(Ingress, "_serve", fail)
    assert asyncio.run(scenario()) == []
