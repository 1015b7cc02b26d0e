"""Tests of emulated roll-outs: the store's part, servers, faults and the summary."""

import asyncio
from dataclasses import replace

import pytest

from emulator import (
    Emulation,
    History,
    RolloutPlan,
    RolloutRecord,
    Run,
    VersionFault,
    emulate,
    run_virtual,
    summarize_rollouts,
)
from emulator._report import EmulationResult, format_rollouts
from emulator._sites import ROLLOUT_FAULTS, find_site
from emulator._store import EmulatedSource
from fireflyquay.dispatch import RolloutPhase, RolloutProgress
from fireflyquay.links import HttpFailure
from fireflyquay.world import RolloutState
from proofs import make_site

PLAN = RolloutPlan("app", "v2", 1.0, 10.0)


def make_rollout_site(plan=PLAN):
    return replace(make_site(vms=2), rollouts=(plan,))


def run(scenario, plan=PLAN):
    """Play a scenario after the order and without gateways, which write states too."""

    async def play():
        async with Emulation(make_rollout_site(plan), seed=1) as emulation:
            for host in emulation.list_hosts():
                emulation.kill(host)
            emulation.start_traffic(0.0)
            await emulation.run(plan.start + 0.5)
            source = EmulatedSource(emulation.store, "operator", lambda: True)
            return await scenario(emulation, source)

    return run_virtual(play())


async def write_state(emulation, source, state):
    (order,) = await source.list_rollouts()
    assert await source.write_rollout_status(order, state)
    await emulation.run(0.2)


def list_names(emulation, version):
    servers = emulation.store.backends.values()
    return {it.id for it in servers if it.service == "app" and it.version == version}


def test_new_servers_start_beside_the_old_ones():
    async def scenario(emulation, source):
        assert list_names(emulation, "v1") == {"app-0", "app-1"}
        assert list_names(emulation, "v2") == {"app-2", "app-3"}
        addresses = [it.address for it in emulation.store.backends.values()]
        assert len(set(addresses)) == len(addresses)

    run(scenario)


def test_old_servers_stop_at_once_when_the_rollout_is_completed():
    async def scenario(emulation, source):
        await write_state(emulation, source, RolloutState.ACTIVE)
        assert list_names(emulation, "v1")
        await write_state(emulation, source, RolloutState.COMPLETED)
        assert not list_names(emulation, "v1")
        assert emulation.servers["app-0"].is_down
        await emulation.run(8.0)
        assert list_names(emulation, "v2") == {"app-2", "app-3"}
        (summary,) = summarize_rollouts(emulation.history)
        assert summary.is_right and summary.keeps_bounds

    run(scenario)


def test_new_servers_drain_later_when_the_rollout_is_rolled_back():
    async def scenario(emulation, source):
        await write_state(emulation, source, RolloutState.ROLLED_BACK)
        phases = {it.phase for it in emulation.store.backends.values()}
        assert phases == {"READY"}
        await emulation.run(4.0)
        assert {
            emulation.store.backends[it].phase for it in list_names(emulation, "v2")
        } == {"LEAVING"}
        await emulation.run(4.0)
        assert not list_names(emulation, "v2")
        assert list_names(emulation, "v1") == {"app-0", "app-1"}
        (summary,) = summarize_rollouts(emulation.history)
        assert not summary.is_right

    run(scenario)


def test_withdrawn_order_changes_no_servers():
    async def scenario(emulation, source):
        emulation.store.withdraw_rollout("app")
        await emulation.run(8.0)
        assert len(list_names(emulation, "v1") | list_names(emulation, "v2")) == 4

    run(scenario)


def test_status_is_written_only_at_the_revision_that_was_read():
    async def scenario(emulation, source):
        (order,) = await source.list_rollouts()
        emulation.store.lost_responses = 1
        with pytest.raises(HttpFailure):
            await source.write_rollout_status(order, RolloutState.ACTIVE)
        active = await source.write_rollout_status(order, RolloutState.ACTIVE)
        assert active.state is RolloutState.ACTIVE
        assert await source.write_rollout_status(order, RolloutState.COMPLETED) is None
        emulation.store.order_rollout("app", "v3", 10.0)
        assert await source.write_rollout_status(active, RolloutState.COMPLETED) is None
        (order,) = await source.list_rollouts()
        assert (order.target, order.state, order.stated_target) == (
            "v3",
            RolloutState.ACTIVE,
            "v2",
        )

    run(scenario)


def test_progress_is_written_only_at_the_revision_that_was_read():
    async def scenario(emulation, source):
        empty = await source.read_rollout_progress("other")
        assert (empty.record, empty.revision) == (RolloutProgress(), 0)
        progress = RolloutProgress("v2", RolloutPhase.TRIAL)
        emulation.store.lost_responses = 1
        with pytest.raises(HttpFailure):
            await source.write_rollout_progress("other", progress, 0)
        assert await source.write_rollout_progress("other", progress, 0) is None
        stored = await source.read_rollout_progress("other")
        assert stored.record == progress
        second = RolloutProgress("v2", RolloutPhase.SWITCH)
        assert await source.write_rollout_progress("other", second, stored.revision)

    run(scenario)


