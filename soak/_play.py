"""One play: traffic beside faults, then calm, then the verdict."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from fleetwire.tests.client import Client, ClientRequest
from fleetwire.tests.cluster import HOST

from ._evidence import Evidence
from ._faults import Faults
from ._fleet import Fleet

# Requests a second.
RATE = 40.0
# Prompt and output tokens of a stream.
TOKENS = (400, 20)
# Seconds of calm after the faults, and the first of them in which anything may fail.
CALM_SECONDS = 4.0
RECOVERY_SECONDS = 2.5
MIN_SERVED_SHARE = 0.5
KINDS = ("draft", "ask", "book", "look")
STREAMS = ("draft", "ask")
# Part of the requests that still use a key that was taken away.
OLD_KEY_SHARE = 0.1
REQUEST_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold how a play ended."""

    seed: int
    requests: int
    served: float
    faults: int
    violations: tuple[str, ...]


async def play(seed: int, seconds: float, gateways: int, mutant: str = "") -> Verdict:
    """Run a fleet under faults drawn from a seed and judge what was seen."""
    rng = random.Random(seed)
    fleet, evidence = Fleet(gateways, mutant), Evidence()
    try:
        await fleet.start(plain=3, engines=3)
        traffic = Traffic(fleet, evidence, rng)
        sending = asyncio.ensure_future(traffic.run())
        await Faults(fleet, evidence, random.Random(seed + 1)).run(seconds)
        calm_from = asyncio.get_running_loop().time() + RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS + CALM_SECONDS)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await traffic.finish()
        violations = evidence.find_violations(fleet.workers)
        served = evidence.measure_served(calm_from)
        if served < MIN_SERVED_SHARE:
            violations.append(f"only {served:.0%} were served after the faults")
        count = len(evidence.outcomes)
        faults = evidence.faults.total()
        return Verdict(seed, count, served, faults, tuple(violations))
    finally:
        await fleet.close()


class Traffic:
    """Send all kinds of work; some clients keep connections and old keys."""

    def __init__(self, fleet: Fleet, evidence: Evidence, rng: random.Random) -> None:
        self._fleet = fleet
        self._evidence = evidence
        self._rng = rng
        places = [(program.host, fleet.ports[2]) for program in fleet.programs]
        self._clients = [
            Client(self._shuffle(places), random.Random(rng.random())) for _ in range(4)
        ]
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            self._spawn(self._send())
            await asyncio.sleep(self._rng.expovariate(RATE))

    async def finish(self) -> None:
        """Wait for all that is in progress."""
        await asyncio.gather(*self._tasks)
        for client in self._clients:
            await client.close()

    async def _send(self) -> None:
        kind = self._rng.choice(KINDS)
        self._number += 1
        key = self._fleet.key
        if self._rng.random() < OLD_KEY_SHARE:
            key = self._rng.choice(self._fleet.old_keys or [key])
        request = ClientRequest(
            f"/{kind}/{self._number}",
            key,
            HOST,
            is_idempotent=kind == "look",
            tokens=TOKENS if kind in STREAMS else None,
            timeout_seconds=REQUEST_SECONDS,
        )
        self._evidence.outcomes.append(
            await self._rng.choice(self._clients).send(request)
        )

    def _shuffle(self, places: list[tuple[str, int]]) -> list[tuple[str, int]]:
        return self._rng.sample(places, len(places))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
