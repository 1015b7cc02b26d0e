"""Directed plays: each trouble alone, and orders of them that matter."""

import pytest

from emulator import Stage, run_virtual
from proofs import Oracle, make_site
from proofs._troubles import lose_all_vms, send_poison


def play(trouble, seconds=12.0, settle=10.0, seed=1, **site):
    """Run traffic beside a trouble and judge what was seen."""
    place = make_site(**site)

    async def run():
        async with Stage(place, seed) as stage:
            stage.start_traffic(seconds)
            await stage.run(2.0)
            await trouble(stage)
            await stage.run(seconds + settle)
        return stage.history

    history = run_virtual(run())
    Oracle(place).assert_clean(history)
    return history


def count_served(history):
    served = sum(it.is_served for it in history.requests)
    return served / len(history.requests)


async def nothing(stage):
    return None


async def kill_coordinator(stage):
    stage.kill(stage.find_coordinator())


async def kill_coordinators_in_a_row(stage):
    for _ in range(3):
        stage.kill(stage.find_coordinator())
        await stage.run(0.7)


async def freeze_coordinator(stage):
    stage.freeze(stage.find_coordinator(), 3.0)


async def freeze_a_follower(stage):
    host = next(it for it in stage.list_hosts() if it != stage.find_coordinator())
    stage.freeze(host, 4.0)


async def isolate_coordinator(stage):
    stage.isolate(stage.find_coordinator(), 4.0)


async def cut_in_two(stage):
    hosts = stage.list_hosts()
    for first in hosts[::2]:
        for second in hosts[1::2]:
            stage.cut(first, second, 4.0)


async def lose_packets(stage):
    stage.network.loss = 0.05


async def stop_store(stage):
    stage.stop_store(6.0)


async def stop_store_and_kill(stage):
    stage.stop_store(6.0)
    await stage.run(1.0)
    stage.kill(stage.find_coordinator())
    await stage.add_vm()


async def store_refuses_one(stage):
    stage.refuse_store(stage.list_hosts()[1], 7.0)


async def crash_servers(stage):
    stage.crash("llm-0", 2.0)
    await stage.run(0.5)
    stage.crash("app-0", 2.0)


async def crash_all_engines(stage):
    for name in ("llm-0", "llm-1", "llm-2"):
        stage.crash(name, 2.0)


async def let_servers_leave(stage):
    stage.remove("llm-1")
    stage.remove("app-1")


async def stop_vms_in_turn(stage):
    for host in stage.list_hosts()[:3]:
        stage.stop(host)
        await stage.run(1.5)


async def replace_vms_in_turn(stage):
    for host in stage.list_hosts()[:3]:
        stage.kill(host)
        await stage.add_vm(host)
        await stage.run(1.0)


async def add_vms(stage):
    for _ in range(3):
        await stage.add_vm()


async def remove_keys(stage):
    stage.clients.old_key_share = 0.3
    stage.add_key("account-0", "fresh-0")
    await stage.run(1.0)
    stage.add_key("account-1", "fresh-1")


async def remove_keys_while_one_is_cut_from_the_store(stage):
    stage.clients.old_key_share = 0.3
    first, *others = stage.list_hosts()
    stage.refuse_store(first, 8.0)
    for host in others:
        stage.cut(first, host, 8.0)
    stage.add_key("account-0", "fresh-0")


async def remove_keys_while_one_is_frozen(stage):
    stage.clients.old_key_share = 0.3
    stage.freeze(stage.list_hosts()[2], 6.0)
    await stage.run(0.1)
    stage.add_key("account-0", "fresh-0")


async def change_often(stage):
    for _ in range(20):
        stage.apply_config()
        await stage.run(0.2)


async def send_what_crashes(stage):
    await send_poison(stage, 8, 0.6)


async def lose_all(stage):
    await lose_all_vms(stage, 1.0)


TROUBLES = [
    nothing,
    kill_coordinator,
    kill_coordinators_in_a_row,
    freeze_coordinator,
    freeze_a_follower,
    isolate_coordinator,
    cut_in_two,
    lose_packets,
    stop_store,
    stop_store_and_kill,
    store_refuses_one,
    crash_servers,
    crash_all_engines,
    let_servers_leave,
    stop_vms_in_turn,
    replace_vms_in_turn,
    add_vms,
    remove_keys,
    remove_keys_while_one_is_cut_from_the_store,
    remove_keys_while_one_is_frozen,
    change_often,
    send_what_crashes,
    lose_all,
]


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda it: it.__name__)
def test_no_promise_breaks(trouble):
    assert count_served(play(trouble)) > 0.4


@pytest.mark.parametrize("trouble", [nothing, kill_coordinator, crash_all_engines])
def test_no_promise_breaks_under_twice_the_load(trouble):
    history = play(trouble, load=2.5, leave_share=0.1, abuse_share=0.1)
    assert any(it.code == "OVERLOADED" for it in history.attempts)


def test_quotas_hold_while_coordinators_change():
    history = play(kill_coordinators_in_a_row, load=1.5, quota_factor=0.6)
    assert any(it.code == "TOKENS_LIMITED" for it in history.attempts)


def test_a_killed_coordinator_costs_little():
    calm = count_served(play(nothing))
    assert count_served(play(kill_coordinator)) > calm - 0.05


def test_an_outage_of_the_store_costs_few_calls():
    async def outage(stage):
        stage.calls_before = stage.store.calls
        stage.stop_store(8.0)
        await stage.run(8.0)
        stage.calls_meanwhile = stage.store.calls - stage.calls_before

    calls = []

    async def count(stage):
        await outage(stage)
        calls.append(stage.calls_meanwhile)

    play(count, vms=8)
    # Two kinds of reads a second and VM, and half as many again at its beginning.
    assert calls[0] < 8 * 8 * 3
