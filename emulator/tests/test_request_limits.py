"""Tests of backend servers that state how many requests they take per second."""

from dataclasses import dataclass, replace

import pytest

from emulator import Emulation, run_virtual
from emulator._sites import find_site

# The platform's bounds: so many seconds after the first statement, all VMs together
# send at most the limit with a margin in any window.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_MARGIN_REQUESTS = 5
BEFORE_SECONDS = 3.0


@dataclass(frozen=True)
class Replay:
    """Describe backend servers that state limits, and what happens meanwhile."""

    # Limit by the number of the server, counted from the fastest.
    limits: tuple[float, ...] = (2.2,)
    service: str = "llm"
    # The servers state their limits on each so many responses.
    limit_interval: int = 1
    seconds: float = 8.0
    load: float = 1.0
    # Method of the emulation called on the coordinator's host after some seconds.
    fault: str = ""
    fault_seconds: float = 4.0
    fault_count: int = 1


async def play(replay, seed):
    site = replace(find_site("brolga"), load=replay.load)
    async with Emulation(site, seed) as emulation:
        emulation.start_traffic(BEFORE_SECONDS + replay.seconds)
        await emulation.run(BEFORE_SECONDS)
        stated_at = emulation.loop.time()
        for number, limit in enumerate(replay.limits):
            server = emulation.servers[f"{replay.service}-{number}"]
            server.request_limit = limit
            server.limit_interval = replay.limit_interval
        await emulation.run(CONTACT_SECONDS + 1.0)
        for _ in range(replay.fault_count if replay.fault else 0):
            host = emulation.find_coordinator()
            if replay.fault == "kill":
                emulation.kill(host)
                await emulation.run(1.0)
                await emulation.add_vm(host)
            else:
                getattr(emulation, replay.fault)(host, replay.fault_seconds)
            await emulation.run(2.0)
        await emulation.run(replay.seconds)
    return emulation, stated_at


def find_violations(emulation, replay, stated_at):
    """Yield a sentence for each server that got more than its limit allows.

    Counts VMs that were not told of the limit, too, which the platform doesn't.
    """
    faults = [it for it in emulation.history.faults if it.kind != "kill"]
    excused = {it.target for it in faults}
    for number, limit in enumerate(replay.limits):
        name = f"{replay.service}-{number}"
        counted = [
            run.arrived_at
            for run in emulation.history.runs
            if run.server == name
            and run.arrived_at > stated_at + CONTACT_SECONDS
            and run.host not in excused
        ]
        allowed = LIMIT_FACTOR * WINDOW_SECONDS * limit + LIMIT_MARGIN_REQUESTS
        most = max(
            (sum(at <= it < at + WINDOW_SECONDS for it in counted) for at in counted),
            default=0,
        )
        if most > allowed:
            yield f"{name}: limit {limit}, {most} in 4 s, allowed {allowed:.0f}"


REPLAYS = {
    "one server": Replay(),
    "one request a second": Replay(limits=(1.0,)),
    "one request in two seconds": Replay(limits=(0.5,)),
    "no requests": Replay(limits=(0.0,)),
    "two servers": Replay(limits=(2.2, 1.3)),
    "each second response": Replay(limits=(1.0, 2.0), limit_interval=2),
    "each third response": Replay(limits=(1.0, 2.0), limit_interval=3),
    "plain service": Replay(limits=(1.5,), service="app"),
    "all servers of a service": Replay(limits=(2.0,) * 5),
    "coordinator killed": Replay(limits=(2.2, 0.5), fault="kill"),
    "coordinators killed in series": Replay(
        limits=(2.2, 0.5), fault="kill", fault_count=4
    ),
    "coordinator frozen": Replay(limits=(2.2, 0.5), fault="freeze"),
    "coordinator cut off": Replay(limits=(2.2, 0.5), fault="isolate"),
    "coordinators cut off in series": Replay(
        limits=(2.2, 0.5), fault="isolate", fault_count=4
    ),
}


@pytest.mark.parametrize("seed", [1])
@pytest.mark.parametrize("name", REPLAYS)
def test_request_limit_of_a_backend_server_is_kept(name, seed):
    replay = REPLAYS[name]
    emulation, stated_at = run_virtual(play(replay, seed))
    assert not list(find_violations(emulation, replay, stated_at))


def count_arrivals(emulation, server, since, until):
    return sum(
        run.server == server and since <= run.arrived_at < until
        for run in emulation.history.runs
    )


@pytest.mark.parametrize("limit", [0.5, 2.0])
def test_limit_ends_when_it_is_no_longer_stated(limit):
    async def run():
        async with Emulation(find_site("brolga"), 1) as emulation:
            server, loop = emulation.servers["llm-0"], emulation.loop
            emulation.start_traffic(26.0)
            await emulation.run(6.0)
            usual = count_arrivals(emulation, "llm-0", loop.time() - 4.0, loop.time())
            server.request_limit = limit
            await emulation.run(6.0)
            server.request_limit = None
            await emulation.run(8.0)
            since = loop.time()
            await emulation.run(4.0)
            return usual, count_arrivals(emulation, "llm-0", since, loop.time())

    usual, after = run_virtual(run())
    assert after >= 0.5 * usual


def test_new_process_of_a_limited_backend_server_starts_without_a_limit():
    async def run():
        async with Emulation(find_site("brolga"), 1) as emulation:
            server, loop = emulation.servers["llm-0"], emulation.loop
            emulation.start_traffic(16.0)
            await emulation.run(3.0)
            server.request_limit = 0.0
            await emulation.run(4.0)
            emulation.crash("llm-0", 1.0)
            await emulation.run(1.0)
            server.request_limit = None
            server.entry = replace(server.entry, born_ms=2)
            emulation.store.backends["llm-0"] = server.entry
            emulation.store.increment_revision()
            await emulation.run(2.0)
            since = loop.time()
            await emulation.run(4.0)
            return count_arrivals(emulation, "llm-0", since, loop.time())

    assert run_virtual(run()) > LIMIT_MARGIN_REQUESTS


def test_vms_that_lost_each_other_keep_a_limit_together():
    async def run():
        async with Emulation(find_site("brolga"), 1) as emulation:
            loop = emulation.loop
            emulation.start_traffic(24.0)
            await emulation.run(2.0)
            emulation.servers["llm-0"].request_limit = 2.0
            await emulation.run(4.0)
            hosts = emulation.list_hosts()
            for index, first in enumerate(hosts):
                for second in hosts[index + 1 :]:
                    emulation.cut(first, second, 16.0)
            since = loop.time()
            await emulation.run(18.0)
            return [
                it.arrived_at
                for it in emulation.history.runs
                if it.server == "llm-0" and it.arrived_at > since
            ]

    times = run_virtual(run())
    most = max(sum(at <= it < at + WINDOW_SECONDS for it in times) for at in times)
    assert most <= LIMIT_FACTOR * WINDOW_SECONDS * 2.0 + LIMIT_MARGIN_REQUESTS


def test_requests_beyond_the_limits_of_all_servers_are_refused_at_once():
    emulation, stated_at = run_virtual(play(REPLAYS["all servers of a service"], 1))
    since = stated_at + CONTACT_SECONDS
    refused = [
        attempt
        for it in emulation.history.requests
        for attempt in it.attempts
        if attempt.sent_at > since and attempt.code == "OVERLOADED"
    ]
    waits = sorted(it.ended_at - it.sent_at for it in refused)
    assert len(waits) > 100
    assert waits[len(waits) // 2] < 0.3
    assert all(it.retry_after for it in refused)
