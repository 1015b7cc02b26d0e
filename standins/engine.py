"""Stand-in of a model engine with continuous batching."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from fireflyquay.links import (
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
    encode_sse,
)

from ._base import SWITCH_POLL_SECONDS, ErrorBody, StandIn, run_main, send_json
from ._batch import Batch, EngineSwitches, StreamRequest
from ._engine_stream import EngineStream, Execution, StreamState, count_wasted_prefill

STEP_SECONDS = 0.01


class Engine(StandIn):
    """Serve streams at /v1/streams; cancel a stream when its client disconnects."""

    def __init__(self) -> None:
        super().__init__(EngineSwitches())
        # All runs since the start, including those before a crash.
        self.executions: list[Execution] = []
        self._batch = Batch(self.switches)
        self._step_task: asyncio.Task[None] | None = None

    @property
    def prefill_computed(self) -> int:
        """Return the number of prompt tokens computed in all runs."""
        return sum(run.prefill_computed for run in self.executions)

    @property
    def prefill_wasted(self) -> int:
        """Return the number of prompt tokens whose computation was wasted."""
        return count_wasted_prefill(self.executions)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start the batch, start listening and return the port."""
        self._step_task = asyncio.create_task(self._run_batch())
        return await super().start(host, port)

    async def close(self) -> None:
        """Close all connections and stop."""
        if self._step_task is not None:
            self._step_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._step_task
        await super().close()

    def discard_state(self) -> None:
        """Discard streams and cache, and stop the batch."""
        self._batch.abort_streams()
        self._batch = Batch(self.switches)
        if self._step_task is not None:
            self._step_task.cancel()

    async def handle_control(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Serve a control request, with a path below /standin/."""
        if request.path != "/standin/executions":
            await super().handle_control(request, responder)
            return
        report = {
            "executions": self.executions,
            "prefill_computed": self.prefill_computed,
            "prefill_wasted": self.prefill_wasted,
        }
        await send_json(responder, 200, report)

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Serve a request for a new stream."""
        while self.switches.frozen:
            await asyncio.sleep(SWITCH_POLL_SECONDS)
        if request.method != "POST" or request.path != "/v1/streams":
            await _send_error(
                responder, 404, "Unknown method or path; expected POST /v1/streams."
            )
            return
        try:
            stream_request = msgspec.json.decode(request.body, type=StreamRequest)
        except msgspec.DecodeError as error:
            await _send_error(responder, 400, str(error))
            return
        if self.switches.refuse:
            await _send_error(responder, 503, "The engine accepts no new requests.")
            return
        run = Execution(stream_request.key, stream_request.attempt, stream_request.kind)
        self.executions.append(run)
        await self._send_stream(self._batch.add(stream_request, run), responder)

    async def _send_stream(
        self, stream: EngineStream, responder: HttpResponder
    ) -> None:
        disconnect_task = asyncio.create_task(responder.disconnected.wait())
        send_task = asyncio.create_task(_send_events(stream, responder))
        try:
            await asyncio.wait(
                {disconnect_task, send_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect_task.cancel()
            if not send_task.done():
                send_task.cancel()
                await asyncio.gather(send_task, return_exceptions=True)
        if send_task.cancelled() or send_task.exception() is not None:
            if stream.is_running:
                stream.end(StreamState.CANCELLED)
            raise CallerDisconnectedError

    async def _run_batch(self) -> None:
        loop = asyncio.get_running_loop()
        stepped_at = loop.time()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = loop.time()
            if not self.switches.frozen and not self._batch.step(now - stepped_at):
                self.crash(self.switches.crash_downtime)
            stepped_at = now


async def _send_events(stream: EngineStream, responder: HttpResponder) -> None:
    await responder.start(200, {"content-type": "text/event-stream"})
    await responder.write(encode_sse("started", b"{}"))
    index = 0
    while True:
        change_event, is_running = stream.change_event, stream.is_running
        for chunk in stream.chunks[index:]:
            await responder.write(encode_sse("chunk", msgspec.json.encode(chunk)))
            index += 1
        if not is_running:
            break
        await change_event.wait()
    if stream.execution.state is not StreamState.FINISHED:
        responder.abort()
        return
    run = stream.execution
    end = {
        "prefill_tokens_computed": run.prefill_computed,
        "output_tokens": run.output_tokens,
    }
    await responder.write(encode_sse("finished", msgspec.json.encode(end)))
    await responder.finish()


async def _send_error(responder: HttpResponder, status: int, sentence: str) -> None:
    await send_json(responder, status, ErrorBody("NOT_RUN", sentence))


if __name__ == "__main__":
    run_main(Engine())
