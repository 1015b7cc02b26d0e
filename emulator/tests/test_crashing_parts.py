"""Tests of prompts with one part that crashes each engine that answers on it."""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

import pytest

from emulator import Emulation, run_virtual
from emulator._sites import find_site
from fireflyquay.dispatch._crash_tracker import MIN_QUARANTINE_SECONDS

# The platform's bounds: at most so many requests with a part reach backend servers once
# it has crashed five of them and these seconds have passed.
CRASHES_BEFORE_BOUND = 5
CONTACT_SECONDS = 3.0
MAX_LATE_REQUESTS = 3
# Sound requests beside it begin at least half as often as before.
MIN_SOUND_SHARE = 0.5
BEFORE_SECONDS = 4.0
# Seconds between requests with a part that crashes engines.
POISON_INTERVAL = 0.7
SYSTEM_PART = "system"


@dataclass(frozen=True)
class Replay:
    """Describe requests that crash engines among many sound ones."""

    parts: Sequence[str] = ("bad",)
    seconds: float = 14.0
    # Sound requests, as a share of those of a usual day.
    load: float = 1.0
    # Seconds after the first such request at which the parts stop crashing engines.
    cured_after: float | None = None
    sends_first_event: bool = False
    kills_coordinator: bool = False
    kind: str = "quote-tag"


class Traffic:
    """Send sound requests, and requests with a part that crashes engines."""

    def __init__(self, emulation: Emulation, seed: int, load: float = 1.0) -> None:
        self.emulation = emulation
        self.load = load
        self.rng = random.Random(seed)
        self.sound = []
        self.poisoned = {}
        self._document_numbers = itertools.count()

    async def send_sound(self, seconds: float) -> None:
        loop, kinds = self.emulation.loop, ("cert-report", "job-note", "quote-tag")
        rates = [self.load * self.emulation.get_kind(name).rate for name in kinds]
        until = loop.time() + seconds
        while loop.time() < until:
            await self.emulation.run(self.rng.expovariate(sum(rates)))
            name = self.rng.choices(kinds, rates)[0]
            # Some documents are asked about all the time, some just once or twice.
            document = f"doc{min(int(self.rng.expovariate(0.1)), 60)}"
            if self.rng.random() < 0.2:
                document = f"rare{next(self._document_numbers) // 2}"
            self.sound.append(self._send(name, (SYSTEM_PART, document)))

    async def send_poisoned(self, part: str, kind: str, seconds: float) -> None:
        until = self.emulation.loop.time() + seconds
        while self.emulation.loop.time() < until:
            document = f"doc{int(self.rng.expovariate(0.1))}"
            parts = (SYSTEM_PART, part, document)
            self.poisoned.setdefault(part, []).append(self._send(kind, parts))
            await self.emulation.run(POISON_INTERVAL * self.rng.uniform(0.5, 1.5))

    def _send(self, kind: str, parts: tuple[str, ...]):
        clients = self.emulation.clients
        return clients.send(self.emulation.get_kind(kind), shared_parts=parts)

    def compute_begun_share(self, since: float, until: float) -> float:
        """Return the share of sound requests that began at their first attempt."""
        asked = [it for it in self.sound if since <= it.sent_at < until]
        begun = {
            run.attempt
            for run in self.emulation.history.runs
            if run.began_at is not None
        }
        return sum(it.attempts[0].id in begun for it in asked if it.attempts) / len(
            asked
        )

    def list_arrivals(self, part: str, since: float) -> list[float]:
        """Return the times at which requests with a part reached backend servers."""
        attempts = {attempt.id for it in self.poisoned[part] for attempt in it.attempts}
        runs = self.emulation.history.runs
        return [
            run.arrived_at
            for run in runs
            if run.attempt in attempts and run.arrived_at > since
        ]


async def play(replay: Replay, seed: int) -> tuple[Emulation, Traffic]:
    site = replace(find_site("brolga"), disconnect_share=0.0)
    async with Emulation(site, seed) as emulation:
        traffic = Traffic(emulation, seed, replay.load)
        crashing = emulation.crashing_parts
        crashing.names.update(replay.parts)
        crashing.sends_first_event = replay.sends_first_event
        tasks = [
            emulation.loop.create_task(
                traffic.send_sound(BEFORE_SECONDS + replay.seconds)
            )
        ]
        await emulation.run(BEFORE_SECONDS)
        for part in replay.parts:
            tasks.append(
                emulation.loop.create_task(
                    traffic.send_poisoned(part, replay.kind, replay.seconds)
                )
            )
        if replay.kills_coordinator:
            await emulation.run(2.5)
            host = emulation.find_coordinator()
            emulation.kill(host)
            await emulation.run(1.0)
            await emulation.add_vm(host)
        if replay.cured_after is not None:
            await emulation.run(replay.cured_after)
            crashing.names.clear()
        for task in tasks:
            await task
        await emulation.run(4.0)
    return emulation, traffic


