"""Faults from outside, drawn from a seed; they come in series and overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from fleetwire.tests.store_standin import StoreFault
from fleetwire.tests.worker_responses import Behavior

from ._evidence import SoakEvidence
from ._fleet import ENGINE_SERVICE, PLAIN_SERVICE, Fleet
from ._relay import Mode, Relay

# Seconds that a fault lasts at most; most are shorter.
MAX_FAULT_SECONDS = 3.0
# Seconds between the beginnings of two faults, on average.
MEAN_FAULT_INTERVAL_SECONDS = 0.8
# Seconds in which a gateway ends after SIGTERM: its grace, and as long as it may have
# been suspended meanwhile.
MAX_STOP_SECONDS = 4.0 + MAX_FAULT_SECONDS
# Manners of workers that a gateway must bear.
FAULTY_BEHAVIORS = [
    it for it in Behavior if it not in (Behavior.NORMAL, Behavior.CRASH)
]
DISRUPTIVE_MODES = [Mode.RESET, Mode.SILENT, Mode.ONE_WAY]


class FaultInjector:
    """Inject faults until it is told to end."""

    def __init__(
        self, fleet: Fleet, evidence: SoakEvidence, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._evidence = evidence
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_gateway,
            self.suspend_gateway,
            self.stop_gateway,
            self.reload_settings,
            self.disrupt_store_connection,
            self.fail_store,
            self.disrupt_worker_connection,
            self.misbehave_worker,
            self.crash_worker,
            self.replace_worker,
            self.change_key,
        ]

    async def run(self, seconds: float) -> None:
        """Begin faults for some seconds, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            act = self._rng.choice(self._faults)
            self._evidence.count_fault(act.__name__)
            task = loop.create_task(act())
            self._tasks.add(task)
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS))
        await asyncio.gather(*self._tasks)

    async def kill_gateway(self) -> None:
        """Kill a gateway and start it again."""
        gateway = self._rng.choice(self._fleet.gateways)
        with self._evidence.record_fault_interval(gateway.host):
            async with gateway.restart_lock:
                await gateway.kill()
                await asyncio.sleep(self._draw_duration())
                await gateway.start()

    async def suspend_gateway(self) -> None:
        """Suspend a gateway's process for a while."""
        gateway = self._rng.choice(self._fleet.gateways)
        with self._evidence.record_fault_interval(gateway.host):
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self._draw_duration())
            gateway.signal(signal.SIGCONT)

    async def stop_gateway(self) -> None:
        """Stop a gateway as planned and start it again."""
        gateway = self._rng.choice(self._fleet.gateways)
        with self._evidence.record_fault_interval(gateway.host):
            # Another fault may have killed this process, and start one that was not
            # told to stop, before the wait below ends.
            process = gateway.process
            gateway.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(MAX_STOP_SECONDS):
                    await process.wait()
            except TimeoutError:
                last = [event["event"] for event in gateway.events[-5:]]
                self._evidence.record_violation(f"{gateway.host} did not stop: {last}")
            if gateway.process is process:
                await self._fleet.restart(gateway)

    async def reload_settings(self) -> None:
        """Have a gateway read its settings again."""
        self._rng.choice(self._fleet.gateways).signal(signal.SIGHUP)

    async def disrupt_store_connection(self) -> None:
        """Break a gateway's way to the store."""
        place = self._rng.randrange(len(self._fleet.store_relays))
        with self._evidence.record_fault_interval(self._fleet.gateways[place].host):
            await self._disrupt(self._fleet.store_relays[place])

    async def fail_store(self) -> None:
        """Have the store fail everyone."""
        switches = self._fleet.store.switches
        if self._rng.random() < 0.3:
            switches.delay = self._rng.uniform(0.1, 0.8)
        else:
            switches.trouble = self._rng.choice([it for it in StoreFault])
        with self._evidence.record_fault_interval():
            await asyncio.sleep(self._draw_duration())
        switches.trouble, switches.delay = StoreFault.NONE, 0.0

    async def disrupt_worker_connection(self) -> None:
        """Break the way to a worker."""
        relays = list(self._fleet.worker_relays.values())
        await self._disrupt(self._rng.choice(relays))

    async def misbehave_worker(self) -> None:
        """Have a worker treat its next requests badly."""
        worker = self._rng.choice(self._fleet.workers)
        count = self._rng.randint(1, 4)
        worker.behaviors += [self._rng.choice(FAULTY_BEHAVIORS) for _ in range(count)]

    async def crash_worker(self) -> None:
        """Crash a worker, which is back at its address after a while."""
        worker = self._rng.choice(self._fleet.workers)
        await worker.close()
        await asyncio.sleep(self._draw_duration())
        await worker.start()

    async def replace_worker(self) -> None:
        """Have a worker leave and another one come."""
        service = self._rng.choice((PLAIN_SERVICE, ENGINE_SERVICE))
        entries = self._fleet.store.objects
        ready = [
            worker
            for worker in self._fleet.workers
            if entries.get(("servers", worker.name), {}).get("spec", {}).get("service")
            == service
        ]
        if len(ready) < 2:
            return
        leaving = self._rng.choice(ready)
        await self._fleet.add_worker(service)
        self._fleet.register(leaving, service, "draining")
        self._evidence.record_leaving(leaving.name)
        await asyncio.sleep(self._draw_duration())
        if ("servers", leaving.name) in entries:
            self._fleet.store.remove("servers", leaving.name)

    async def change_key(self) -> None:
        """Take a key away and give another."""
        self._evidence.record_key_removal(self._fleet.change_key())

    async def _disrupt(self, relay: Relay) -> None:
        if self._rng.random() < 0.4:
            relay.set_mode(Mode.DELAY, self._rng.uniform(0.05, 0.6))
        else:
            relay.set_mode(self._rng.choice(DISRUPTIVE_MODES))
        await asyncio.sleep(self._draw_duration())
        relay.set_mode(Mode.PASS)

    def _draw_duration(self) -> float:
        return min(MAX_FAULT_SECONDS, self._rng.expovariate(1.0))
