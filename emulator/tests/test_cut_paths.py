"""Tests of VMs that reach no backend server, at the size of a site."""

import asyncio
from dataclasses import replace

import pytest

from emulator import Emulation, run_virtual
from emulator._sites import find_site

CALM_SECONDS = 4.0
CUT_SECONDS = 12.0
# From so many seconds after the cut first attempts count.
DETECTION_SECONDS = 1.0
# Least share of first attempts that are served, relative to those before the cut.
MIN_SERVED_RATIO = 0.95


def cut_paths(emulation, hosts, seconds):
    for host in hosts:
        for server in emulation.servers.values():
            emulation.cut(host, server.entry.host, seconds)


def compute_served_share(emulation, hosts, since, until):
    first = [
        request.attempts[0]
        for request in emulation.history.requests
        if request.attempts and since <= request.attempts[0].sent_at < until
    ]
    at_hosts = [it for it in first if it.host in hosts]
    return sum(it.is_complete and it.status == 200 for it in at_hosts) / len(at_hosts)


async def play(count, includes_coordinator):
    site = replace(find_site("brolga"), load=0.6)
    async with Emulation(site, 1) as emulation:
        emulation.start_traffic(CALM_SECONDS + CUT_SECONDS)
        since = emulation.loop.time()
        await emulation.run(CALM_SECONDS)
        coordinator = emulation.find_coordinator()
        hosts = [it for it in emulation.list_hosts() if it != coordinator]
        if includes_coordinator:
            hosts.insert(0, coordinator)
        cut_at = emulation.loop.time()
        cut_paths(emulation, hosts[:count], CUT_SECONDS)
        await emulation.run(CUT_SECONDS)
        await asyncio.sleep(8.0)
    return emulation, set(hosts[:count]), since, cut_at


@pytest.mark.parametrize("includes_coordinator", [False, True])
@pytest.mark.parametrize("count", [1, 3, 5, 7])
def test_cut_off_vms_serve_as_often_as_before(count, includes_coordinator):
    emulation, cut_hosts, since, cut_at = run_virtual(play(count, includes_coordinator))
    everyone = set(emulation.list_hosts())
    before = compute_served_share(emulation, everyone, since, cut_at - 1.0)
    measured = (cut_at + DETECTION_SECONDS, cut_at + CUT_SECONDS)
    for hosts in (cut_hosts, everyone - cut_hosts):
        share = compute_served_share(emulation, hosts, *measured)
        assert share >= MIN_SERVED_RATIO * before
