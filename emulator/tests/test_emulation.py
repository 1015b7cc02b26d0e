"""Tests of reproducibility, virtual time, frozen machines, policies and reports."""

import asyncio
from dataclasses import replace

import pytest

from emulator import Emulation, History, VirtualLoop, emulate, run_virtual, summarize
from emulator._report import EmulationResult, format_kinds, format_ways
from emulator._servers import share_chunk
from emulator._ways import WAYS
from proofs import make_site


def list_outcomes(history):
    return [
        (it.kind, round(it.sent_at, 6), it.is_served, it.first_output)
        for it in history.requests
    ]


def test_same_seed_gives_same_history():
    first, second = (emulate(make_site(), 3.0, seed=4, settle=6.0) for _ in range(2))
    assert list_outcomes(first) == list_outcomes(second)
    assert list_outcomes(
        emulate(make_site(), 3.0, seed=5, settle=6.0)
    ) != list_outcomes(first)


def test_virtual_time_skips_to_next_timer():
    async def wait():
        await asyncio.sleep(1000.0)
        return asyncio.get_running_loop().time()

    assert run_virtual(wait()) >= 1000.0


def test_frozen_machine_runs_no_callbacks_until_thawed():
    async def run():
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        ticks = []

        async def tick():
            while True:
                await asyncio.sleep(1.0)
                ticks.append(loop.time())

        task = loop.create_task_as("m", tick())
        await asyncio.sleep(2.5)
        loop.freeze("m")
        await asyncio.sleep(5.0)
        loop.thaw("m")
        await asyncio.sleep(1.2)
        task.cancel()
        return [round(at, 1) for at in ticks]

    assert run_virtual(run()) == [1.0, 2.0, 7.5, 8.5]


def test_timer_cancelled_while_machine_is_frozen_does_not_run():
    async def run():
        loop = asyncio.get_running_loop()
        calls = []
        handles = []

        async def start_timer():
            handles.append(loop.call_later(1.0, calls.append, 1))

        await loop.create_task_as("m", start_timer())
        loop.freeze("m")
        await asyncio.sleep(2.0)
        handles[0].cancel()
        loop.thaw("m")
        await asyncio.sleep(1.0)
        return calls

    assert run_virtual(run()) == []


def test_stream_duration_matches_engine_model():
    async def run():
        async with Emulation(make_site(vms=1), seed=1) as emulation:
            request = emulation.clients.send(emulation.get_kind("draft"))
            await emulation.run(6.0)
        return request

    request = run_virtual(run())
    engine = make_site().engines["llm"]
    min_seconds = (
        request.prompt_tokens / engine.prefill_rate
        + engine.tokens_per_event * engine.step_seconds
    )
    assert request.is_served
    assert min_seconds < request.first_output < 2 * min_seconds * engine.spread + 0.05
    assert request.attempts[0].events == list(range(1, request.events + 1))


def test_rejected_client_waits_for_retry_after():
    async def run():
        async with Emulation(make_site(vms=1), seed=1) as emulation:
            # Leaves no backend server registered for the request.
            for name in ("app-0", "app-1"):
                emulation.crash(name, 0.3)
                emulation.store.backends.pop(name)
            emulation.store.increment_revision()
            await emulation.run(1.0)
            request = emulation.clients.send(emulation.get_kind("book"))
            await emulation.run(5.0)
        return request

    first, second = run_virtual(run()).attempts
    assert (first.status, first.code) == (503, "NO_BACKEND_SERVER")
    assert second.sent_at >= first.ended_at + 0.9 * first.retry_after


def test_reports_list_kinds_and_ways():
    site = make_site()
    summary = summarize(site, emulate(site, 2.0, settle=6.0))
    result = EmulationResult("small", "quiet", "today", 1, summary)
    assert all(kind.name in format_kinds(result) for kind in site.kinds)
    assert "today" in format_ways([result])
    assert 0.0 < summary.worth <= 1.0


@pytest.mark.parametrize(
    "way", [way for way in WAYS if way.policy], ids=lambda w: w.name
)
def test_policies_change_decisions_only_while_installed(way):
    site = replace(make_site(), load=2.0)
    before = list_outcomes(emulate(site, 3.0, seed=3, settle=6.0))
    with way.install():
        changed = list_outcomes(
            emulate(site, 3.0, seed=3, settle=6.0, scheduler_settings=way.settings)
        )
    assert changed != before
    assert any(is_served for _, _, is_served, _ in changed)
    assert list_outcomes(emulate(site, 3.0, seed=3, settle=6.0)) == before


def test_summary_of_no_requests_has_no_costs():
    summary = summarize(make_site(), History())
    assert (summary.whole, summary.held, summary.refused_again) == (1.0, 0.0, 0.0)


def test_summary_states_how_often_the_largest_requests_are_served():
    history = emulate(make_site(), 3.0, seed=4, settle=6.0)
    streams = [it for it in history.requests if it.prompt_tokens]
    largest = max(streams, key=lambda it: it.prompt_tokens)
    largest.is_served = False
    kind = next(
        it for it in summarize(make_site(), history).kinds if it.kind == largest.kind
    )
    assert kind.largest_tenth_served < 1.0
    assert kind.next_fifth_served == 1.0


@pytest.mark.parametrize(
    "tokens_left, shares",
    [
        ([], []),
        ([9000], [1024]),
        ([9000, 9000], [512, 512]),
        ([100, 9000], [100, 924]),
        ([9000, 100, 9000], [462, 100, 462]),
        ([10, 20], [10, 20]),
    ],
)
def test_prompts_share_the_chunk_of_a_step(tokens_left, shares):
    assert share_chunk(1024, tokens_left) == shares
