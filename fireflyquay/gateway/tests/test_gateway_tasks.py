"""Tests of background tasks that raise an exception."""

import logbook

from emulator import Emulation, run_virtual
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
            await emulation.run(3.0)
            emulation.remove("app-0")
            await emulation.run(2.0)
            return gateway.replicas.backends.accepts_requests("app-0")

    log = logbook.TestHandler()
    with log.applicationbound():
        assert not run_virtual(scenario())
    [line] = [it for it in log.records if it.message == "a task failed"]
    assert "poll_backends" in line.extra["task"]
    assert "unexpected error" in line.formatted_exception
