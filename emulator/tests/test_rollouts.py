"""Roll-outs over whole gateways, with good and bad versions of both services."""

from dataclasses import replace

import pytest

from emulator import Emulation, run_virtual
from emulator._sites import APP, LLM, find_site
from fireflyquay.world import RolloutState

SHARE, SLACK, ROLLBACK_SECONDS = 0.1, 50, 5.0
ROLLOUT = {"exposure_share": SHARE, "exposure_slack": SLACK, "rollback": 5.0}
ORDER_SECONDS = 24.0
BEFORE_SECONDS = 2.0


def make_site():
    return replace(find_site("brolga"), rollout=ROLLOUT, disconnect_share=0.0)


async def play(service, spoil, fault=None, site=None):
    """Order a version while there is traffic; return the emulation and its runs."""
    async with Emulation(site or make_site()) as emulation:
        emulation.start_traffic(BEFORE_SECONDS + ORDER_SECONDS + 3.0)
        await emulation.run(BEFORE_SECONDS)
        ordered_at = emulation.loop.time()
        for server in emulation.order_rollout(service, "v2", ORDER_SECONDS):
            spoil(server)
        await emulation.run(6.0)
        if fault is not None:
            fault(emulation)
            await emulation.run(1.0)
            while len(emulation.gateways) < emulation.site.vms:
                await emulation.add_vm()
        await emulation.run(ordered_at + ORDER_SECONDS - emulation.loop.time())
        return emulation, ordered_at


def check_bound(emulation, service, ordered_at, until):
    """Check the bound over the whole fleet at each request; return the exposures."""
    reached = exposed = 0
    for run in sorted(emulation.history.runs, key=lambda it: it.arrived_at):
        if run.service != service or not ordered_at <= run.arrived_at < until:
            continue
        reached += 1
        exposed += run.server.endswith("-v2")
        assert exposed <= SHARE * reached + SLACK
    return exposed


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
    emulation, ordered_at = run_virtual(play(service, spoil, fault))
    order = emulation.store.orders[service]
    assert order.state is RolloutState.ROLLED_BACK
    end = ordered_at + ORDER_SECONDS
    assert check_bound(emulation, service, ordered_at, end) >= 4
    late = [
        run
        for run in emulation.history.runs
        if run.server.endswith("-v2") and run.arrived_at > end - 5.0
    ]
    assert not late


@pytest.mark.parametrize(
    ("service", "fault"),
    [(APP, kill_all), (APP, stop_store), (LLM, kill_coordinator)],
)
def test_good_version_takes_over_without_a_cut_run(service, fault):
    emulation, ordered_at = run_virtual(play(service, lambda server: None, fault))
    assert emulation.store.orders[service].state is RolloutState.COMPLETED
    runs = [
        run
        for run in emulation.history.runs
        if run.service == service and run.arrived_at > ordered_at + 8.0
    ]
    old_runs = [run for run in runs if not run.server.endswith("-v2")]
    assert old_runs
    assert all(run.is_complete or run.is_declined for run in old_runs)
    assert runs[-1].server.endswith("-v2")


def test_without_the_settings_versions_are_used_as_before():
    async def run():
        site = replace(make_site(), rollout={})
        emulation, ordered_at = await play(APP, lambda server: None, None, site)
        assert emulation.store.orders[APP].state is None
        assert not emulation.store.progress
        return emulation

    emulation = run_virtual(run())
    shares = [it.server.endswith("-v2") for it in emulation.history.runs]
    assert sum(shares) > SLACK
