"""Fleet of gateway processes whose store and workers are behind relays."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path

from fleetwire.tests.cluster import make_config_spec, make_settings
from fleetwire.tests.fleet import REPOSITORY_ROOT, GatewayProcess, write_toml
from fleetwire.tests.store_standin import StoreStandIn
from fleetwire.tests.worker_standin import WorkerStandIn

from standins import PortReservation

from ._relay import Relay

# The default, which a build that does not know the setting accepts.
QUOTA_WINDOW_SECONDS = 8.0
PLAIN_SERVICE, ENGINE_SERVICE = "plain", "engines"
# Software versions that serve side by side; each names itself in its events.
VERSIONS = ("v1", "v2")


class Fleet:
    """Run gateway processes, stand-ins and relays."""

    def __init__(
        self,
        gateway_count: int,
        mutant: str = "",
        production: Path = REPOSITORY_ROOT,
    ) -> None:
        self._gateway_count = gateway_count
        self._mutant = mutant
        # Checkout of the build that the gateways run until they are upgraded.
        self._production = production
        self._directory = tempfile.TemporaryDirectory(prefix="fireflyquay-soak-")
        self.store = StoreStandIn()
        self.workers: list[WorkerStandIn] = []
        self.gateways: list[GatewayProcess] = []
        # Ports of all gateways for clients, readiness, the directory and peers.
        self._reservation = PortReservation(4)
        self.ports = self._reservation.ports
        # One relay to the store for each gateway, and one to each worker by its name.
        self.store_relays: list[Relay] = []
        self.worker_relays: dict[str, Relay] = {}
        # Current version of the configuration, and current API key.
        self.version = 1
        self.key = "key-1"
        self.revoked_keys: list[str] = []

    async def start(self, plain_count: int, engine_count: int) -> None:
        """Start all parts and wait until each gateway has discovered all others."""
        await self.store.start()
        self.put_config()
        for service, count in (
            (PLAIN_SERVICE, plain_count),
            (ENGINE_SERVICE, engine_count),
        ):
            for _ in range(count):
                await self.add_worker(service)
        for number in range(self._gateway_count):
            await self._add_gateway(number)
        for gateway in self.gateways:
            await gateway.wait_until_ready(self._gateway_count - 1)

    def put_config(self) -> None:
        """Write the configuration of the current version and key to the store."""
        self.store.put("config", "main", make_config_spec(self.version, self.key))

    def rotate_key(self) -> str:
        """Replace the API key and return the revoked one."""
        old = self.key
        self.revoked_keys.append(old)
        self.version += 1
        self.key = f"key-{self.version}"
        self.put_config()
        return old

    async def add_worker(self, service: str) -> WorkerStandIn:
        """Start a worker behind a relay and register the relay's address."""
        version = VERSIONS[len(self.workers) % len(VERSIONS)]
        worker = WorkerStandIn(version=version, event_text=version)
        await worker.start()
        relay = Relay(worker.port)
        await relay.start()
        self.workers.append(worker)
        self.worker_relays[worker.name] = relay
        self.register_worker(worker, service)
        return worker

    def register_worker(
        self, worker: WorkerStandIn, service: str, state: str = "ready"
    ) -> None:
        """Write a worker's registration, with its relay's address, to the store."""
        registration = worker.make_registration(service, state)
        relay = self.worker_relays[worker.name]
        registration["address"] = f"127.0.0.1:{relay.port}"
        self.store.put("servers", worker.name, registration)

    async def restart_gateway(self, gateway: GatewayProcess) -> None:
        """Kill a gateway if it still runs, and start it again."""
        async with gateway.restart_lock:
            await gateway.kill()
            await gateway.start()

    @property
    def needs_upgrade(self) -> bool:
        """Return whether the gateways start with another build."""
        return self._production != REPOSITORY_ROOT

    async def close(self) -> None:
        """Stop all gateways, stand-ins and relays."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            await gateway.kill()
        for worker in self.workers:
            await worker.close()
        for relay in (*self.store_relays, *self.worker_relays.values()):
            await relay.close()
        await self.store.close()
        self._directory.cleanup()
        self._reservation.release()

    async def _add_gateway(self, number: int) -> None:
        relay = Relay(self.store.port)
        await relay.start()
        self.store_relays.append(relay)
        host = f"127.0.0.{number + 1}"
        settings = make_settings(
            host,
            self.ports,
            relay.port,
            stop_grace=3.0,
            quota_window=QUOTA_WINDOW_SECONDS,
        )
        path = Path(self._directory.name) / f"{number}.toml"
        path.write_text(write_toml(settings, states_defaults=False))
        gateway = GatewayProcess(path, host, self._mutant, self._production)
        self.gateways.append(gateway)
        await gateway.start()
