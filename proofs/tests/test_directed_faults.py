"""Tests of single faults and of fixed sequences of faults."""

import pytest

from emulator import Emulation, run_virtual
from proofs import Oracle, make_site
from proofs._fault_actions import replace_all_vms, send_poison


def run_with_fault(fault, seconds=12.0, settle_seconds=10.0, seed=1, **options):
    """Inject a fault under traffic and assert that no guarantee is violated."""
    site = make_site(**options)

    async def run():
        async with Emulation(site, seed) as emulation:
            emulation.start_traffic(seconds)
            await emulation.run(2.0)
            await fault(emulation)
            await emulation.run(seconds + settle_seconds)
        return emulation.history

    history = run_virtual(run())
    Oracle(site).assert_no_violations(history)
    return history


def compute_served_share(history):
    served = sum(it.is_served for it in history.requests)
    return served / len(history.requests)


async def no_fault(emulation):
    return None


async def kill_coordinator(emulation):
    emulation.kill(emulation.find_coordinator())


async def kill_coordinators_in_succession(emulation):
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


async def partition_network(emulation):
    hosts = emulation.list_hosts()
    # The hosts of each half no longer reach those of the other half.
    for first in hosts[::2]:
        for second in hosts[1::2]:
            emulation.cut(first, second, 4.0)


async def drop_packets(emulation):
    emulation.network.loss_rate = 0.05


async def stop_store(emulation):
    emulation.stop_store(6.0)


async def stop_store_and_kill_coordinator(emulation):
    emulation.stop_store(6.0)
    await emulation.run(1.0)
    emulation.kill(emulation.find_coordinator())
    await emulation.add_vm()


async def refuse_store_to_one_vm(emulation):
    emulation.refuse_store(emulation.list_hosts()[1], 7.0)


async def crash_one_server_of_each_service(emulation):
    emulation.crash("llm-0", 2.0)
    await emulation.run(0.5)
    emulation.crash("app-0", 2.0)


async def crash_all_engines(emulation):
    for name in ("llm-0", "llm-1", "llm-2"):
        emulation.crash(name, 2.0)


async def remove_servers(emulation):
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


async def revoke_keys(emulation):
    emulation.clients.revoked_key_share = 0.3
    emulation.rotate_key("account-0", "fresh-0")
    await emulation.run(1.0)
    emulation.rotate_key("account-1", "fresh-1")


async def revoke_keys_while_one_vm_is_cut_off(emulation):
    emulation.clients.revoked_key_share = 0.3
    first, *others = emulation.list_hosts()
    emulation.refuse_store(first, 8.0)
    for host in others:
        emulation.cut(first, host, 8.0)
    emulation.rotate_key("account-0", "fresh-0")


async def revoke_keys_while_one_vm_is_frozen(emulation):
    emulation.clients.revoked_key_share = 0.3
    emulation.freeze(emulation.list_hosts()[2], 6.0)
    await emulation.run(0.1)
    emulation.rotate_key("account-0", "fresh-0")


async def change_config_repeatedly(emulation):
    for _ in range(20):
        emulation.apply_config()
        await emulation.run(0.2)


async def send_poison_requests(emulation):
    await send_poison(emulation, 8, 0.6)


async def replace_all(emulation):
    await replace_all_vms(emulation, 1.0)


FAULTS = [
    no_fault,
    kill_coordinator,
    kill_coordinators_in_succession,
    freeze_coordinator,
    freeze_a_follower,
    isolate_coordinator,
    partition_network,
    drop_packets,
    stop_store,
    stop_store_and_kill_coordinator,
    refuse_store_to_one_vm,
    crash_one_server_of_each_service,
    crash_all_engines,
    remove_servers,
    stop_vms_in_turn,
    replace_vms_in_turn,
    add_vms,
    revoke_keys,
    revoke_keys_while_one_vm_is_cut_off,
    revoke_keys_while_one_vm_is_frozen,
    change_config_repeatedly,
    send_poison_requests,
    replace_all,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda it: it.__name__)
def test_fault_violates_no_guarantee(fault):
    assert compute_served_share(run_with_fault(fault)) > 0.4


@pytest.mark.parametrize("fault", [no_fault, kill_coordinator, crash_all_engines])
def test_fault_under_overload_violates_no_guarantee(fault):
    history = run_with_fault(fault, load=2.5, disconnect_share=0.1, abuser_share=0.1)
    assert any(it.code == "OVERLOADED" for it in history.attempts)


def test_quotas_are_enforced_while_coordinators_change():
    history = run_with_fault(
        kill_coordinators_in_succession, load=1.5, quota_factor=0.6
    )
    assert any(it.code == "TOKENS_LIMITED" for it in history.attempts)


def test_killing_the_coordinator_loses_few_requests():
    share = compute_served_share(run_with_fault(no_fault))
    assert compute_served_share(run_with_fault(kill_coordinator)) > share - 0.05


def test_store_outage_causes_few_store_requests():
    async def outage(emulation):
        emulation.calls_before = emulation.store.calls
        emulation.stop_store(8.0)
        await emulation.run(8.0)
        emulation.calls_meanwhile = emulation.store.calls - emulation.calls_before

    calls = []

    async def count(emulation):
        await outage(emulation)
        calls.append(emulation.calls_meanwhile)

    run_with_fault(count, vms=8)
    # Each VM reads two kinds of records once a second, and half as many more reads
    # occur when the outage starts.
    assert calls[0] < 8 * 8 * 3
