"""Gateways as separate processes, with the project's stand-ins of store and workers."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from fleetwire.tests.cluster import API_KEY, HOST, make_config_spec
from fleetwire.tests.store_standin import StoreStandIn
from fleetwire.tests.worker_standin import WorkerStandIn

from fireflyquay.links import HttpClient, HttpFailure, HttpLimits
from standins import PortReservation

ROOT = Path(__file__).parents[2]
# Bounds of the small deployments (`sites/brolga-cfd.toml`), in seconds.
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
START_SECONDS = 10.0
SETTINGS = """
[vm]
name = "{name}"
zone = "zone-a"
region = "region-a"
client_address = "{host}:{client}"
ready_address = "{host}:{ready}"
directory_address = "{host}:{directory}"
peer_address = "{host}:{peer}"
peer_port = {peer}
cpu_share = 0.537
cpu_speed = 2
link_mbps = 1000.0
memory_mb = 150
metrics_address = "{host}:{metrics}"
seeds = ["127.1.0.1:1", "127.1.0.2:1", "127.1.0.3:1"]

[store]
address = "{store}"

[promises]
revoke = 5000e-3
stop_grace = 8
repeat_ratio = 0.2
repeat_slack = 56
repeat_window = 10
quota_overshoot = 0.1
quota_slack = 140000
quota_window = 8
max_keep = 5
apply = 2000e-3
drain = 2000e-3
"""


class Record:
    """Write what happened to a file, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()


class GatewayProcess:
    """Run `platform/start.py`, the command of the deploy file, as a process."""

    def __init__(self, number: int, path: Path) -> None:
        self.number = number
        self.host = f"127.1.0.{number + 1}"
        self.path = path
        self.events: list[dict[str, Any]] = []
        self.incarnation = ""
        # Loop time of the last end of a disruption; it is in touch some time later.
        self.disturbed_at = 0.0

    async def start(self) -> None:
        """Start the process and read its log."""
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "platform/start.py",
            cwd=ROOT,
            env={
                **kept,
                "FIREFLYQUAY_NODE_FILE": str(self.path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        self.incarnation = ""
        self._reader = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        async for line in self.process.stdout:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            self.events.append(event)
            if event.get("event") == "started":
                self.incarnation = event["incarnation"]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        await self._reader


class Fleet:
    """Run a store, workers and gateways for one script."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = StoreStandIn()
        self.workers: list[WorkerStandIn] = []
        self.gateways: list[GatewayProcess] = []
        self.client = HttpClient(HttpLimits())
        self._reservation = PortReservation(5)
        self.ports = self._reservation.ports
        self._numbers = itertools.count(1)

    async def start(
        self,
        gateways: int,
        plain: int = 0,
        engines: int = 0,
        config: dict[str, Any] | None = None,
        **options: Any,
    ) -> None:
        """Start all, and wait until the gateways are ready and know each other."""
        await self.store.start()
        self.store.put("config", "main", config or make_config_spec())
        for service, count in (("plain", plain), ("engines", engines)):
            for _ in range(count):
                await self.add_worker(service, **options)
        for number in range(gateways):
            await self.add_gateway(number)
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(0.1)
        self.record.write(f"{gateways} gateways are ready")

    async def add_worker(self, service: str, **options: Any) -> WorkerStandIn:
        """Start and register a worker."""
        worker = WorkerStandIn(**options)
        await worker.start()
        self.store.put("servers", worker.name, worker.make_registration(service))
        self.workers.append(worker)
        return worker

    async def add_gateway(self, number: int) -> GatewayProcess:
        """Start a gateway."""
        names = ("client", "ready", "directory", "peer", "metrics")
        ports = dict(zip(names, self.ports, strict=True))
        path = self.folder / f"gateway-{number}.toml"
        gateway = GatewayProcess(number, path)
        store = f"127.0.0.1:{self.store.port}"
        name = f"edge-{number}"
        path.write_text(
            SETTINGS.format(name=name, host=gateway.host, store=store, **ports)
        )
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def _is_ready(self) -> bool:
        others = len(self.gateways) - 1
        for gateway in self.gateways:
            joined = [it for it in gateway.events if it.get("event") == "VM joined"]
            if len(joined) < others or not await self.is_ready(gateway):
                return False
        return True

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Return whether a gateway answers that it is ready."""
        try:
            response = await self.client.request(
                gateway.host, self.ports[1], "GET", "/ready", {}, b"", 0.5
            )
        except HttpFailure:
            return False
        return response.status == 200

    async def read_metric(self, gateway: GatewayProcess, name: str) -> float:
        """Return a gauge of a gateway whose name ends with the given one."""
        response = await self.client.request(
            gateway.host, self.ports[4], "GET", "/metrics", {}, b"", 1.0
        )
        for line in response.body.decode().splitlines():
            if line.split(" ")[0].endswith(name):
                return float(line.rpartition(" ")[2])
        raise ValueError(f"no metric {name}")

    async def find_coordinator(self) -> GatewayProcess:
        """Return the only gateway that coordinates."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                found = [
                    it
                    for it in self.gateways
                    if await self.read_metric(it, "coordinating")
                ]
                if len(found) == 1:
                    return found[0]
                await asyncio.sleep(0.2)

    async def send(
        self,
        gateway: GatewayProcess,
        target: str,
        body: bytes = b"body",
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
        request_id: str = "",
    ) -> tuple[str, int, bytes]:
        """Send a request; return its id, the status (0 for none) and the body."""
        request_id = request_id or f"{gateway.number:04x}{next(self._numbers):012x}"
        all_headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Api-Key": API_KEY,
            **(headers or {}),
        }
        pairs = [(k, v) for k, v in all_headers.items() if v]
        address = (gateway.host, self.ports[0])
        data, status = bytearray(), 0
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                async with self.client.forward(
                    address, "POST", target, pairs, body, deadline_ms / 1000
                ) as stream:
                    status = stream.status
                    async for chunk in stream:
                        data += chunk
        except (HttpFailure, TimeoutError):
            status = 0
        return request_id, status, bytes(data)

    async def close(self) -> None:
        """End all processes that were started, and close the stand-ins."""
        for gateway in self.gateways:
            await gateway.end()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        await self.client.close()
        self._reservation.release()


def run_case(
    folder: Path, case: Callable[[Fleet, Record, bool], Awaitable[bool]]
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp())

    async def run() -> bool:
        fleet = Fleet(temporary, record)
        try:
            async with asyncio.timeout(110.0):
                return await case(fleet, record, has_trouble)
        finally:
            await fleet.close()

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
