"""Carries out runs on backend servers and reports how they went."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import logbook

from fireflyquay.decisions import (
    Dispatch,
    FailureKind,
    Node,
    Resume,
    RunReport,
)
from fireflyquay.links import (
    BackendAdapter,
    BackendEvent,
    BackendFailure,
    RunChunk,
    RunFinished,
)
from fireflyquay.world import BackendKind, Code, ExchangeId, Verdict

from ._answer import Answer
from ._meter import Meter

_log = logbook.Logger("runner")

STALL_TIMEOUT_S = 10.0
RESUME_DELAY_S = 0.5


class Runner:
    """Run each dispatch as a task that feeds the exchange's answer."""

    def __init__(
        self,
        node: Node,
        adapters: dict[BackendKind, BackendAdapter],
        meter: Meter,
        act: asyncio.Event,
    ) -> None:
        self._node = node
        self._adapters = adapters
        self._meter = meter
        # Set when the node has new actions.
        self._act = act
        self._tasks: dict[ExchangeId, asyncio.Task[None]] = {}
        self._resumes: dict[ExchangeId, int] = {}
        # Runs whose callers are gone for good.
        self._unwanted: set[ExchangeId] = set()

    def start(self, action: Dispatch | Resume, answer: Answer) -> None:
        """Start or resume a run."""
        exchange = action.request.exchange
        task = asyncio.get_running_loop().create_task(self._run(action, answer))
        self._tasks[exchange] = task
        task.add_done_callback(lambda done: self._forget(exchange, done))

    def cancel(self, exchange: ExchangeId) -> None:
        """Stop a run here and on its backend server."""
        task = self._tasks.get(exchange)
        if task is not None:
            self._unwanted.add(exchange)
            task.cancel()

    async def close(self) -> None:
        """Stop reading all runs; backend servers keep their streams."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, exchange: ExchangeId, task: asyncio.Task[None]) -> None:
        if self._tasks.get(exchange) is task:
            del self._tasks[exchange]

    async def _run(self, action: Dispatch | Resume, answer: Answer) -> None:
        exchange = action.request.exchange
        loop = asyncio.get_running_loop()
        try:
            await self._follow(action, answer)
        except asyncio.CancelledError:
            if exchange in self._unwanted:
                self._unwanted.discard(exchange)
                await self._cancel_backend(action)
            raise
        except TimeoutError:
            self._fail(loop.time(), exchange, FailureKind.STALLED, answer)
        except BackendFailure as failure:
            kind = _classify(action, failure)
            self._fail(loop.time(), exchange, kind, answer)
        except Exception:
            # Without its report the exchange would never end.
            _log.exception("The run of {} failed.", action.request.key)
            self._fail(loop.time(), exchange, FailureKind.LOST, answer)

    async def _follow(self, action: Dispatch | Resume, answer: Answer) -> None:
        loop = asyncio.get_running_loop()
        exchange = action.request.exchange
        is_engine = action.backend.kind is BackendKind.MODEL_ENGINE
        # A plain service is silent until its whole answer; its adapter sets a bound.
        silence = STALL_TIMEOUT_S if is_engine else None
        events = await self._open(action, answer)
        while True:
            async with asyncio.timeout(silence):
                event = await anext(events, None)
            if event is None:
                raise BackendFailure(
                    Code.STREAM_LOST, Verdict.MAY_HAVE_RUN, "The stream ended early."
                )
            if isinstance(event, RunChunk):
                self._node.note_first_token(loop.time(), exchange)
                self._meter.note_chunk(loop.time(), action.request)
                await answer.append(event)
            if isinstance(event, RunFinished):
                self._finish(loop.time(), action, event, answer)
                return

    async def _open(
        self, action: Dispatch | Resume, answer: Answer
    ) -> AsyncIterator[BackendEvent]:
        adapter = self._adapters[action.backend.kind]
        exchange = action.request.exchange
        if isinstance(action, Dispatch):
            self._resumes.pop(exchange, None)
            return aiter(adapter.run(action.request, action.backend))
        earlier = self._resumes.get(exchange, 0)
        self._resumes[exchange] = earlier + 1
        await asyncio.sleep(RESUME_DELAY_S * earlier)
        start = len(answer.chunks)
        return aiter(adapter.resume(action.request, action.backend, start))

    def _finish(
        self,
        now: float,
        action: Dispatch | Resume,
        event: RunFinished,
        answer: Answer,
    ) -> None:
        exchange = action.request.exchange
        self._resumes.pop(exchange, None)
        report = RunReport(event.prefill_tokens_computed, event.output_tokens)
        self._meter.note_finished(now, action.request, event)
        self._node.note_finished(now, exchange, report)
        answer.finish(event)
        self._act.set()

    def _fail(
        self, now: float, exchange: ExchangeId, kind: FailureKind, answer: Answer
    ) -> None:
        self._node.note_failed(now, exchange, kind, bool(answer.chunks))
        self._act.set()

    async def _cancel_backend(self, action: Dispatch | Resume) -> None:
        adapter = self._adapters[action.backend.kind]
        try:
            await adapter.cancel(
                action.request.key, action.backend, action.request.attempt
            )
        except BackendFailure:
            return


def _classify(action: Dispatch | Resume, failure: BackendFailure) -> FailureKind:
    if failure.verdict is Verdict.NOT_RUN:
        return FailureKind.NOT_STARTED
    if isinstance(action, Resume) and failure.code is Code.NOT_FOUND:
        return FailureKind.UNKNOWN_STREAM
    return FailureKind.LOST
