"""Guard of a stopping VM, which passes on only what can be completed."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import logbook

from fireflyquay.dispatch import RunDurations
from fireflyquay.world import Code

from ._admission import RejectionError
from ._call import Call

LOG = logbook.Logger("requests")

# By how much a run may take longer than forecast: a factor, and seconds for connecting
# and for sending the response.
DURATION_MARGIN_FACTOR = 1.05
DURATION_MARGIN_SECONDS = 0.1
# Duration of a plain run of a route of which no run is known: a multiple of its target
# latency, and of what the coordinator forecasts.
UNKNOWN_DURATION_TARGET_FACTOR = 4.0
UNKNOWN_DURATION_FORECAST_FACTOR = 2.0
# Connecting within a zone takes less.
MIN_CONNECT_TIMEOUT_SECONDS = 0.05
# Retry-After once this VM accepts no connections, so that clients use others.
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _Stop:
    """Hold the loop times that bound what a stopping VM does."""

    # Until then, responses must have begun.
    responds_until: float
    # Until then, clients may connect to this VM.
    accepts_until: float


class StopGuard:
    """Refuse calls in time that can't be completed before this VM ends.

    A call is passed on to a backend server only if the response can still come back,
    as far as the durations of earlier runs tell. One that waits is refused once it is
    too late for that, and one that gets no response is answered before the VM ends.
    """

    def __init__(self, durations: RunDurations) -> None:
        self._durations = durations
        self._stop: _Stop | None = None
        # Timeouts of the calls in progress, and of those that wait to be passed on.
        self._timeouts: dict[Call, asyncio.Timeout] = {}
        self._waits: dict[Call, asyncio.Timeout] = {}

    def begin(self, responds_until: float, accepts_until: float) -> None:
        """Guard all calls in progress, and later ones, from now on."""
        self._stop = _Stop(responds_until, accepts_until)
        for call, wait in self._waits.items():
            wait.reschedule(self._find_latest_start(call))
        loop = asyncio.get_running_loop()
        loop.call_at(responds_until, self._end_unanswered_calls)
        LOG.info(
            "requests bounded by the stop",
            extra={"in_progress": len(self._timeouts), "waiting": len(self._waits)},
        )

    @asynccontextmanager
    async def limit_call(self, call: Call) -> AsyncIterator[None]:
        """Bound a call by its deadline, and until its response begins by the stop.

        Raises TimeoutError at the deadline, and RejectionError because of the stop.
        """
        timeout = asyncio.timeout_at(call.deadline_at)
        self._timeouts[call] = timeout
        try:
            async with timeout:
                yield
        except TimeoutError:
            now = asyncio.get_running_loop().time()
            if not timeout.expired() or now >= call.deadline_at:
                raise
            raise self._make_rejection("no response has come") from None
        finally:
            del self._timeouts[call]

    @asynccontextmanager
    async def limit_wait(self, call: Call) -> AsyncIterator[None]:
        """Bound a wait after which a call is to be passed on."""
        wait = asyncio.timeout_at(self._find_latest_start(call))
        self._waits[call] = wait
        try:
            async with wait:
                yield
        except TimeoutError:
            if not wait.expired():
                raise
            raise self._make_rejection("a response could not come back") from None
        finally:
            del self._waits[call]

    def check(self, call: Call, forecast_seconds: float) -> None:
        """Raise RejectionError if a call can't be completed if it is passed on now.

        ``forecast_seconds`` is the coordinator's forecast to the first output.
        """
        latest_start = self._find_latest_start(call, forecast_seconds)
        if latest_start is not None:
            now = asyncio.get_running_loop().time()
            if now > latest_start:
                raise self._make_rejection("a response could not come back")

    def compute_connect_timeout(self, call: Call) -> float | None:
        """Return the seconds until it is too late to send a call; None if unlimited."""
        latest_start = self._find_latest_start(call)
        if latest_start is None:
            return None
        seconds = latest_start - asyncio.get_running_loop().time()
        return max(MIN_CONNECT_TIMEOUT_SECONDS, seconds)

    def record_run(self, call: Call, seconds: float) -> None:
        """Record how long the whole response to a call took."""
        metadata = call.metadata
        self._durations.record(
            call.admission.route.name,
            metadata.prompt_tokens,
            metadata.max_output_tokens,
            seconds,
        )

    def _find_latest_start(
        self, call: Call, forecast_seconds: float = 0.0
    ) -> float | None:
        """Return the loop time until which a call may be passed on; None if any."""
        if self._stop is None:
            return None
        until = self._stop.responds_until
        if call.deadline_at <= until:
            return None
        seconds = self._forecast_run(call, forecast_seconds)
        return until - seconds * DURATION_MARGIN_FACTOR - DURATION_MARGIN_SECONDS

    def _forecast_run(self, call: Call, forecast_seconds: float) -> float:
        route, metadata = call.admission.route, call.metadata
        seconds = self._durations.forecast(
            route.name, metadata.prompt_tokens, metadata.max_output_tokens
        )
        if seconds is not None:
            return seconds
        if route.is_stream:
            return math.inf
        return max(
            UNKNOWN_DURATION_TARGET_FACTOR * route.target_latency,
            UNKNOWN_DURATION_FORECAST_FACTOR * forecast_seconds,
        )

    def _end_unanswered_calls(self) -> None:
        now = asyncio.get_running_loop().time()
        for call, timeout in list(self._timeouts.items()):
            # One that has just expired can't be rescheduled.
            if not call.responder.started and not timeout.expired():
                timeout.reschedule(now)

    def _make_rejection(self, reason: str) -> RejectionError:
        assert self._stop is not None
        now = asyncio.get_running_loop().time()
        return RejectionError(
            Code.STOPPING,
            f"The VM stops, and {reason}.",
            max(MIN_RETRY_AFTER_SECONDS, self._stop.accepts_until - now),
        )
