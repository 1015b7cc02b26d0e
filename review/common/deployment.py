"""A small deployment: gateways as processes, and the platform's stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import time
from pathlib import Path

from fleetwire.tests.store_standin import StoreStandIn

from standins import PortReservation

ROOT = Path(__file__).resolve().parents[2]
HOST = "office.example"
# The bounds of the small sites in SYSTEM.md, as deploy/settings.toml passes them on.
PROMISES = {
    "revoke": 5.0,
    "stop_grace": 8.0,
    "repeat_ratio": 0.2,
    "repeat_slack": 56.0,
    "repeat_window": 10.0,
    "quota_overshoot": 0.1,
    "quota_slack": 140000.0,
    "max_keep": 5.0,
}
START_SECONDS = 15.0


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        elapsed = time.monotonic() - self._started_at
        self._file.write(f"{elapsed:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class GatewayProcess:
    """Run one gateway with the command of the deploy file."""

    def __init__(self, host: str, path: Path, log_path: Path, record: Record) -> None:
        self.host = host
        self._path = path
        self._log_path = log_path
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._log_file = log_path.open("wb")

    async def start(self) -> None:
        """Start the process."""
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}",
            "FIREFLYQUAY_NODE_FILE": str(self._path),
        }
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            "platform/start.py",
            cwd=ROOT,
            env=variables,
            stdout=self._log_file,
            stderr=self._log_file,
        )
        self._record.write(f"gateway {self.host} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._record.write(f"gateway {self.host} gets {number.name}")

    async def wait(self) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self._process is not None
        code = await self._process.wait()
        self._record.write(f"gateway {self.host} has ended with {code}")
        return code

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.wait()

    def read_events(self, event: str) -> list[dict]:
        """Return the log lines of an event of all processes so far."""
        found = []
        for line in self._log_path.read_bytes().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == event:
                found.append(entry)
        return found


class Deployment:
    """Run a store and gateways; the caller adds workers and the configuration."""

    def __init__(self, record: Record, gateway_count: int = 3) -> None:
        self.record = record
        self.store = StoreStandIn()
        self.gateways: list[GatewayProcess] = []
        self._count = gateway_count
        self._reservation = PortReservation(4)
        self.ports = self._reservation.ports
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    @property
    def client_port(self) -> int:
        """Return the port at which all gateways serve clients."""
        return self.ports[0]

    @property
    def ready_port(self) -> int:
        """Return the port of the readiness check."""
        return self.ports[1]

    async def start(self, config: dict) -> None:
        """Start the gateways before a started store; wait until they are ready."""
        self.store.put("config", "main", config)
        folder = Path(self._folder.name)
        for number in range(self._count):
            host = f"127.0.0.{number + 1}"
            path = folder / f"{number}.toml"
            path.write_text(self._make_settings(number, host))
            log_path = folder / f"{number}.log"
            gateway = GatewayProcess(host, path, log_path, self.record)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await self.wait_until_ready(gateway)

    async def wait_until_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway answers the readiness check with 200."""
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_ready(gateway.host):
                await asyncio.sleep(0.05)
        self.record.write(f"gateway {gateway.host} is ready")

    async def _is_ready(self, host: str) -> bool:
        try:
            reader, writer = await asyncio.open_connection(host, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            line = await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()
        return b" 200 " in line

    def find_coordinator(self) -> GatewayProcess:
        """Return the gateway that most others follow, by their logs."""
        by_incarnation = {}
        votes: dict[str, int] = {}
        for gateway in self.gateways:
            for entry in gateway.read_events("started"):
                by_incarnation[entry["incarnation"]] = gateway
        for gateway in self.gateways:
            changes = gateway.read_events("coordinator changed")
            own = gateway.read_events("started")[-1]["incarnation"]
            choice = changes[-1]["after"] if changes else own
            votes[choice] = votes.get(choice, 0) + 1
        return by_incarnation[max(votes, key=lambda it: votes[it])]

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.kill()
        await self.store.close()
        self._reservation.release()
        self._folder.cleanup()

    def _make_settings(self, number: int, host: str) -> str:
        client, ready, directory, peer = self.ports
        lines = [
            "[vm]",
            f'name = "edge-{number}"',
            f'zone = "zone-{"abc"[number % 3]}"',
            'region = "region-a"',
            f'client_address = "{host}:{client}"',
            f'ready_address = "{host}:{ready}"',
            f'directory_address = "{host}:{directory}"',
            f'peer_address = "{host}:{peer}"',
            f"peer_port = {peer}",
            'seeds = ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"]',
            "[store]",
            f'address = "127.0.0.1:{self.store.port}"',
            "[promises]",
            *[f"{name} = {value}" for name, value in PROMISES.items()],
        ]
        return "\n".join(lines) + "\n"


def make_route(name: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "affinity": False,
        "streamResume": False,
    }
    return {**route, **changes}


def make_config(routes: list[dict], services: list[dict], tenants: list[dict]) -> dict:
    """Return the configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }
