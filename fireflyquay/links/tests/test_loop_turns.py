"""Tests of the turns of connections that have much to parse."""

import asyncio

from fireflyquay.links._loop_turns import TURNS_PER_ITERATION, LoopTurns


def test_few_connections_continue_in_each_iteration_of_the_loop():
    # Guards against an iteration that lasts as long as all connections together take.
    async def scenario():
        turns, order = LoopTurns(), []

        async def parse(number):
            await turns.take()
            order.append(number)

        tasks = [asyncio.create_task(parse(n)) for n in range(10)]
        # The first iteration starts the tasks.
        await asyncio.sleep(0)
        count = 0
        while len(order) < len(tasks):
            await asyncio.sleep(0)
            assert len(order) - count <= TURNS_PER_ITERATION
            count = len(order)
        assert order == sorted(order)

    asyncio.run(scenario())


def test_turn_of_a_cancelled_connection_goes_to_the_next():
    # Guards against connections that wait forever after others have ended.
    async def scenario():
        turns = LoopTurns()
        tasks = [asyncio.create_task(turns.take()) for _ in range(10)]
        await asyncio.sleep(0)
        for task in tasks[:9]:
            task.cancel()
        async with asyncio.timeout(5.0):
            await tasks[9]
        assert turns.waiting_count == 0
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())
