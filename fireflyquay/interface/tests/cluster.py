"""Entry VMs in one event loop, with stand-ins of the platform and backend servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from fireflyquay.contracts import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
)
from fireflyquay.gateway import Gateway
from fireflyquay.interface import make_gateway, parse_settings
from fireflyquay.links import HttpClient, HttpLimits
from fireflyquay.world import (
    BackendKind,
    BackendRecord,
    BackendServer,
    BackendServerId,
    BackendState,
    Contract,
    ContractRecord,
    CustomerId,
    Limits,
    PoolId,
    RegionId,
    Tier,
    VmListing,
    ZoneId,
)
from standins import PortReservation, wait_until
from standins.engine import Engine
from standins.platform import Platform
from standins.service import Service

OPERATOR_TOKEN = "operator-token"
TOKEN = "treipuu-token"
LIMITS = Limits(1000.0, 1e6, 100)
TIERS = {
    "label": Tier.BATCH,
    "question": Tier.STANDARD,
    "work-order": Tier.URGENT,
    "booking": Tier.URGENT,
}
SETTINGS = """
[node]
host = "{host}"
http_port = {http_port}
peer_port = {peer_port}
zone = "tallinn-a"
region = "ee-north"
operator_token = "operator-token"
[platform]
host = "127.0.0.1"
port = {platform_port}
timeout = 0.5
read_period = 0.1
[[kinds]]
name = "label"
pool = "drafting"
idempotent = true
deadline = 5.0
[[kinds]]
name = "work-order"
pool = "drafting"
deadline = 8.0
[[kinds]]
name = "question"
pool = "drafting"
idempotent = true
deadline = 5.0
[[kinds]]
name = "booking"
pool = "office"
deadline = 5.0
"""


class ClientResponse:
    def __init__(self, status: int, headers: dict[str, str], data: bytes) -> None:
        self.status = status
        self.headers = headers
        self.data = data

    @property
    def body(self) -> Any:
        return msgspec.json.decode(self.data)

    @property
    def events(self) -> list[tuple[str, Any]]:
        events = []
        for block in self.data.decode().split("\n\n"):
            if block:
                name, data = block.split("\n")
                value = msgspec.json.decode(data.removeprefix("data: "))
                events.append((name.removeprefix("event: "), value))
        return events


class Cluster:
    """Hold the platform, backend servers and entry VMs of one test."""

    def __init__(self) -> None:
        self.platform = Platform()
        self.engines: list[Engine] = []
        self.services: list[Service] = []
        self.entries: list[Gateway] = []
        self._reservation = PortReservation(2)
        self.ports = self._reservation.ports
        self.client = HttpClient(HttpLimits())

    def put_contract(
        self,
        customer: str = "treipuu",
        token: str = TOKEN,
        limits: Limits = LIMITS,
        version: int = 1,
        **changes: Any,
    ) -> None:
        fields = {"tiers": TIERS, **changes}
        contract = Contract(CustomerId(customer), token, limits=limits, **fields)
        value = CONTRACT_CODEC.encode(ContractRecord(contract, version))
        self._put(f"{CONTRACTS_PREFIX}{customer}", value)

    async def add_engine(self, slots: int = 4, **switches: Any) -> Engine:
        engine = Engine()
        engine.apply_switches({"decode_rate": 2000.0, **switches})
        await engine.start()
        self.engines.append(engine)
        self.put_backend(engine, BackendState.SERVING, slots)
        return engine

    async def add_service(self, slots: int = 4, **switches: Any) -> Service:
        service = Service()
        service.apply_switches(switches)
        await service.start()
        self.services.append(service)
        self.put_backend(service, BackendState.SERVING, slots)
        return service

    def put_backend(
        self, server: Engine | Service, state: BackendState, slots: int = 4
    ) -> None:
        is_engine = isinstance(server, Engine)
        kind = BackendKind.MODEL_ENGINE if is_engine else BackendKind.PLAIN_SERVICE
        backend = BackendServer(
            BackendServerId(f"server-{server.port}"),
            PoolId("drafting" if is_engine else "office"),
            kind,
            ZoneId("tallinn-a"),
            server.host,
            server.port,
            slots,
            10_000,
            state,
        )
        path = f"{BACKENDS_PREFIX}{backend.server}"
        current = self.platform.objects.read(path)
        version = current.version + 1 if current else 1
        self._put(path, BACKEND_CODEC.encode(BackendRecord(backend, version)))

    async def add_entry(self) -> Gateway:
        host = f"127.0.0.{len(self.entries) + 1}"
        text = SETTINGS.format(
            host=host,
            http_port=self.ports[0],
            peer_port=self.ports[1],
            platform_port=self.platform.port,
        )
        settings, faults = parse_settings(text)
        assert settings is not None, faults
        entry = make_gateway(settings)
        await entry.start()
        self.entries.append(entry)
        self.publish_vms()
        return entry

    def publish_vms(self) -> None:
        vms = [entry.fleet.get_own_vm() for entry in self.entries]
        zone, region = ZoneId("tallinn-a"), RegionId("ee-north")
        self.platform.set_vms(
            [VmListing(vm.host, vm.peer_port, zone, region) for vm in vms]
        )

    async def wait_until_ready(self) -> None:
        count = len(self.entries)
        await wait_until(
            lambda: all(
                entry.is_ready() and len(entry.get_status().vms) == count
                for entry in self.entries
            )
        )

    async def send(
        self,
        kind: str,
        body: Any = None,
        entry: int = 0,
        key: str = "",
        token: str = TOKEN,
        is_stream: bool = False,
    ) -> ClientResponse:
        if body is None:
            body = {"prompt": "draft " * 20, "max_tokens": 40}
        headers = {"authorization": f"Bearer {token}"} if token else {}
        if key:
            headers["idempotency-key"] = key
        if is_stream:
            headers["accept"] = "text/event-stream"
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self.request("POST", f"/v1/requests/{kind}", headers, data, entry)

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        entry: int = 0,
    ) -> ClientResponse:
        host = self.entries[entry].fleet.get_own_vm().host
        response = await self.client.request(
            host, self.ports[0], method, target, headers or {}, body, 10.0
        )
        return ClientResponse(response.status, response.headers, response.body)

    async def close(self) -> None:
        for entry in self.entries:
            await entry.abort()
        for server in (*self.engines, *self.services):
            await server.close()
        await self.platform.close()
        await self.client.close()
        self._reservation.release()

    def _put(self, path: str, value: bytes) -> None:
        current = self.platform.objects.read(path)
        expected = current.version if current else 0
        assert self.platform.objects.write(path, value, expected)


@asynccontextmanager
async def run_cluster(
    entries: int = 1, engines: int = 1, services: int = 1
) -> AsyncIterator[Cluster]:
    cluster = Cluster()
    await cluster.platform.start()
    cluster.put_contract()
    try:
        for _ in range(engines):
            await cluster.add_engine()
        for _ in range(services):
            await cluster.add_service()
        for _ in range(entries):
            await cluster.add_entry()
        await cluster.wait_until_ready()
        yield cluster
    finally:
        await cluster.close()
