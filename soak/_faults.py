"""Injection of random faults that may overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import defaultdict
from collections.abc import Awaitable, Callable

from fleetwire.tests.fleet import REPOSITORY_ROOT, GatewayProcess, find_coordinator
from fleetwire.tests.store_standin import StoreFault
from fleetwire.tests.worker_responses import Behavior
from fleetwire.tests.worker_standin import WorkerStandIn

from ._fleet import ENGINE_SERVICE, PLAIN_SERVICE, Fleet
from ._history import STORE, SoakHistory
from ._relay import Mode, Relay

# Upper limit; most faults are shorter.
MAX_FAULT_SECONDS = 3.0
# Mean time between the starts of two faults.
MEAN_FAULT_INTERVAL_SECONDS = 0.8
# A gateway must end within this time after SIGTERM: its grace period of 3 s, a margin
# of 1 s, and the longest time for which another fault may suspend it.
MAX_STOP_SECONDS = 4.0 + MAX_FAULT_SECONDS
ENDLESS_BEHAVIORS = [it for it in Behavior if it.name.startswith("ENDLESS")]
# Worker behaviors that a gateway must tolerate; crash_worker covers crashes.
FAULTY_BEHAVIORS = [
    it
    for it in Behavior
    if it
    not in (Behavior.NORMAL, Behavior.CRASH, Behavior.SCRIPTED, *ENDLESS_BEHAVIORS)
]
# Requests per second that a worker states to take, and for how long.
REQUEST_LIMITS = (0.5, 1.0, 2.2)
LIMIT_SECONDS = 8.0
# Time for which the gateway that coordinates is suspended while a worker leaves.
LEAVE_SECONDS = 3.5
DISRUPTIVE_MODES = [Mode.RESET, Mode.SILENT, Mode.ONE_WAY]


class FaultInjector:
    """Inject random faults into a fleet."""

    def __init__(
        self,
        fleet: Fleet,
        history: SoakHistory,
        rng: random.Random,
        draws_later_faults: bool = True,
        silences: random.Random | None = None,
        leaves: random.Random | None = None,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._rng = rng
        # Draws when connections go silent, apart from all other faults.
        self._silences = silences
        # The same for the worker that leaves while the coordinator is suspended.
        self._leaves = leaves
        self._tasks: set[asyncio.Task[None]] = set()
        self._crash_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        # The order determines which faults a seed draws.
        self._faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_gateway,
            self.suspend_gateway,
            self.stop_gateway,
            self.reload_settings,
            self.disrupt_store_connections,
            self.fail_store,
            self.disrupt_worker_connections,
            self.inject_worker_behaviors,
            self.crash_worker,
            self.replace_worker,
            self.rotate_key,
        ]
        if draws_later_faults:
            # Apart, so that earlier seeds can draw the faults that they drew then.
            self._faults += [
                self.restore_store,
                self.inject_endless_responses,
                self.limit_worker,
            ]

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        if self._fleet.needs_upgrade:
            self._tasks.add(loop.create_task(self._upgrade_in_turn(seconds)))
        if self._silences is not None:
            self._tasks.add(loop.create_task(self._silence_connections(seconds)))
        if self._leaves is not None:
            self._tasks.add(loop.create_task(self._leave_unnoticed(seconds)))
        while loop.time() < end:
            fault = self._rng.choice(self._faults)
            self._history.count_fault(fault.__name__)
            task = loop.create_task(fault())
            self._tasks.add(task)
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS))
        await asyncio.gather(*self._tasks)

    async def kill_gateway(self) -> None:
        """Kill a gateway and restart it after a random time."""
        gateway = self._rng.choice(self._fleet.gateways)
        with self._history.record_fault_interval(gateway.host):
            async with gateway.restart_lock:
                await gateway.kill()
                await asyncio.sleep(self._draw_duration())
                await gateway.start()

    async def suspend_gateway(self) -> None:
        """Suspend a gateway's process for a random time."""
        gateway = self._rng.choice(self._fleet.gateways)
        with self._history.record_fault_interval(gateway.host):
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self._draw_duration())
            gateway.signal(signal.SIGCONT)

    async def stop_gateway(self) -> None:
        """Stop a gateway gracefully and restart it."""
        await self._stop_and_restart(self._rng.choice(self._fleet.gateways))

    async def _upgrade_in_turn(self, seconds: float) -> None:
        """Replace the build of one gateway after the other, evenly over some time."""
        pause = seconds / (len(self._fleet.gateways) + 1)
        for gateway in self._fleet.gateways:
            await asyncio.sleep(pause)
            gateway.checkout = REPOSITORY_ROOT
            await self._stop_and_restart(gateway)

    async def _stop_and_restart(self, gateway: GatewayProcess) -> None:
        with self._history.record_fault_interval(gateway.host):
            # Another fault may replace the process during the wait; the new one did
            # not get the signal.
            process = gateway.process
            gateway.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(MAX_STOP_SECONDS):
                    await process.wait()
            except TimeoutError:
                last = [event["event"] for event in gateway.events[-5:]]
                self._history.record_violation(
                    f"{gateway.host} did not stop within {MAX_STOP_SECONDS:g} s; "
                    f"its last events: {last}"
                )
            if gateway.process is process:
                await self._fleet.restart_gateway(gateway)

    async def reload_settings(self) -> None:
        """Make a gateway reload its settings."""
        self._rng.choice(self._fleet.gateways).signal(signal.SIGHUP)

    async def disrupt_store_connections(self) -> None:
        """Disrupt a gateway's connections to the store."""
        number = self._rng.randrange(len(self._fleet.store_relays))
        with self._history.record_fault_interval(self._fleet.gateways[number].host):
            await self._disrupt(self._fleet.store_relays[number])

    async def _silence_connections(self, seconds: float) -> None:
        """Let the open connections to the store go silent once; new ones work."""
        assert self._silences is not None
        await asyncio.sleep(self._silences.uniform(0.0, seconds))
        self._history.count_fault("silence_connections")
        with self._history.record_fault_interval(STORE):
            for relay in self._fleet.store_relays:
                relay.silence_open()

    async def _leave_unnoticed(self, seconds: float) -> None:
        """Remove a worker's registration while the coordinator is suspended, once."""
        rng, store = self._leaves, self._fleet.store
        assert rng is not None
        await asyncio.sleep(rng.uniform(0.0, seconds / 2))
        coordinator = find_coordinator(self._fleet.gateways)
        service = rng.choice((PLAIN_SERVICE, ENGINE_SERVICE))
        leaving = rng.choice(self._list_registered(service))
        await self._fleet.add_worker(service)
        self._history.count_fault("leave_unnoticed")
        with self._history.record_fault_interval(coordinator.host):
            coordinator.signal(signal.SIGSTOP)
            waited = rng.uniform(0.0, 1.0)
            await asyncio.sleep(waited)
            if ("servers", leaving.name) in store.objects:
                store.remove("servers", leaving.name)
                self._history.record_draining(leaving.name)
            await asyncio.sleep(LEAVE_SECONDS - waited)
            coordinator.signal(signal.SIGCONT)

    async def fail_store(self) -> None:
        """Make the store fail or delay the requests of all gateways."""
        switches = self._fleet.store.switches
        if self._rng.random() < 0.3:
            switches.delay = self._rng.uniform(0.1, 0.8)
        else:
            # StoreFault.NONE is among them, so some of these faults have no effect.
            switches.trouble = self._rng.choice([it for it in StoreFault])
        with self._history.record_fault_interval():
            await asyncio.sleep(self._draw_duration())
        switches.trouble, switches.delay = StoreFault.NONE, 0.0

    async def disrupt_worker_connections(self) -> None:
        """Disrupt the connections to a worker."""
        name = self._rng.choice(list(self._fleet.worker_relays))
        with self._history.record_fault_interval(name):
            await self._disrupt(self._fleet.worker_relays[name])

    async def inject_worker_behaviors(self) -> None:
        """Set faulty behaviors for a worker's next requests."""
        worker = self._rng.choice(self._fleet.workers)
        count = self._rng.randint(1, 4)
        worker.behaviors += [self._rng.choice(FAULTY_BEHAVIORS) for _ in range(count)]

    async def inject_endless_responses(self) -> None:
        """Make a worker's next response endless."""
        worker = self._rng.choice(self._fleet.workers)
        worker.behaviors.append(self._rng.choice(ENDLESS_BEHAVIORS))

    async def limit_worker(self) -> None:
        """Make a worker state how many requests it takes per second."""
        worker = self._rng.choice(self._fleet.workers)
        limit = self._rng.choice(REQUEST_LIMITS)
        if worker.request_limit:
            return
        worker.request_limit = str(limit)
        with self._history.record_limit(worker.name, limit):
            await asyncio.sleep(LIMIT_SECONDS)
        worker.request_limit = ""

    async def restore_store(self) -> None:
        """Take the store away, and bring it back from a copy some seconds old."""
        store = self._fleet.store
        state = store.copy_state()
        await asyncio.sleep(self._draw_duration())
        with self._history.record_fault_interval():
            store.switches.trouble = StoreFault.RESET
            await asyncio.sleep(self._draw_duration() / 4)
            registrations = {
                name: item["spec"]
                for (kind, name), item in store.objects.items()
                if kind == "servers"
            }
            store.restore(state)
            # The operator and the workers write again what was lost.
            self._fleet.put_config()
            store.switches.trouble = StoreFault.NONE
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            for name, spec in registrations.items():
                store.put("servers", name, spec)
            for kind, name in list(store.objects):
                if kind == "servers" and name not in registrations:
                    store.remove(kind, name)

    async def crash_worker(self) -> None:
        """Crash a worker and restart it at its address after a random time."""
        worker = self._rng.choice(self._fleet.workers)
        # Another crash of the same worker waits until it listens again.
        async with self._crash_locks[worker.name]:
            await worker.crash()
            await asyncio.sleep(self._draw_duration())
            await worker.start()

    async def replace_worker(self) -> None:
        """Add a worker and drain another one of the same service."""
        service = self._rng.choice((PLAIN_SERVICE, ENGINE_SERVICE))
        objects = self._fleet.store.objects
        # May include workers that are draining already.
        candidates = self._list_registered(service)
        if len(candidates) < 2:
            return
        draining = self._rng.choice(candidates)
        await self._fleet.add_worker(service)
        self._fleet.register_worker(draining, service, "draining")
        self._history.record_draining(draining.name)
        await asyncio.sleep(self._draw_duration())
        if ("servers", draining.name) in objects:
            self._fleet.store.remove("servers", draining.name)

    async def rotate_key(self) -> None:
        """Replace the API key and revoke the old one."""
        self._history.record_key_revocation(self._fleet.rotate_key())

    async def _disrupt(self, relay: Relay) -> None:
        if self._rng.random() < 0.4:
            relay.set_mode(Mode.DELAY, self._rng.uniform(0.05, 0.6))
        else:
            relay.set_mode(self._rng.choice(DISRUPTIVE_MODES))
        await asyncio.sleep(self._draw_duration())
        relay.set_mode(Mode.PASS)

    def _list_registered(self, service: str) -> list[WorkerStandIn]:
        objects = self._fleet.store.objects
        return [
            worker
            for worker in self._fleet.workers
            if objects.get(("servers", worker.name), {}).get("spec", {}).get("service")
            == service
        ]

    def _draw_duration(self) -> float:
        return min(MAX_FAULT_SECONDS, self._rng.expovariate(1.0))
