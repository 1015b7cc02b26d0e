import asyncio

import pytest

from fireflyquay.daemons._desk import KEPT_ANSWERS_BYTES, AnswerDesk
from fireflyquay.daemons._meter import Meter
from fireflyquay.decisions import (
    Join,
    Redirect,
    Refuse,
)
from fireflyquay.links import Metrics, RunChunk, RunFinished
from fireflyquay.world import (
    Code,
    CustomerId,
    Fingerprint,
    PoolId,
    Request,
    RequestKey,
    Tier,
    Verdict,
    WorkKind,
)

END = RunFinished(1, 1)


class FakeNode:
    def __init__(self):
        self.gone = []

    def receive_request(self, now, request, is_home_unreachable):
        pass

    def note_caller_gone(self, now, exchange):
        self.gone.append(exchange)


@pytest.fixture
def desk():
    return AnswerDesk(FakeNode(), Meter(Metrics()), asyncio.Event())


def open_exchange(desk):
    exchange = desk.draw_exchange()
    request = Request(
        exchange=exchange,
        key=RequestKey(f"c/{exchange}"),
        customer=CustomerId("c"),
        kind=WorkKind("label", PoolId("p")),
        tier=Tier.BATCH,
        prompt_tokens=1,
        max_tokens=1,
        prefix_hash="",
        fingerprint=Fingerprint(""),
        deadline=1.0,
    )
    return exchange, desk.open(0.0, request, False)


def list_sizes(desk):
    held = (desk._answers, desk._callers, desk._requests, desk._joined)
    return [len(table) for table in held]


def run(work):
    asyncio.run(work())


def test_answered_request_is_kept_for_copies_and_its_body_is_not(desk):
    async def work():
        exchange, answer = open_exchange(desk)
        answer.finish(END)
        desk.leave(exchange)
        assert list_sizes(desk) == [1, 1, 0, 0]
        assert desk.find(exchange) is answer

    run(work)


@pytest.mark.parametrize(
    "end",
    [
        lambda exchange: Refuse(exchange, Code.OVERLOADED, Verdict.NOT_RUN, "No."),
        lambda exchange: Redirect(exchange, "127.0.0.1", 1),
    ],
)
def test_unanswered_request_leaves_nothing(desk, end):
    async def work():
        exchange, _ = open_exchange(desk)
        action = end(exchange)
        if isinstance(action, Refuse):
            desk.refuse(action)
        else:
            desk.redirect(action)
        desk.leave(exchange)
        assert list_sizes(desk) == [0, 0, 0, 0]
        assert not desk._meter._progress

    run(work)


def test_run_that_ends_after_its_caller_left_is_kept_within_the_bound(desk):
    async def work():
        for _ in range(3):
            exchange, answer = open_exchange(desk)
            desk.leave(exchange)
            await answer.append(RunChunk(0, b"x" * (KEPT_ANSWERS_BYTES // 2), 1))
            answer.finish(END)
        assert desk._node.gone == [1, 2, 3]
        assert list_sizes(desk) == [2, 2, 0, 0]

    run(work)


def test_copy_reads_the_answer_and_leaves_nothing(desk):
    async def work():
        first, answer = open_exchange(desk)
        copy, copied = open_exchange(desk)
        desk.join(Join(copy, first))
        desk.leave(first)
        assert desk._node.gone == []
        await answer.append(RunChunk(0, b"text", 1))
        answer.finish(END)
        await copied.wait_beyond(1)
        assert copied.end == END and copied.chunks == answer.chunks
        desk.leave(copy)
        assert list_sizes(desk) == [1, 1, 0, 0]

    run(work)


def test_copy_that_left_before_it_joined_holds_no_run(desk):
    async def work():
        first, answer = open_exchange(desk)
        copy, _ = open_exchange(desk)
        desk.leave(first)
        desk.leave(copy)
        desk._node.gone.clear()
        desk.join(Join(copy, first))
        assert desk._node.gone == [first]
        answer.finish(END)
        assert list_sizes(desk) == [1, 1, 0, 0]

    run(work)
