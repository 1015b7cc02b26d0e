"""Tests of backend servers that fall over when they reject too many requests."""

from dataclasses import dataclass, replace

import pytest

from emulator import Emulation, run_virtual
from emulator._sites import find_site

# From so many seconds after the first statement a server may have less room.
CONTACT_SECONDS = 3.0
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 3.0
# Falls that the platform allows, and the same for each server.
ALLOWED_FALLS = 2
ALLOWED_FALLS_PER_SERVER = 0.1
# Least completed requests a second, as a share of what the room should allow.
MIN_COMPLETED_SHARE = 0.5


@dataclass(frozen=True)
class Replay:
    """Describe brittle backend servers, and what happens meanwhile."""

    max_rejections: float = 1.0
    room: int = 3
    service: str = "llm"
    seconds: float = 12.0
    load: float = 1.5
    # Method of the emulation called on the coordinator's host.
    fault: str = ""
    fault_count: int = 1


async def play(replay, seed):
    site = replace(find_site("brolga"), load=replay.load)
    async with Emulation(site, seed) as emulation:
        servers = [
            it
            for it in emulation.servers.values()
            if it.entry.service == replay.service
        ]
        emulation.start_traffic(
            BEFORE_SECONDS + CONTACT_SECONDS + replay.seconds + AFTER_SECONDS
        )
        await emulation.run(BEFORE_SECONDS)
        for server in servers:
            server.max_rejections = replay.max_rejections
        await emulation.run(CONTACT_SECONDS)
        since = emulation.loop.time()
        for server in servers:
            server.room = replay.room
        await emulation.run(replay.seconds / 3)
        for _ in range(replay.fault_count if replay.fault else 0):
            host = emulation.find_coordinator()
            if replay.fault == "kill":
                emulation.kill(host)
                await emulation.run(1.0)
                await emulation.add_vm(host)
            else:
                getattr(emulation, replay.fault)(host, 3.0)
            await emulation.run(1.0)
        await emulation.run(since + replay.seconds - emulation.loop.time())
        until = emulation.loop.time()
        for server in servers:
            server.max_rejections = server.room = None
        await emulation.run(AFTER_SECONDS)
    return emulation, servers, since, until


def compute_rate(emulation, service, since, until):
    completed = sum(
        run.is_complete and run.service == service and since <= run.ended_at < until
        for run in emulation.history.runs
    )
    return completed / (until - since)


REPLAYS = {
    "one rejection a second": Replay(),
    "three rejections a second": Replay(max_rejections=3.0),
    "plain service": Replay(service="app", room=2, load=3.0),
    "plain service, three": Replay(3.0, 2, "app", load=3.0),
    "room for one": Replay(room=1),
    "overload": Replay(load=3.0),
    "coordinator killed": Replay(fault="kill"),
    "coordinator killed, plain": Replay(1.0, 2, "app", load=3.0, fault="kill"),
    "coordinators killed in series": Replay(fault="kill", fault_count=3),
    "coordinator frozen": Replay(fault="freeze"),
    "coordinator cut off": Replay(fault="isolate"),
}


@pytest.mark.parametrize("seed", [1])
@pytest.mark.parametrize("name", REPLAYS)
def test_brittle_servers_seldom_fall_over(name, seed):
    replay = REPLAYS[name]
    emulation, servers, since, until = run_virtual(play(replay, seed))
    falls = sum(len(server.fell_at) for server in servers)
    assert falls <= ALLOWED_FALLS + ALLOWED_FALLS_PER_SERVER * len(servers)
    before = compute_rate(emulation, replay.service, since - CONTACT_SECONDS, since)
    during = compute_rate(emulation, replay.service, since + 2.0, until)
    slots = servers[0].entry.slots
    assert during >= MIN_COMPLETED_SHARE * before * replay.room / slots


def test_servers_that_are_no_longer_brittle_get_their_slots_back():
    replay = Replay(load=2.0, seconds=6.0)
    emulation, servers, since, until = run_virtual(play(replay, 1))
    before = compute_rate(emulation, replay.service, since - CONTACT_SECONDS, since)
    after = compute_rate(emulation, replay.service, until + 1, until + AFTER_SECONDS)
    assert after >= 0.8 * before
