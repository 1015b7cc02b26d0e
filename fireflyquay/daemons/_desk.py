"""Brings callers' exchanges together with their answers."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from fireflyquay.decisions import (
    Join,
    Node,
    Redirect,
    Refuse,
)
from fireflyquay.links import RunFinished
from fireflyquay.world import Code, ExchangeId, Request, Verdict

from ._answer import Answer, End
from ._meter import Meter

KEPT_ANSWERS_BYTES = 4 * 1024 * 1024
KEPT_ANSWERS = 4096


class AnswerDesk:
    """Hold the answer of every exchange, and of ended ones for a while."""

    def __init__(self, node: Node, meter: Meter, act: asyncio.Event) -> None:
        self._node = node
        self._meter = meter
        self._act = act
        self._last_exchange = 0
        self._answers: dict[ExchangeId, Answer] = {}
        # Sizes in bytes of ended answers, oldest first.
        self._kept: OrderedDict[ExchangeId, int] = OrderedDict()
        self._requests: dict[ExchangeId, Request] = {}
        # Connections per answer that have not ended.
        self._callers: dict[ExchangeId, set[ExchangeId]] = {}
        # Exchanges whose answers later copies read, by copy.
        self._joined: dict[ExchangeId, ExchangeId] = {}
        self._copying: set[asyncio.Task[None]] = set()
        self._kept_bytes = 0

    def draw_exchange(self) -> ExchangeId:
        """Return a fresh exchange id."""
        self._last_exchange += 1
        return ExchangeId(self._last_exchange)

    def open(self, now: float, request: Request, is_home_unreachable: bool) -> Answer:
        """Hand a request to the node and return the answer to come."""
        exchange = request.exchange
        answer = Answer(lambda: self._note_end(exchange))
        self._answers[exchange] = answer
        self._requests[exchange] = request
        self._callers[exchange] = {exchange}
        self._meter.note_arrival(now, request)
        self._node.receive_request(now, request, is_home_unreachable)
        self._act.set()
        return answer

    def act(self) -> None:
        """Have the node's new actions carried out."""
        self._act.set()

    def find(self, exchange: ExchangeId) -> Answer | None:
        """Return the answer of an exchange, or None."""
        return self._answers.get(exchange)

    def join(self, action: Join) -> None:
        """Let a later copy read the answer of the first."""
        self._meter.forget(action.exchange)
        runner = self._answers.get(action.runner)
        copy = self._answers.get(action.exchange)
        if copy is None:
            return
        if not self._callers.get(action.exchange):
            self._skip_join(action)
            return
        if runner is None:
            self.finish(
                action.exchange,
                Refuse(
                    action.exchange,
                    Code.ANSWER_GONE,
                    Verdict.RAN,
                    "The request ran; its answer is no longer kept.",
                ),
            )
            return
        self._joined[action.exchange] = action.runner
        self._callers[action.runner].add(action.exchange)
        copying = asyncio.get_running_loop().create_task(_copy_answer(runner, copy))
        self._copying.add(copying)
        copying.add_done_callback(self._copying.discard)

    def refuse(self, action: Refuse) -> None:
        """End an exchange with a refusal."""
        request = self._requests.pop(action.exchange, None)
        if request is not None:
            self._meter.note_refused(request, action)
        self.finish(action.exchange, action)

    def redirect(self, action: Redirect) -> None:
        """End an exchange with a redirect."""
        self._meter.forget(action.exchange)
        self.finish(action.exchange, action)

    def finish(self, exchange: ExchangeId, end: End) -> None:
        """Set how an exchange's answer ended."""
        answer = self._answers.get(exchange)
        if answer is not None:
            answer.finish(end)

    def leave(self, exchange: ExchangeId) -> None:
        """Note that a connection no longer reads."""
        runner = self._joined.pop(exchange, exchange)
        if runner != exchange:
            self._drop(exchange)
        callers = self._callers.get(runner)
        if callers is None or exchange not in callers:
            return
        callers.discard(exchange)
        if not callers:
            self._note_unread(runner)

    def _skip_join(self, action: Join) -> None:
        """Drop a copy whose connection was lost before it could join."""
        self._drop(action.exchange)
        if not self._callers.get(action.runner):
            self._note_unread(action.runner)

    def _note_end(self, exchange: ExchangeId) -> None:
        self._requests.pop(exchange, None)
        if not self._callers.get(exchange):
            self._note_unread(exchange)

    def _note_unread(self, exchange: ExchangeId) -> None:
        """Keep or drop an ended answer that nobody reads; else tell the node."""
        answer = self._answers.get(exchange)
        if answer is None or exchange in self._kept:
            return
        if answer.end is None:
            now = asyncio.get_running_loop().time()
            self._node.note_caller_gone(now, exchange)
        elif isinstance(answer.end, RunFinished):
            self._keep(exchange, answer)
        else:
            self._drop(exchange)

    def _drop(self, exchange: ExchangeId) -> None:
        self._answers.pop(exchange, None)
        self._callers.pop(exchange, None)
        self._requests.pop(exchange, None)

    def _keep(self, exchange: ExchangeId, answer: Answer) -> None:
        self._kept[exchange] = answer.size
        self._kept_bytes += answer.size
        while self._kept_bytes > KEPT_ANSWERS_BYTES or len(self._kept) > KEPT_ANSWERS:
            oldest, size = self._kept.popitem(last=False)
            self._kept_bytes -= size
            self._drop(oldest)


async def _copy_answer(source: Answer, copy: Answer) -> None:
    """Feed a copy's answer from the first one's."""
    reader = source.add_reader()
    index = 0
    try:
        while True:
            await source.wait_beyond(index)
            if index >= len(source.chunks):
                break
            chunk = source.chunks[index]
            index += 1
            await copy.append(chunk)
            source.note_read(reader, len(chunk.data))
    finally:
        source.remove_reader(reader)
    if source.end is not None:
        copy.finish(source.end)
