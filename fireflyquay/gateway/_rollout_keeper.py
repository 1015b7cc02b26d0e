"""Keeper of the store's orders of roll-outs and of their progress."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from fireflyquay.dispatch import (
    ReadProgress,
    ReserveExposure,
    RolloutAction,
    Rollouts,
    WriteStatus,
)
from fireflyquay.links import HttpFailure
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import BackendServerId, ServiceId

from ._clock import AgeClock
from ._dialect import FleetSource

LOG = logbook.Logger("rollouts")

INTERVAL_SECONDS = 0.05
# Seconds between reads of the orders by the coordinator, and after a failed read.
READ_SECONDS = 0.5
# Seconds after a failed call until the next one for the same service.
RETRY_SECONDS = 0.25


class RolloutKeeper:
    """Read orders of roll-outs, and read and write their progress and state.

    The coordinator does so for the fleet. Other VMs read the orders after a version has
    registered that is new to them.
    """

    def __init__(
        self,
        source: FleetSource,
        rollouts: Rollouts,
        count_runs: Callable[[ServiceId, float], dict[BackendServerId, int]],
        clock: AgeClock,
        coordinates: Callable[[], bool],
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._errors = errors or UnexpectedErrors()
        self._source = source
        self._rollouts = rollouts
        self._count_runs = count_runs
        self._clock = clock
        self._coordinates = coordinates
        self._calls: set[asyncio.Task[None]] = set()
        # Loop time of the last read of the orders, and of the last one that failed.
        self._read_at = float("-inf")
        self._failed_at = float("-inf")
        self._is_reading = False
        self._is_available = True

    async def keep(self) -> None:
        """Follow the orders until cancelled; without roll-outs, return at once."""
        if not self._rollouts.is_enabled:
            return
        try:
            while True:
                self._advance(asyncio.get_running_loop().time())
                await asyncio.sleep(INTERVAL_SECONDS)
        finally:
            calls = tuple(self._calls)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    def _advance(self, now: float) -> None:
        coordinates = self._coordinates()
        if not self._is_reading and self._is_read_due(coordinates, now):
            self._is_reading = True
            self._start(self._read_orders())
        if coordinates:
            for action in self._rollouts.plan(now, self._count_runs):
                self._start(self._execute(action))
        for event in self._rollouts.drain_events():
            LOG.info(event.name, extra=event.fields)

    def _is_read_due(self, coordinates: bool, now: float) -> bool:
        if now - self._failed_at < READ_SECONDS:
            return False
        is_outdated = coordinates and now - self._read_at >= READ_SECONDS
        return is_outdated or self._rollouts.has_unknown_versions

    def _start(self, call: Awaitable[None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _read_orders(self) -> None:
        loop = asyncio.get_running_loop()
        sent_at, clears = loop.time(), self._rollouts.begin_read()
        try:
            orders = await self._source.list_rollouts()
            unix_ms = self._clock.read_unix_ms()
            self._rollouts.apply_orders(orders, clears, sent_at, loop.time(), unix_ms)
            self._read_at = sent_at
            self._report(True, "")
        except HttpFailure as failure:
            self._failed_at = loop.time()
            self._report(False, failure.sentence)
        except Exception as error:
            # Without another read, a new version would be held back for good.
            self._failed_at = loop.time()
            self._errors.record("read of roll-outs", error)
        finally:
            self._is_reading = False

    async def _execute(self, action: RolloutAction) -> None:
        loop = asyncio.get_running_loop()
        retry_seconds = RETRY_SECONDS
        try:
            is_done = await self._call(action)
            self._report(True, "")
            if is_done:
                return
            # Another VM wrote first, or an operator changed the order.
            self._read_at = float("-inf")
            retry_seconds = 0.0
        except HttpFailure as failure:
            self._report(False, failure.sentence)
        except Exception as error:
            self._errors.record("roll-out", error, service=action.service)
        self._rollouts.apply_failure(action.service, loop.time(), retry_seconds)

    async def _call(self, action: RolloutAction) -> bool:
        """Make a call; return False if what it would replace has changed."""
        loop, source, rollouts = (
            asyncio.get_running_loop(),
            self._source,
            self._rollouts,
        )
        sent_at = loop.time()
        if isinstance(action, WriteStatus):
            order = await source.write_rollout_status(action.order, action.state)
            if order is not None:
                rollouts.apply_status(order)
            return order is not None
        if isinstance(action, ReadProgress):
            stored = await source.read_rollout_progress(action.service)
        else:
            assert isinstance(action, ReserveExposure)
            stored = await source.write_rollout_progress(
                action.service, action.progress, action.revision
            )
        if stored is None:
            return False
        rollouts.apply_progress(
            action.service,
            stored.record,
            stored.revision,
            stored.restore_count,
            sent_at,
            loop.time(),
        )
        return True

    def _report(self, is_available: bool, sentence: str) -> None:
        if is_available == self._is_available:
            return
        self._is_available = is_available
        if is_available:
            LOG.info("roll-outs followed again")
            return
        LOG.warning("roll-outs not followed", extra={"cause": sentence})
