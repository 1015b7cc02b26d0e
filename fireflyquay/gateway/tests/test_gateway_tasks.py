"""Tests of background tasks that raise an exception."""

import logbook

from emulator import Stage, run_virtual
from proofs import make_site


def test_failed_task_is_logged_and_restarted():
    async def scenario():
        async with Stage(make_site(vms=1), seed=1) as stage:
            [gateway] = stage.gateways.values()
            source = gateway.replicas._source
            read = source.list_backends

            async def fail():
                source.list_backends = read
                raise ValueError("unexpected error")

            source.list_backends = fail
            await stage.run(3.0)
            stage.remove("app-0")
            await stage.run(2.0)
            return gateway.replicas.backends.accepts_requests("app-0")

    log = logbook.TestHandler()
    with log.applicationbound():
        assert not run_virtual(scenario())
    [line] = [it for it in log.records if it.message == "a task failed"]
    assert "poll_backends" in line.extra["task"]
    assert "unexpected error" in line.formatted_exception
