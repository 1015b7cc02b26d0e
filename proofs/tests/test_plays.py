"""Directed plays: each trouble alone, and orders of them that matter."""

import pytest

from emulator import Emulation, run_virtual
from proofs import Oracle, make_site
from proofs._troubles import lose_all_vms, send_poison


def play(trouble, seconds=12.0, settle=10.0, seed=1, **site):
    """Run traffic beside a trouble and judge what was seen."""
    place = make_site(**site)

    async def run():
        async with Emulation(place, seed) as emulation:
            emulation.start_traffic(seconds)
            await emulation.run(2.0)
            await trouble(emulation)
            await emulation.run(seconds + settle)
        return emulation.history

    history = run_virtual(run())
    Oracle(place).assert_clean(history)
    return history


def count_served(history):
    served = sum(it.is_served for it in history.requests)
    return served / len(history.requests)


async def nothing(emulation):
    return None


async def kill_coordinator(emulation):
    emulation.kill(emulation.find_coordinator())


async def kill_coordinators_in_a_row(emulation):
    for _ in range(3):
        emulation.kill(emulation.find_coordinator())
        await emulation.run(0.7)


async def freeze_coordinator(emulation):
    emulation.freeze(emulation.find_coordinator(), 3.0)


async def freeze_a_follower(emulation):
    host = next(
        it for it in emulation.list_hosts() if it != emulation.find_coordinator()
    )
    emulation.freeze(host, 4.0)


async def isolate_coordinator(emulation):
    emulation.isolate(emulation.find_coordinator(), 4.0)


async def cut_in_two(emulation):
    hosts = emulation.list_hosts()
    for first in hosts[::2]:
        for second in hosts[1::2]:
            emulation.cut(first, second, 4.0)


async def lose_packets(emulation):
    emulation.network.loss_rate = 0.05


async def stop_store(emulation):
    emulation.stop_store(6.0)


async def stop_store_and_kill(emulation):
    emulation.stop_store(6.0)
    await emulation.run(1.0)
    emulation.kill(emulation.find_coordinator())
    await emulation.add_vm()


async def store_refuses_one(emulation):
    emulation.refuse_store(emulation.list_hosts()[1], 7.0)


async def crash_servers(emulation):
    emulation.crash("llm-0", 2.0)
    await emulation.run(0.5)
    emulation.crash("app-0", 2.0)


async def crash_all_engines(emulation):
    for name in ("llm-0", "llm-1", "llm-2"):
        emulation.crash(name, 2.0)


async def let_servers_leave(emulation):
    emulation.remove("llm-1")
    emulation.remove("app-1")


async def stop_vms_in_turn(emulation):
    for host in emulation.list_hosts()[:3]:
        emulation.stop(host)
        await emulation.run(1.5)


async def replace_vms_in_turn(emulation):
    for host in emulation.list_hosts()[:3]:
        emulation.kill(host)
        await emulation.add_vm(host)
        await emulation.run(1.0)


async def add_vms(emulation):
    for _ in range(3):
        await emulation.add_vm()


async def remove_keys(emulation):
    emulation.clients.revoked_key_share = 0.3
    emulation.rotate_key("account-0", "fresh-0")
    await emulation.run(1.0)
    emulation.rotate_key("account-1", "fresh-1")


async def remove_keys_while_one_is_cut_from_the_store(emulation):
    emulation.clients.revoked_key_share = 0.3
    first, *others = emulation.list_hosts()
    emulation.refuse_store(first, 8.0)
    for host in others:
        emulation.cut(first, host, 8.0)
    emulation.rotate_key("account-0", "fresh-0")


async def remove_keys_while_one_is_frozen(emulation):
    emulation.clients.revoked_key_share = 0.3
    emulation.freeze(emulation.list_hosts()[2], 6.0)
    await emulation.run(0.1)
    emulation.rotate_key("account-0", "fresh-0")


async def change_often(emulation):
    for _ in range(20):
        emulation.apply_config()
        await emulation.run(0.2)


async def send_what_crashes(emulation):
    await send_poison(emulation, 8, 0.6)


async def lose_all(emulation):
    await lose_all_vms(emulation, 1.0)


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
    history = play(trouble, load=2.5, disconnect_share=0.1, abuser_share=0.1)
    assert any(it.code == "OVERLOADED" for it in history.attempts)


def test_quotas_hold_while_coordinators_change():
    history = play(kill_coordinators_in_a_row, load=1.5, quota_factor=0.6)
    assert any(it.code == "TOKENS_LIMITED" for it in history.attempts)


def test_a_killed_coordinator_costs_little():
    calm = count_served(play(nothing))
    assert count_served(play(kill_coordinator)) > calm - 0.05


def test_an_outage_of_the_store_costs_few_calls():
    async def outage(emulation):
        emulation.calls_before = emulation.store.calls
        emulation.stop_store(8.0)
        await emulation.run(8.0)
        emulation.calls_meanwhile = emulation.store.calls - emulation.calls_before

    calls = []

    async def count(emulation):
        await outage(emulation)
        calls.append(emulation.calls_meanwhile)

    play(count, vms=8)
    # Two kinds of reads a second and VM, and half as many again at its beginning.
    assert calls[0] < 8 * 8 * 3
