"""Roll-outs over whole gateways, beside killed VMs and an outage of the store."""

from dataclasses import replace

import pytest

from emulator import Emulation, RolloutPlan, run_virtual
from emulator._sites import APP, LLM, find_site
from fireflyquay.world import RolloutState

SHARE, SLACK = 0.1, 50
ORDER_SECONDS = 24.0
BEFORE_SECONDS = 2.0
TARGET = "v2"


async def play(service, spoil, fault=None, has_settings=True):
    """Order a version while there is traffic; return the emulation and its order."""
    plan = RolloutPlan(service, TARGET, BEFORE_SECONDS, ORDER_SECONDS)
    site = replace(find_site("brolga"), disconnect_share=0.0)
    if has_settings:
        site = replace(site, rollouts=(plan,))
    async with Emulation(site) as emulation:
        emulation.start_traffic(BEFORE_SECONDS + ORDER_SECONDS + 3.0)
        await emulation.run(BEFORE_SECONDS + 0.001)
        if not has_settings:
            emulation.order_rollout(plan)
        (record,) = emulation.history.rollouts
        for server in emulation.list_servers(service):
            if server.entry.version == TARGET:
                spoil(server)
        await emulation.run(6.0)
        if fault is not None:
            fault(emulation)
            await emulation.run(1.0)
            while len(emulation.gateways) < emulation.site.vms:
                await emulation.add_vm()
        await emulation.run(record.ends_at - emulation.loop.time())
        return emulation, record


def check_bound(emulation, record):
    """Check the bound over the whole fleet at each request; return the exposures."""
    reached = exposed = 0
    for run in sorted(emulation.history.runs, key=lambda it: it.arrived_at):
        is_within = record.ordered_at <= run.arrived_at < record.ends_at
        if run.service != record.service or not is_within:
            continue
        reached += 1
        exposed += run.version == TARGET
        assert exposed <= SHARE * reached + SLACK
    return exposed


def leave_sound(server):
    pass


def fail_half(server):
    server.failure_rate = 0.5


def slow_down(server):
    server.slowdown = 5.0


def break_off(server):
    server.drops_responses = True


def kill_coordinator(emulation):
    emulation.kill(emulation.find_coordinator())


def kill_all(emulation):
    for host in emulation.list_hosts():
        emulation.kill(host)


def stop_store(emulation):
    emulation.stop_store(5.0)


@pytest.mark.parametrize(
    ("service", "spoil", "fault"),
    [
        (APP, fail_half, None),
        (APP, fail_half, kill_all),
        (LLM, slow_down, kill_coordinator),
        (LLM, break_off, stop_store),
    ],
)
def test_bad_version_is_rolled_back_within_its_bound(service, spoil, fault):
    # Guards against a coordinator that spends again what a lost one had reserved, and
    # against a verdict that is lost with the VMs or the store.
    emulation, record = run_virtual(play(service, spoil, fault))
    assert emulation.store.rollouts[service].state is RolloutState.ROLLED_BACK
    assert check_bound(emulation, record) >= 4
    late = [
        run
        for run in emulation.history.runs
        if run.version == TARGET and run.arrived_at > record.ends_at - 5.0
    ]
    assert not late


@pytest.mark.parametrize(
    ("service", "fault"),
    [(APP, kill_all), (APP, stop_store), (LLM, kill_coordinator)],
)
def test_good_version_takes_over_without_a_cut_run(service, fault):
    # Guards against a switch that faults hold back, or whose end cuts runs on old
    # servers, which stop at once.
    emulation, record = run_virtual(play(service, leave_sound, fault))
    assert emulation.store.rollouts[service].state is RolloutState.COMPLETED
    runs = [
        run
        for run in emulation.history.runs
        if run.service == service and run.arrived_at > record.ordered_at + 8.0
    ]
    old_runs = [run for run in runs if run.version != TARGET]
    assert old_runs
    assert all(run.is_complete or run.is_declined for run in old_runs)
    assert runs[-1].version == TARGET


def test_without_the_settings_versions_are_used_as_before():
    # Guards against orders that are followed though the deployment states no bounds.
    emulation, _ = run_virtual(play(APP, leave_sound, has_settings=False))
    assert emulation.store.rollouts[APP].state is None
    assert not emulation.store.rollout_progress
    assert sum(run.version == TARGET for run in emulation.history.runs) > SLACK