def count_bad(fault, wanted_kind="", concurrent=1):
    """Run requests at a server of a bad version; return bad runs by kind."""

    async def play():
        async with Emulation(make_rollout_site(), seed=1) as emulation:
            record = emulation.order_rollout(replace(PLAN, fault=fault))
            server = emulation.servers["app-2"]
            runs = []
            for number in range(6):
                for kind in ("book", "look"):
                    for _ in range(concurrent):
                        runs.append(start_run(server, f"{kind}-{number}", kind))
                await asyncio.sleep(1.0)
            assert record.is_bad
        return {
            kind: sum(it.bad_at is not None for it in runs if it.kind == kind)
            for kind in ("book", "look")
        }

    return run_virtual(play())


def start_run(server, name, kind):
    from emulator._servers import Job

    now = asyncio.get_running_loop().time()
    record = Run(name, server.entry.id, "app", "host", now, kind=kind, version="v2")
    server.accept(Job(record, 0, "", 0, 0, 0, 0.02), "")
    return record


@pytest.mark.parametrize(
    ("fault", "bad"),
    [
        (VersionFault(failure_rate=1.0), {"book": 6, "look": 6}),
        (VersionFault(slowdown=3.0), {"book": 6, "look": 6}),
        (VersionFault(failure_rate=1.0, kind="book"), {"book": 6, "look": 0}),
        (VersionFault(failure_rate=1.0, delay=3.5), {"book": 2, "look": 2}),
        (VersionFault(failure_rate=1.0, min_running=3), {"book": 0, "look": 0}),
    ],
    ids=["failing", "slow", "one kind", "later", "under load"],
)
def test_version_is_bad_only_as_its_fault_says(fault, bad):
    assert count_bad(fault) == bad


def test_version_that_is_bad_under_load_only_is_bad_under_load():
    counts = count_bad(VersionFault(failure_rate=1.0, min_running=3), concurrent=2)
    assert sum(counts.values()) > 0


def make_history(exposed, bad, late, state=RolloutState.ROLLED_BACK):
    """Return a history of 1000 requests in 10 s, with a roll-out from 0 s to 10 s."""

    def make_run(at, version, bad_at=None):
        return Run("", "", "llm", "", at, version=version, bad_at=bad_at)

    history = History(rollouts=[RolloutRecord("llm", "v2", True, 0.0, 10.0, state, 8)])
    history.runs = [make_run(1.0, "v1") for _ in range(1000 - exposed)]
    history.runs += [
        make_run(1.0, "v2", 1.5 if i < bad else None) for i in range(exposed)
    ]
    history.runs += [make_run(11.0, "v2") for _ in range(late)]
    return history


@pytest.mark.parametrize(
    ("exposed", "bad", "late", "keeps_bounds"),
    [
        (150, 50, 0, True),
        (151, 50, 0, False),
        # The 50th bad response came at 1.5 s, and 5 s later nothing may arrive.
        (100, 50, 1, False),
        (100, 49, 1, True),
    ],
)
def test_summary_compares_with_the_bounds(exposed, bad, late, keeps_bounds):
    (summary,) = summarize_rollouts(make_history(exposed, bad, late))
    assert (summary.requests, summary.exposed, summary.allowed) == (1000, exposed, 150)
    assert summary.keeps_bounds is keeps_bounds
    assert summary.is_right


def test_summary_tells_a_wrong_late_or_missing_verdict():
    history = make_history(0, 0, 0, RolloutState.COMPLETED)
    assert not summarize_rollouts(history)[0].is_right
    history = make_history(0, 0, 0)
    history.rollouts[0].stated_at = 10.5
    assert not summarize_rollouts(history)[0].is_right
    history.rollouts[0].state, history.rollouts[0].stated_at = "", None
    summaries = tuple(summarize_rollouts(history))
    assert not summaries[0].is_right
    result = EmulationResult("small", "rollout", "today", 1, None, summaries)
    assert "v2" in format_rollouts(result)


@pytest.mark.parametrize("day", ROLLOUT_FAULTS)
def test_days_with_a_rollout_state_versions_and_bounds(day):
    site = find_site("brolga", day)

    async def play():
        async with Emulation(replace(site, vms=1), seed=1) as emulation:
            entries = emulation.store.backends.values()
            assert {it.version for it in entries} == {"v1"}
            (gateway,) = emulation.gateways.values()
            assert gateway._settings.rollout is not None

    run_virtual(play())


def test_days_without_a_rollout_state_neither():
    async def play():
        async with Emulation(make_site(vms=1), seed=1) as emulation:
            entries = emulation.store.backends.values()
            assert {it.version for it in entries} == {""}
            (gateway,) = emulation.gateways.values()
            assert gateway._settings.rollout is None

    run_virtual(play())


@pytest.mark.parametrize("day", ROLLOUT_FAULTS)
def test_day_with_a_rollout_ends_with_the_right_verdict(day):
    # Guards against a bad version that is completed, or exposed beyond its bounds, and
    # against a good one that is not completed in time.
    history = emulate(find_site("brolga", day), 20.0, seed=1, settle=2.0)
    (summary,) = summarize_rollouts(history)
    assert summary.is_right
    assert summary.keeps_bounds
