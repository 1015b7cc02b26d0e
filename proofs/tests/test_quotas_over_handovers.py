"""Tests of quotas while coordinators change and VMs lose each other."""

import pytest

from .quota_pressure import LIMIT, press


async def stop_coordinator(emulation):
    await emulation.run(5.0)
    host = emulation.find_coordinator()
    emulation.stop(host)
    await emulation.run(3.0)
    await emulation.add_vm(host)


async def stop_two_coordinators(emulation):
    await emulation.run(3.0)
    for _ in range(2):
        emulation.stop(emulation.find_coordinator())
        await emulation.run(2.0)


async def kill_coordinator(emulation):
    await emulation.run(4.0)
    emulation.kill(emulation.find_coordinator())


async def kill_coordinators_in_series(emulation):
    await emulation.run(2.0)
    for _ in range(4):
        host = emulation.find_coordinator()
        emulation.kill(host)
        await emulation.run(1.0)
        await emulation.add_vm(host)
        await emulation.run(0.5)


async def kill_coordinator_with_half_of_the_fleet(emulation):
    await emulation.run(4.0)
    coordinator = emulation.find_coordinator()
    others = [it for it in emulation.list_hosts() if it != coordinator]
    for host in (coordinator, *others[:3]):
        emulation.kill(host)
    await emulation.run(1.0)
    for host in (coordinator, *others[:3]):
        await emulation.add_vm(host)


HANDOVERS = [
    stop_coordinator,
    stop_two_coordinators,
    kill_coordinator,
    kill_coordinators_in_series,
    kill_coordinator_with_half_of_the_fleet,
]


@pytest.mark.parametrize("vms", [3, 8])
@pytest.mark.parametrize("disrupt", HANDOVERS, ids=lambda it: it.__name__)
def test_burst_is_granted_once_over_a_change_of_coordinators(disrupt, vms):
    pressure = press(disrupt, vms=vms)
    assert pressure.find_highest_usage() <= LIMIT
    assert pressure.refusals == []
