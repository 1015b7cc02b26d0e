"""Soak run: traffic under faults, then without, followed by the checks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fleetwire.tests.client import Client, ClientRequest
from fleetwire.tests.cluster import HOST
from fleetwire.tests.fleet import REPOSITORY_ROOT

from ._faults import FaultInjector
from ._fleet import Fleet
from ._history import SoakHistory

REQUESTS_PER_SECOND = 40.0
# Prompt tokens and output tokens of a stream.
STREAM_TOKENS = (400, 20)
# Requests may still fail during RECOVERY_SECONDS after the last fault; of those
# sent in the FAULT_FREE_SECONDS that follow, MIN_SERVED_SHARE must be served.
FAULT_FREE_SECONDS = 4.0
RECOVERY_SECONDS = 2.5
MIN_SERVED_SHARE = 0.5
KINDS = ("draft", "ask", "book", "look")
STREAM_KINDS = ("draft", "ask")
# Share of the requests that use a revoked key.
REVOKED_KEY_SHARE = 0.1
REQUEST_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Hold the result of one run."""

    seed: int
    request_count: int
    served_share: float
    fault_count: int
    violations: tuple[str, ...]


async def run_soak(
    seed: int,
    seconds: float,
    gateway_count: int,
    mutant: str = "",
    draws_later_faults: bool = True,
    production: Path = REPOSITORY_ROOT,
) -> SoakResult:
    """Run a fleet under faults drawn from a seed and return the result.

    Seeds from before some faults were added draw as they did without them. The
    gateways start with the build in the folder ``production`` and are replaced by
    this one in turn if it is another.
    """
    rng = random.Random(seed)
    fleet, history = Fleet(gateway_count, mutant, production), SoakHistory()
    try:
        await fleet.start(plain_count=3, engine_count=3)
        traffic = TrafficGenerator(fleet, history, rng)
        traffic_task = asyncio.ensure_future(traffic.run())
        # The faults have their own generator, so that traffic does not change them.
        silences = random.Random(seed + 2) if draws_later_faults else None
        leaves = random.Random(seed + 3) if draws_later_faults else None
        injector = FaultInjector(
            fleet,
            history,
            random.Random(seed + 1),
            draws_later_faults,
            silences,
            leaves,
        )
        await injector.run(seconds)
        fault_free_since = asyncio.get_running_loop().time() + RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS + FAULT_FREE_SECONDS)
        traffic_task.cancel()
        await asyncio.gather(traffic_task, return_exceptions=True)
        await traffic.finish()
        violations = history.find_violations(fleet.workers)
        for gateway in fleet.gateways:
            violations += gateway.list_unexpected_errors()
        served_share = history.compute_served_share(fault_free_since)
        if served_share < MIN_SERVED_SHARE:
            violations.append(
                f"{served_share:.0%} of requests were served after the faults; "
                f"expected {MIN_SERVED_SHARE:.0%} or more"
            )
        count = len(history.outcomes)
        fault_count = history.fault_counts.total()
        return SoakResult(seed, count, served_share, fault_count, tuple(violations))
    finally:
        await fleet.close()


class TrafficGenerator:
    """Send requests of all kinds through several clients, some with revoked keys."""

    def __init__(self, fleet: Fleet, history: SoakHistory, rng: random.Random) -> None:
        self._fleet = fleet
        self._history = history
        self._rng = rng
        addresses = [(gateway.host, fleet.ports[2]) for gateway in fleet.gateways]
        self._clients = [
            Client(self._shuffle(addresses), random.Random(rng.random()))
            for _ in range(4)
        ]
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            self._spawn(self._send_request())
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))

    async def finish(self) -> None:
        """Wait for the requests in progress and close the clients."""
        await asyncio.gather(*self._tasks)
        for client in self._clients:
            await client.close()

    async def _send_request(self) -> None:
        kind = self._rng.choice(KINDS)
        self._request_count += 1
        key = self._fleet.key
        if self._rng.random() < REVOKED_KEY_SHARE:
            key = self._rng.choice(self._fleet.revoked_keys or [key])
        request = ClientRequest(
            f"/{kind}/{self._request_count}",
            key,
            HOST,
            is_idempotent=kind == "look",
            tokens=STREAM_TOKENS if kind in STREAM_KINDS else None,
            may_resume=kind == "ask",
            timeout_seconds=REQUEST_TIMEOUT_SECONDS,
        )
        self._history.outcomes.append(
            await self._rng.choice(self._clients).send(request)
        )

    def _shuffle(self, addresses: list[tuple[str, int]]) -> list[tuple[str, int]]:
        return self._rng.sample(addresses, len(addresses))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
