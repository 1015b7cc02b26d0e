"""Tests of the guard of a stopping VM."""

import asyncio
from types import SimpleNamespace

import pytest

from fireflyquay.dispatch import RunDurations
from fireflyquay.gateway._admission import RejectionError
from fireflyquay.gateway._stop_guard import StopGuard


class FakeCall:
    """Hold what the guard reads of a call."""

    def __init__(self, seconds, is_stream=False):
        self.deadline_at = asyncio.get_running_loop().time() + seconds
        self.responder = SimpleNamespace(started=False)
        self.metadata = SimpleNamespace(prompt_tokens=0, max_output_tokens=0)
        route = SimpleNamespace(name="r", is_stream=is_stream, target_latency=0.1)
        self.admission = SimpleNamespace(route=route)


async def wait_in(guard, call, cleanup_seconds=0.0):
    """Return how a call that never gets a response ends."""
    try:
        async with guard.limit_call(call):
            try:
                await asyncio.sleep(60.0)
            finally:
                await asyncio.sleep(cleanup_seconds)
    except (TimeoutError, RejectionError) as error:
        return type(error)


def begin(guard, seconds):
    now = asyncio.get_running_loop().time()
    guard.begin(now + seconds, now)


def test_call_that_has_just_timed_out_keeps_no_other_from_an_answer():
    async def run():
        guard = StopGuard(RunDurations())
        begin(guard, 0.2)
        # The first one is still cleaning up when the time for responses ends.
        ends = await asyncio.gather(
            wait_in(guard, FakeCall(0.1), cleanup_seconds=0.3),
            wait_in(guard, FakeCall(5.0)),
        )
        assert ends == [TimeoutError, RejectionError]

    asyncio.run(run())


def test_call_whose_response_has_begun_is_not_ended_by_the_stop():
    async def run():
        guard = StopGuard(RunDurations())
        begin(guard, 0.1)
        call = FakeCall(0.4)
        call.responder.started = True
        assert await wait_in(guard, call) is TimeoutError

    asyncio.run(run())


def test_stream_that_no_run_is_known_of_is_refused_unless_its_time_limit_fits():
    async def run():
        guard = StopGuard(RunDurations())
        guard.check(FakeCall(60.0, is_stream=True), 0.0)
        begin(guard, 2.0)
        guard.check(FakeCall(1.0, is_stream=True), 0.0)
        with pytest.raises(RejectionError):
            guard.check(FakeCall(3.0, is_stream=True), 0.0)

    asyncio.run(run())


def test_plain_route_that_no_run_is_known_of_follows_the_forecast():
    async def run():
        guard = StopGuard(RunDurations())
        begin(guard, 2.0)
        guard.check(FakeCall(3.0), 0.1)
        with pytest.raises(RejectionError):
            guard.check(FakeCall(3.0), 1.0)

    asyncio.run(run())