def find_violations(emulation: Emulation, traffic: Traffic, replay: Replay):
    for part, times in emulation.crashing_parts.crashed_at.items():
        if len(times) >= CRASHES_BEFORE_BOUND:
            bound = times[CRASHES_BEFORE_BOUND - 1] + CONTACT_SECONDS
            late = traffic.list_arrivals(part, bound)
            if len(late) > MAX_LATE_REQUESTS:
                yield f"{part}: {len(times)} crashes, then {len(late)} arrivals"
    start = traffic.sound[0].sent_at
    before = traffic.compute_begun_share(start, start + BEFORE_SECONDS)
    last_counted = max(
        times[:CRASHES_BEFORE_BOUND][-1]
        for times in emulation.crashing_parts.crashed_at.values()
    )
    since, until = last_counted + 2 * CONTACT_SECONDS, start + BEFORE_SECONDS
    after = traffic.compute_begun_share(since, until + replay.seconds)
    if after < MIN_SOUND_SHARE * before:
        yield f"sound requests: {before:.2f} began before, {after:.2f} beside"


REPLAYS = {
    "one part": Replay(),
    "long streams": Replay(kind="job-note"),
    "at most once": Replay(kind="cert-report"),
    "first event sent": Replay(sends_first_event=True),
    "first event sent, resumed": Replay(kind="job-note", sends_first_event=True),
    "coordinator killed": Replay(kills_coordinator=True),
    "two parts at once": Replay(parts=("bad", "worse")),
}


@pytest.mark.parametrize("seed", [1])
@pytest.mark.parametrize("name", REPLAYS)
def test_part_that_crashes_engines_is_kept_from_them(name, seed):
    replay = REPLAYS[name]
    emulation, traffic = run_virtual(play(replay, seed))
    assert not list(find_violations(emulation, traffic, replay))


def test_part_that_no_longer_crashes_engines_is_served_again():
    replay = Replay(seconds=50.0, load=0.2, cured_after=6.0)
    emulation, traffic = run_virtual(play(replay, 1))
    [times] = emulation.crashing_parts.crashed_at.values()
    assert len(times) <= CRASHES_BEFORE_BOUND
    released_by = times[-1] + MIN_QUARANTINE_SECONDS * 2 ** (len(times) - 3) + 5.0
    late = [it for it in traffic.poisoned["bad"] if it.sent_at > released_by]
    assert late
    assert sum(it.is_served for it in late) >= 0.9 * len(late)


def test_engines_that_crash_by_themselves_quarantine_no_request():
    async def run():
        site = replace(find_site("brolga"), disconnect_share=0.0)
        async with Emulation(site, 1) as emulation:
            traffic = Traffic(emulation, 1)
            task = emulation.loop.create_task(traffic.send_sound(20.0))
            for number in range(12):
                emulation.crash(f"llm-{number % 5}", 1.0)
                await emulation.run(1.5)
            await task
            await emulation.run(4.0)
        return traffic

    traffic = run_virtual(run())
    attempts = [attempt for it in traffic.sound for attempt in it.attempts]
    assert len(attempts) > 500
    assert not [it for it in attempts if it.code == "QUARANTINED"]


def test_vm_that_joins_knows_what_crashes_engines():
    async def run():
        site = replace(find_site("brolga"), disconnect_share=0.0)
        async with Emulation(site, 1) as emulation:
            traffic = Traffic(emulation, 1)
            emulation.crashing_parts.names.add("bad")
            await traffic.send_poisoned("bad", "quote-tag", 8.0)
            for host in emulation.list_hosts():
                emulation.kill(host)
                await emulation.run(0.5)
                await emulation.add_vm(host)
                await emulation.run(1.5)
            replaced_at = emulation.loop.time()
            await traffic.send_poisoned("bad", "quote-tag", 8.0)
        return emulation, traffic.list_arrivals("bad", replaced_at)

    emulation, arrivals = run_virtual(run())
    assert len(emulation.crashing_parts.crashed_at["bad"]) <= CRASHES_BEFORE_BOUND
    assert not arrivals
