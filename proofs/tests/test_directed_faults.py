"""Tests of single faults and of fault sequences that depend on their order."""

import pytest

from emulator import Stage, run_virtual
from proofs import Oracle, make_site
from proofs._fault_actions import replace_all_vms, send_poison


def run_with_fault(fault, seconds=12.0, settle=10.0, seed=1, **options):
    """Inject a fault under traffic and assert that no guarantee is violated."""
    site = make_site(**options)

    async def run():
        async with Stage(site, seed) as stage:
            stage.start_traffic(seconds)
            await stage.run(2.0)
            await fault(stage)
            await stage.run(seconds + settle)
        return stage.evidence

    evidence = run_virtual(run())
    Oracle(site).assert_no_violations(evidence)
    return evidence


def compute_served_share(evidence):
    served = sum(it.is_served for it in evidence.requests)
    return served / len(evidence.requests)


async def no_fault(stage):
    return None


async def kill_coordinator(stage):
    stage.kill(stage.find_coordinator())


async def kill_coordinators_in_succession(stage):
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


async def partition_network(stage):
    hosts = stage.list_hosts()
    for first in hosts[::2]:
        for second in hosts[1::2]:
            stage.cut(first, second, 4.0)


async def drop_packets(stage):
    stage.network.loss = 0.05


async def stop_store(stage):
    stage.stop_store(6.0)


async def stop_store_and_kill_coordinator(stage):
    stage.stop_store(6.0)
    await stage.run(1.0)
    stage.kill(stage.find_coordinator())
    await stage.add_vm()


async def refuse_store_to_one_vm(stage):
    stage.refuse_store(stage.list_hosts()[1], 7.0)


async def crash_one_server_of_each_service(stage):
    stage.crash("llm-0", 2.0)
    await stage.run(0.5)
    stage.crash("app-0", 2.0)


async def crash_all_engines(stage):
    for name in ("llm-0", "llm-1", "llm-2"):
        stage.crash(name, 2.0)


async def remove_servers(stage):
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


async def revoke_keys(stage):
    stage.clients.old_key_share = 0.3
    stage.add_key("account-0", "fresh-0")
    await stage.run(1.0)
    stage.add_key("account-1", "fresh-1")


async def revoke_keys_while_one_vm_is_cut_off(stage):
    stage.clients.old_key_share = 0.3
    first, *others = stage.list_hosts()
    stage.refuse_store(first, 8.0)
    for host in others:
        stage.cut(first, host, 8.0)
    stage.add_key("account-0", "fresh-0")


async def revoke_keys_while_one_vm_is_frozen(stage):
    stage.clients.old_key_share = 0.3
    stage.freeze(stage.list_hosts()[2], 6.0)
    await stage.run(0.1)
    stage.add_key("account-0", "fresh-0")


async def change_config_repeatedly(stage):
    for _ in range(20):
        stage.apply_config()
        await stage.run(0.2)


async def send_poison_requests(stage):
    await send_poison(stage, 8, 0.6)


async def replace_all(stage):
    await replace_all_vms(stage, 1.0)


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
    evidence = run_with_fault(fault, load=2.5, leave_share=0.1, abuse_share=0.1)
    assert any(it.code == "OVERLOADED" for it in evidence.attempts)


def test_quotas_are_enforced_while_coordinators_change():
    evidence = run_with_fault(
        kill_coordinators_in_succession, load=1.5, quota_factor=0.6
    )
    assert any(it.code == "TOKENS_LIMITED" for it in evidence.attempts)


def test_killing_the_coordinator_loses_few_requests():
    share = compute_served_share(run_with_fault(no_fault))
    assert compute_served_share(run_with_fault(kill_coordinator)) > share - 0.05


def test_store_outage_causes_few_store_requests():
    async def outage(stage):
        stage.calls_before = stage.store.calls
        stage.stop_store(8.0)
        await stage.run(8.0)
        stage.calls_meanwhile = stage.store.calls - stage.calls_before

    calls = []

    async def count(stage):
        await outage(stage)
        calls.append(stage.calls_meanwhile)

    run_with_fault(count, vms=8)
    # Per VM: two kinds of reads a second, and half as many more as the outage starts.
    assert calls[0] < 8 * 8 * 3
