"""Emulated fleet in virtual time, with fault injection."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from fireflyquay.dispatch import SlotSchedulerSettings
from fireflyquay.gateway import Gateway, LoopClock
from fireflyquay.links import CallerDisconnectedError, HttpRequest
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import (
    BackendPhase,
    Incarnation,
    RolloutState,
    ServiceId,
    SoftwareVersion,
    ZoneId,
)

from ._backend_client import EmulatedBackendClient
from ._clients import Clients, GatewayAccess
from ._configuration import get_quotas, make_config, make_settings
from ._dialect import EmulatedDialect
from ._history import Fault, History, PlannedChange, RolloutRecord
from ._loop import VirtualLoop, run_virtual
from ._network import EmulatedLink, Network
from ._responder import EmulatedResponder
from ._servers import CrashingParts, EmulatedEngine, EmulatedServer, make_servers
from ._site import Kind, RolloutPlan, Site
from ._store import EmulatedSource, EmulatedStore

# Time for which a removed backend server may complete its requests.
LEAVING_SECONDS = 2.0
# Time in which all VMs of a new fleet discover each other.
WARM_UP_SECONDS = 4.0
# Software version of all backend servers before a roll-out; they state none without.
OLD_VERSION = "v1"
# Interval at which the platform looks at the state of orders, and the time from a
# rollback until the servers of the new version leave.
ROLLOUT_CHECK_SECONDS = 0.05
ROLLBACK_DRAIN_SECONDS = 3.0
# Kinds of unexpected errors that the failure of an emulation names.
MAX_REPORTED_ERRORS = 10


class UnexpectedErrorsFoundError(Exception):
    """Report that gateways had errors that no code expects."""

    def __init__(self, found: Sequence[str]) -> None:
        works = Counter(found).most_common(MAX_REPORTED_ERRORS)
        super().__init__(", ".join(f"{work} ({count})" for work, count in works))


class Emulation:
    """Run gateways, backend servers, clients and a store reproducibly from a seed."""

    def __init__(
        self,
        site: Site,
        seed: int = 1,
        scheduler_settings: SlotSchedulerSettings | None = None,
    ) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self._scheduler_settings = scheduler_settings
        self.history = History()
        self.network = Network(
            self._derive_rng(), site.same_zone_delay, site.cross_zone_delay
        )
        self.store = EmulatedStore(self._derive_rng())
        self.servers: dict[str, EmulatedServer] = {}
        self.crashing_parts = CrashingParts()
        # Running gateways by host, without those that were killed or stopped.
        self.gateways: dict[str, Gateway] = {}
        self.frozen: set[str] = set()
        # Whether the emulation fails at its end if gateways had unexpected errors.
        self.fails_on_errors = True
        self._started_vm_count = 0
        self._open_faults: dict[tuple[str, str], float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.clients = Clients(
            site,
            GatewayAccess(self._resolve_addresses, self._find_handler, self.network),
            self.history,
            self._derive_rng(),
        )

    async def __aenter__(self) -> Emulation:
        version = OLD_VERSION if self.site.rollouts else ""
        for name, model in {**self.site.engines, **self.site.services}.items():
            rng, zones = self._derive_rng(), self._list_zones()
            self._add_servers(make_servers(name, model, rng, zones, version))
        self.store.config = make_config(self.site, 1, self.clients.keys)
        self.history.quotas = get_quotas(self.store.config)
        self._record_change("version", "1")
        for _ in range(self.site.vms):
            await self.add_vm()
        await self.run(WARM_UP_SECONDS)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._end()
        found = self.history.unexpected_errors
        if found and self.fails_on_errors and error[0] is None:
            raise UnexpectedErrorsFoundError(found)

    async def _end(self) -> None:
        for (kind, target), since in list(self._open_faults.items()):
            self._close_fault(kind, target, since)
        self.history.ended_at = self.loop.time()
        self.history.store_calls = self.store.calls
        self.history.messages = self.network.messages
        for gateway in self.gateways.values():
            await gateway.abort()

    @property
    def loop(self) -> VirtualLoop:
        """Return the running event loop."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        return loop

    async def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        await asyncio.sleep(seconds)

    def start_traffic(self, seconds: float) -> None:
        """Start sending all kinds of requests for some seconds."""
        for kind in self.site.kinds:
            self._spawn(self.clients.generate_traffic(kind, seconds))
        for plan in self.site.rollouts:
            self.loop.call_later(plan.start, self.order_rollout, plan)

    def get_kind(self, name: str) -> Kind:
        """Return a kind of request by its name."""
        return next(kind for kind in self.site.kinds if kind.name == name)

    def list_hosts(self) -> list[str]:
        """Return the hosts of running gateways in the order of their start."""
        return list(self.gateways)

    def find_coordinator(self) -> str:
        """Return the host that most gateways consider the coordinator."""
        follower_counts: dict[str, int] = {}
        hosts = {it.incarnation: host for host, it in self.gateways.items()}
        for gateway in self.gateways.values():
            host = hosts.get(gateway.fleet.choose_coordinator())
            if host is not None:
                follower_counts[host] = follower_counts.get(host, 0) + 1
        if not follower_counts:
            # All gateways still use a coordinator that has ended.
            return self.list_hosts()[0]
        return max(follower_counts, key=lambda host: (follower_counts[host], host))

    async def add_vm(self, host: str = "") -> str:
        """Start a gateway on a host, or on a new one if empty; return the host."""
        self._started_vm_count += 1
        number = self._started_vm_count
        host = host or f"10.1.{number // 250}.{number % 250 + 1}"
        zone = self.network.zones.setdefault(
            host, self.site.zones[number % len(self.site.zones)]
        )
        incarnation = Incarnation(f"vm{number:04d}")
        rng = self._derive_rng()
        gateway = Gateway(
            make_settings(self.site, host, zone, list(self.gateways)),
            EmulatedDialect(),
            EmulatedSource(
                self.store, host, lambda: self.network.can_reach(host, "store")
            ),
            EmulatedBackendClient(
                host, self.network, self._find_server, self.history, rng
            ),
            LoopClock(),
            rng,
            make_link=lambda incarnation, _, deliver: EmulatedLink(
                self.network, host, incarnation, deliver
            ),
            incarnation=incarnation,
            scheduler_settings=self._scheduler_settings,
        )
        self._watch_errors(host, gateway.errors)
        self.gateways[host] = gateway
        await self.loop.create_task_as(host, gateway.start_tasks())
        return host

    def _watch_errors(self, host: str, errors: UnexpectedErrors) -> None:
        count = errors.on_error

        def record(work: str) -> None:
            self.history.unexpected_errors.append(f"{host}: {work}")
            if count is not None:
                count(work)

        errors.on_error = record

    def kill(self, host: str) -> None:
        """Kill a gateway's process."""
        gateway = self.gateways.pop(host)
        self._record_fault("kill", host, self.loop.time() + 5.0)
        self.loop.thaw(host)
        self.frozen.discard(host)
        self._spawn(gateway.abort())

    def stop(self, host: str) -> None:
        """Stop a gateway gracefully."""
        gateway = self.gateways[host]
        self._record_change("stop", host)
        task = self.loop.create_task_as(host, gateway.stop())
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._remove_gateway(host, gateway))

    def freeze(self, host: str, seconds: float) -> None:
        """Suspend a VM for some seconds."""
        self.loop.freeze(host)
        self.frozen.add(host)
        self._record_fault("freeze", host, self.loop.time() + seconds)
        self.loop.call_later(seconds, self._thaw, host)

    def isolate(self, host: str, seconds: float) -> None:
        """Cut a VM off from all other hosts for some seconds."""
        self.network.isolated.add(host)
        self._record_fault("cut", host, self.loop.time() + seconds)
        self.loop.call_later(seconds, self.network.isolated.discard, host)

    def cut(self, first: str, second: str, seconds: float) -> None:
        """Cut the connection between two hosts for some seconds."""
        pair = frozenset((first, second))
        self.network.cut_pairs.add(pair)
        until = self.loop.time() + seconds
        self._record_fault("cut", first, until)
        self._record_fault("cut", second, until)
        self.loop.call_later(seconds, self.network.cut_pairs.discard, pair)

    def stop_store(self, seconds: float) -> None:
        """Make the store fail all calls for some seconds."""
        self.store.is_down = True
        self._record_fault("store", "store", self.loop.time() + seconds)
        self.loop.call_later(seconds, setattr, self.store, "is_down", False)

    def refuse_store(self, host: str, seconds: float) -> None:
        """Make the store fail the calls of one VM for some seconds."""
        self.store.refused_hosts.add(host)
        self._record_fault("store", host, self.loop.time() + seconds)
        self.loop.call_later(seconds, self.store.refused_hosts.discard, host)

    def crash(self, server: str, seconds: float) -> None:
        """Crash a backend server, which restarts after some seconds."""
        emulated_server = self.servers[server]
        emulated_server.crash()
        self._record_fault("server", server, self.loop.time() + seconds)
        self.loop.call_later(seconds, emulated_server.restart)

    def remove(self, server: str) -> None:
        """Mark a backend server as leaving, and stop it after a grace period."""
        emulated_server = self.servers[server]
        entry = replace(emulated_server.entry, phase=BackendPhase.LEAVING)
        self.store.backends[server] = entry
        self.store.increment_revision()
        self._record_change("leaving", server)
        self.loop.call_later(LEAVING_SECONDS + 1.0, self._end_server, server)

    def order_rollout(self, plan: RolloutPlan) -> RolloutRecord:
        """Order a roll-out, and start the servers of the new version."""
        now = self.loop.time()
        is_bad = plan.fault is not None
        record = RolloutRecord(
            plan.service, plan.target, is_bad, now, now + plan.duration
        )
        self.history.rollouts.append(record)
        service = ServiceId(plan.service)
        self.store.order_rollout(service, SoftwareVersion(plan.target), plan.duration)
        self._record_change("rollout ordered", plan.service)
        old = self.list_servers(plan.service)
        models = {**self.site.engines, **self.site.services}
        servers = make_servers(
            plan.service,
            models[plan.service],
            self._derive_rng(),
            self._list_zones(),
            plan.target,
            len(old),
        )
        for server in servers:
            server.version_fault = plan.fault
            server.bad_from = now + (plan.fault.delay if plan.fault else 0.0)
        self._add_servers(servers)
        self._spawn(self._follow_rollout(record))
        return record

    def list_servers(self, service: str) -> list[EmulatedServer]:
        """Return all servers of a service, also those that ended."""
        return [it for it in self.servers.values() if it.entry.service == service]

    def rotate_key(self, account: str, key: str) -> None:
        """Replace an account's API key and revoke the old one."""
        old = self.clients.keys[account]
        self.clients.keys[account] = key
        self.clients.revoked_keys[account] = old
        self.apply_config()
        self._record_change("key removed", old)

    def apply_config(self) -> int:
        """Write a new version of the configuration to the store and return it."""
        assert self.store.config is not None
        version = self.store.config.version + 1
        self.store.config = make_config(self.site, version, self.clients.keys)
        self.store.increment_revision()
        self._record_change("version", str(version))
        return version

    def _derive_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def _list_zones(self) -> list[ZoneId]:
        return [ZoneId(zone) for zone in self.site.zones]

    def _add_servers(self, servers: Sequence[EmulatedServer]) -> None:
        for server in servers:
            self.servers[server.entry.id] = server
            if isinstance(server, EmulatedEngine):
                server.crashing_parts = self.crashing_parts
            self.store.backends[server.entry.id] = server.entry
            self.network.zones[server.entry.host] = server.entry.zone
        self.store.increment_revision()

    async def _follow_rollout(self, record: RolloutRecord) -> None:
        """Stop servers as the platform does after the verdict on a roll-out."""
        while True:
            await self.run(ROLLOUT_CHECK_SECONDS)
            order = self.store.rollouts.get(ServiceId(record.service))
            if order is None or order.target != record.target:
                return
            if order.stated_target != record.target or order.state is None:
                continue
            if order.state != record.state:
                record.state, record.stated_at = order.state, self.loop.time()
            if order.state is not RolloutState.ACTIVE:
                break
        targets, others = [], []
        for server in self.list_servers(record.service):
            is_target = server.entry.version == record.target
            (targets if is_target else others).append(server.entry.id)
        if record.state == RolloutState.COMPLETED:
            self._record_change("rollout completed", record.service)
            for name in others:
                self._end_server(name)
            return
        self._record_change("rollout rolled back", record.service)
        await self.run(ROLLBACK_DRAIN_SECONDS)
        for name in targets:
            self.remove(name)

    def _find_server(self, address: tuple[str, int]) -> EmulatedServer | None:
        for server in self.servers.values():
            if server.entry.address == address:
                return server
        return None

    def _end_server(self, name: str) -> None:
        self.servers[name].crash()
        self.store.backends.pop(name, None)
        self.store.increment_revision()
        self._record_change("gone", name)

    def _resolve_addresses(self, zone: str) -> Sequence[str] | None:
        hosts = [
            host
            for host in self.gateways
            if host not in self.frozen and self.network.can_reach("clients", host)
        ]
        if not hosts:
            return None
        same_zone = [host for host in hosts if self.network.zones[host] == zone]
        host = self.rng.choice(same_zone or hosts)
        return self.gateways[host].entry_selector.list_entry_addresses(zone)

    def _find_handler(self, host: str) -> Any:
        gateway = self.gateways.get(host)
        return None if gateway is None else partial(_handle, gateway)

    def _remove_gateway(self, host: str, gateway: Gateway) -> None:
        """Remove a gateway unless its host runs a newer one."""
        if self.gateways.get(host) is gateway:
            del self.gateways[host]

    def _thaw(self, host: str) -> None:
        self.frozen.discard(host)
        self.loop.thaw(host)

    def _record_change(self, kind: str, target: str) -> None:
        self.history.planned_changes.append(
            PlannedChange(kind, target, self.loop.time())
        )

    def _record_fault(self, kind: str, target: str, until: float) -> None:
        fault = Fault(kind, target, self.loop.time(), until)
        self.history.faults.append(fault)

    def _close_fault(self, kind: str, target: str, since: float) -> None:
        now = self.loop.time()
        self.history.faults.append(Fault(kind, target, since, now))

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _handle(
    gateway: Gateway, request: HttpRequest, responder: EmulatedResponder
) -> None:
    """Handle a request as a connection does."""
    try:
        await gateway.handle(request, responder)
    except CallerDisconnectedError:
        raise
    except Exception as error:
        gateway.errors.record("HTTP request", error)


def emulate(
    site: Site,
    seconds: float,
    seed: int = 1,
    scheduler_settings: SlotSchedulerSettings | None = None,
    settle: float = 16.0,
) -> History:
    """Emulate a site with traffic, then without for a while, and return the history."""

    async def run() -> History:
        async with Emulation(site, seed, scheduler_settings) as emulation:
            emulation.start_traffic(seconds)
            await emulation.run(seconds + settle)
        return emulation.history

    return run_virtual(run())
