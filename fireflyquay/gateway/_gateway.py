"""Gateway of one VM, with its sockets, clocks and background tasks."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace

import logbook

from fireflyquay.dispatch import (
    MemoryAccount,
    PlacementSettings,
    ReplicaSync,
    RunDurations,
    SlotSchedulerSettings,
)
from fireflyquay.links import (
    BackendClient,
    BodyMemory,
    ConnectionGuard,
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponder,
    HttpServer,
    LinkFactory,
    PeerLink,
)
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import (
    BackendServerId,
    EntryVm,
    FleetConfig,
    Incarnation,
    RegionId,
    VmListing,
    ZoneId,
)

from ._backend_paths import BackendPaths
from ._claims import KeyClaims
from ._clock import AgeClock, BootClock
from ._coordinator_factory import make_coordinator
from ._dialect import Dialect, FleetSource
from ._directory import ENTRY_VMS_TTL_SECONDS, DirectoryHandlers
from ._discovery import Discovery
from ._entry_selector import EntrySelector, compute_strength
from ._evidence_keeper import EvidenceKeeper
from ._fleet import Fleet
from ._forwarder import Forwarder
from ._gateway_metrics import GatewayMetrics
from ._ingress import DEFAULT_TIMEOUT_SECONDS, Ingress
from ._origin_archiver import OriginArchiver
from ._quarantine import Quarantine
from ._rollout_keeper import RolloutKeeper
from ._settings import GatewaySettings, VmSettings, split_address
from ._slot_client import SlotClient
from ._state_replicas import StateReplicas
from ._status import GatewayStatus
from ._stop_guard import StopGuard
from ._stream_locator import StreamLocator

LOG = logbook.Logger("gateway")

INCARNATION_BYTES = 6
# Reported as the age of a replica that was never read.
UNKNOWN_AGE_SECONDS = -1.0
# Seconds for which a stopping VM still accepts connections, because clients may use an
# old list of addresses: its TTL plus the network delay.
ACCEPT_WHILE_STOPPING_SECONDS = ENTRY_VMS_TTL_SECONDS + 0.5
# Seconds at the end of the stop's grace period that are reserved for closing
# connections, which takes a few tens of milliseconds, more on a busy machine.
CLOSE_MARGIN_SECONDS = 0.5
# Seconds before that in which requests without a response are answered.
RESPONSE_MARGIN_SECONDS = 0.15
# Seconds between checks whether a stop is complete; much shorter than the grace period.
STOP_POLL_INTERVAL_SECONDS = 0.05
# Seconds between log lines that state what a stop waits for.
STOP_REPORT_INTERVAL_SECONDS = 1.0
# Seconds beyond the configured idle timeout for which a client's connection is kept, so
# that a request that is in transit when the timeout expires still finds it open.
IDLE_MARGIN_SECONDS = 2.0
# Age of the configuration, as a share of the bound for revoked keys, at which a VM
# reports that it isn't ready. The rest of the bound suffices to serve the clients that
# were directed here before.
MAX_READY_AGE_SHARE = 0.6
# Seconds until a failed task is restarted: shorter than the intervals that the
# guaranteed bounds depend on, long enough that a persistent fault overloads neither the
# CPU nor the log.
TASK_RETRY_SECONDS = 0.5
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1024
# Share of the memory for requests' bodies. A body is held up to three times while it is
# sent to a backend server.
BODY_MEMORY_SHARE = 0.25
# Share of the memory for all that connections hold. The rest is for the program, the
# configuration and the registry.
CONNECTION_MEMORY_SHARE = 0.6
# Time within which clients may resume a stream, as a multiple of the longest timeout of
# any stream's route.
RESUMABLE_TIME_FACTOR = 2.0
# Seconds from the end of a request's headers to the end of its body: enough for the
# largest body over a shared link of a few Mbit/s.
BODY_TIMEOUT_SECONDS = 30.0


class Gateway:
    """Run the gateway of one VM on the current event loop."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        source: FleetSource,
        client: BackendClient,
        clock: AgeClock | None = None,
        rng: random.Random | None = None,
        claims: KeyClaims | None = None,
        make_link: LinkFactory = PeerLink,
        incarnation: Incarnation | None = None,
        scheduler_settings: SlotSchedulerSettings | None = None,
    ) -> None:
        self._settings = settings
        self._client = client
        self._clock = clock or BootClock()
        rng = rng or random.Random()
        self.metrics = GatewayMetrics()
        self.errors = UnexpectedErrors()
        self.errors.on_error = self.metrics.record_unexpected_error
        promises, vm = settings.promises, settings.vm
        self._guard = ConnectionGuard(
            _make_memory_account(vm), vm.events_per_turn, self.errors
        )
        self._make_link = make_link
        self.incarnation = incarnation or generate_incarnation()
        self.replicas = StateReplicas(
            source,
            self._clock,
            settings.store.read_period,
            lambda: self.fleet.is_coordinating,
            self.metrics,
            apply=promises.apply,
            drain=promises.drain,
        )
        self.replicas.on_change = self._apply_replicas
        scheduler_settings = scheduler_settings or SlotSchedulerSettings(
            placement=PlacementSettings(zones=settings.zones)
        )
        self._coordinator = make_coordinator(
            self.incarnation,
            promises,
            self.replicas.config,
            scheduler_settings,
            rng,
            settings.rollout if source.keeps_rollouts() else None,
            self.errors,
        )
        self._coordinator.beliefs.on_leaving = self._exclude_leaving
        self._slot_client = SlotClient(self.incarnation, self._coordinator, self.errors)
        self._quarantine = Quarantine(self._clock, rng)
        self._evidence = EvidenceKeeper(
            source, self._quarantine, self._clock, lambda: self.fleet.is_coordinating
        )
        self._rollouts = RolloutKeeper(
            source,
            self._coordinator.rollouts,
            self._coordinator.count_runs,
            self._clock,
            lambda: self.fleet.is_coordinating,
            self.errors,
        )
        self._stream_locator = StreamLocator(
            self._coordinator.origins,
            self.replicas.backends,
            self.replicas.confirm_backends,
            self._clock,
        )
        self._archiver = OriginArchiver(
            source,
            self._coordinator.origins,
            self.replicas.backends,
            self._stream_locator,
            self._clock,
            lambda: self.fleet.is_coordinating,
        )
        self._stream_locator.on_unknown = self._archiver.request_read
        self.replicas.on_backends_read = self._archiver.request_writes
        self.paths = BackendPaths(
            client,
            self.replicas.backends,
            self._slot_client.pause_unreachable,
            self._slot_client.is_resting,
            # Apart, so that other draws don't depend on how connections open.
            random.Random(self.incarnation),
        )
        self.fleet = self._make_fleet(rng)
        self.fleet.use_guard(self._guard)
        self.paths.connect(self.fleet)
        self.fleet.carry_tunnels(self.paths.open_for_tunnel)
        self._slot_client.connect(self.fleet)
        self._quarantine.connect(self.fleet)
        self._stream_locator.connect(self.fleet)
        own = self.fleet.get_own_vm()
        listing = VmListing(own.host, own.peer_port, own.zone, own.region)
        self._discovery = Discovery(source, listing, self.fleet)
        self._stop_guard = StopGuard(RunDurations())
        self._forwarder = Forwarder(
            client,
            self.paths,
            self._slot_client,
            self._quarantine,
            self.metrics,
            self._stop_guard,
            self.errors,
        )
        self._ingress = Ingress(
            self.incarnation,
            ZoneId(vm.zone),
            dialect,
            self.replicas,
            self._clock,
            self._slot_client,
            self._forwarder,
            self.paths,
            self._quarantine,
            self._stream_locator,
            self._stop_guard,
            claims,
            self.metrics,
            promises,
            rng,
            self.errors,
        )
        self._add_gauges()
        self.entry_selector = EntrySelector(self.fleet, self.is_ready, rng)
        self.directory = DirectoryHandlers(
            dialect,
            self.entry_selector.list_entry_addresses,
            self.is_ready,
            promises.max_keep,
        )
        limits = HttpLimits(
            body_timeout=BODY_TIMEOUT_SECONDS,
            read_ahead_bytes=vm.read_ahead_kb * BYTES_PER_KB,
        )
        # Handlers of further paths on the clients' address.
        self.handlers_by_path: dict[str, Handler] = {}
        self._body_memory = BodyMemory(_compute_body_memory_bytes(vm))
        self._client_server = self._make_server(self.handle, limits)
        self._readiness_server = self._make_server(
            self.directory.serve_readiness, limits
        )
        self._directory_server = self._make_server(self.directory.serve_entries, limits)
        self._metrics_server = self._make_server(self.metrics.serve, limits)
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()

    def _make_server(self, handler: Handler, limits: HttpLimits) -> HttpServer:
        uses_reserve = handler != self.handle
        return HttpServer(handler, limits, self._body_memory, self._guard, uses_reserve)

    def _make_fleet(self, rng: random.Random) -> Fleet:
        vm = self._settings.vm
        zone, region = ZoneId(vm.zone), RegionId(vm.region)
        host, peer_port = split_address(vm.peer_address)
        client_port = split_address(vm.client_address)[1]
        own = EntryVm(
            self.incarnation,
            zone,
            region,
            host,
            client_port,
            peer_port,
            compute_strength(vm),
        )
        hosts = [split_address(seed)[0] for seed in vm.seeds]
        seeds = [VmListing(it, vm.peer_port, zone, region) for it in hosts]
        return Fleet(
            own,
            seeds,
            self._coordinator,
            self._slot_client,
            ReplicaSync(
                own,
                self.replicas.config,
                self.replicas.backends,
                self.replicas,
                lambda: self._guard.account.is_short,
            ),
            self._quarantine,
            self._stream_locator,
            self._clock,
            self.is_ready,
            self.replicas.are_old,
            self._apply_replicas,
            rng,
            self.errors,
            self._make_link,
        )

    def _add_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge(
            "config_version",
            "Version of the configuration in force.",
            lambda: self.replicas.config.version,
        )
        add_gauge(
            "config_age_seconds",
            "Time since the configuration was proven current.",
            self.replicas.compute_config_age,
        )
        add_gauge(
            "registry_age_seconds",
            "Time since the backend registry was proven current.",
            self.replicas.compute_registry_age,
        )
        add_gauge(
            "unreadable_registrations",
            "Registrations of the last list that can't be read.",
            lambda: self.replicas.unreadable_count,
        )
        add_gauge(
            "in_progress", "Requests in progress.", lambda: self._ingress.in_progress
        )
        add_gauge(
            "body_bytes",
            "Bytes of the requests' bodies that are held.",
            lambda: self._body_memory.held_bytes,
        )
        self._add_memory_gauges()
        add_gauge(
            "waiting",
            "Requests that wait for a place.",
            self._slot_client.count_waiting,
        )
        add_gauge(
            "unknown_runs",
            "Slots of backend servers that hold runs of no known grant.",
            self._slot_client.count_unknown_runs,
        )
        add_gauge(
            "most_held_tokens",
            "Most tokens that the known runs of one backend server hold.",
            self._slot_client.get_most_held_tokens,
        )
        add_gauge(
            "reduced_rooms",
            "Services whose room was learned to be less than stated.",
            self._slot_client.count_reduced_rooms,
        )
        add_gauge(
            "vms", "VMs that take requests.", lambda: len(self.fleet.list_entry_vms())
        )
        add_gauge(
            "coordinating",
            "Whether this VM gives out places for the others.",
            lambda: float(self.fleet.is_coordinating),
        )
        add_gauge(
            "paths_down",
            "Backend servers that this VM can't connect to, but others can.",
            lambda: self.paths.down_count,
        )
        add_gauge(
            "carried_tunnels",
            "Connections to backend servers that this VM carries for others.",
            lambda: self.fleet.carried_count,
        )
        machines = self._coordinator.machines
        add_gauge(
            "machine_readings",
            "Statements of a machine's slowness that this VM received.",
            lambda: machines.readings_received,
        )
        add_gauge(
            "machine_forecasts",
            "Forecasts that a statement of a machine's slowness changed.",
            lambda: machines.adjusted_forecasts,
        )
        add_gauge(
            "machine_reading_weight",
            "Lowest weight of fresh statements of slowness among services.",
            lambda: machines.lowest_weight,
        )
        zones = self._coordinator.zones
        add_gauge(
            "zone_departures",
            "Grants at backend servers outside of the VM's zone.",
            lambda: zones.departure_count,
        )
        add_gauge(
            "zone_stays",
            "Grants in the VM's zone while leaving it has a cost.",
            lambda: zones.stays,
        )
        add_gauge(
            "zones_short",
            "Ranks and services that are short of slots, by zone.",
            lambda: zones.short_count,
        )
        traffic = self.fleet.traffic
        add_gauge(
            "peer_bytes_sent", "Bytes sent to other VMs.", lambda: traffic.bytes_sent
        )
        add_gauge(
            "peer_bytes_received",
            "Bytes received from other VMs.",
            lambda: traffic.bytes_received,
        )
        add_gauge(
            "peer_messages_dropped",
            "Messages to VMs that took none.",
            lambda: traffic.messages_dropped,
        )
        add_gauge(
            "peer_messages_rejected",
            "Messages of other VMs that can't be read.",
            lambda: traffic.messages_rejected,
        )
        self.metrics.add_rollouts(self._coordinator.rollouts.list_views)

    def _add_memory_gauges(self) -> None:
        add_gauge, guard = self.metrics.add_gauge, self._guard
        add_gauge(
            "connection_bytes",
            "Bytes that connections hold.",
            lambda: guard.account.held_bytes,
        )
        add_gauge(
            "connections",
            "Connections of clients and other VMs.",
            lambda: guard.account.holder_count,
        )
        add_gauge(
            "memory_short",
            "Whether the memory for connections is short.",
            lambda: float(guard.account.is_short),
        )
        add_gauge(
            "connections_closed_for_memory",
            "Connections closed so far for lack of memory.",
            lambda: guard.closed_count,
        )
        add_gauge(
            "refused_for_memory",
            "Connections, requests and messages refused so far for lack of memory.",
            lambda: guard.refused_count,
        )
        add_gauge(
            "parser_turns",
            "Turns so far of connections that had much to parse.",
            lambda: guard.turns.taken_count,
        )
        add_gauge(
            "waiting_parsers",
            "Connections that wait for their turn to parse.",
            lambda: guard.turns.waiting_count,
        )

    def is_ready(self) -> bool:
        """Return whether this VM accepts requests and has a fresh configuration."""
        limit = self._settings.promises.revoke * MAX_READY_AGE_SHARE
        if (
            self._stopping
            or not self.replicas.is_loaded
            or not self._evidence.has_tried
        ):
            return False
        return self.replicas.compute_config_age() < limit

    def get_status(self) -> GatewayStatus:
        """Return the state of this gateway for operators."""
        now = self._clock.read()
        config, backends = self.replicas.config, self.replicas.backends
        phases = Counter(entry.phase.value for entry in backends.list_backends())
        return GatewayStatus(
            self.incarnation,
            ZoneId(self._settings.vm.zone),
            self.is_ready(),
            tuple(vm.incarnation for vm in self.fleet.list_entry_vms()),
            self.fleet.choose_coordinator(),
            config.version,
            _round_age(config.compute_age(now)),
            _round_age(backends.freshness.compute_age(now)),
            dict(phases),
            self._ingress.in_progress,
            self._slot_client.count_waiting(),
        )

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request on the clients' address."""
        if request.lacks_body:
            self._guard.refuse("request")
            await self._ingress.refuse_body(request, responder)
            return
        handler = (
            self.handlers_by_path.get(request.path) if self.handlers_by_path else None
        )
        await (handler or self._ingress.handle)(request, responder)

    async def start(self) -> None:
        """Start the background tasks and listen on all addresses."""
        await self.start_tasks()
        vm = self._settings.vm
        for server, address in (
            (self._client_server, vm.client_address),
            (self._readiness_server, vm.ready_address),
            (self._directory_server, vm.directory_address),
            (self._metrics_server, vm.metrics_address),
        ):
            if address:
                await server.start(*split_address(address))
        self.replicas.report_late_changes()
        LOG.info(
            "started",
            extra={
                "vm": vm.name,
                "incarnation": self.incarnation,
                "zone": vm.zone,
                "address": vm.client_address,
            },
        )

    async def start_tasks(self) -> None:
        """Start the background tasks and listen for other VMs, but not for clients."""
        self._coordinator.limits.mark_unknown(asyncio.get_running_loop().time())
        await self.fleet.start()
        for run in (
            self.replicas.poll_config,
            self.replicas.poll_backends,
            self.fleet.run_membership,
            self.fleet.run_probes,
            self._discovery.register,
            self._discovery.discover_vms,
            self._slot_client.advance_requests,
            self._slot_client.report_active_runs,
            self.paths.test_paths,
            self._quarantine.spread_evidence,
            self._evidence.keep,
            self._rollouts.keep,
            self._archiver.write_archive,
            self._archiver.read_archive,
            self._guard.run,
        ):
            self._spawn(run)

    async def stop(self) -> None:
        """Finish requests in progress within the grace period, then close."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._stopping = True
        LOG.info("stopping", extra={"in_progress": self._ingress.in_progress})
        self.fleet.leave()
        self.fleet.carry_tunnels(None)
        self._client_server.stop_keep_alive()
        deadline = (
            started_at + self._settings.promises.stop_grace - CLOSE_MARGIN_SECONDS
        )
        accepts_until = started_at + ACCEPT_WHILE_STOPPING_SECONDS
        self._stop_guard.begin(deadline - RESPONSE_MARGIN_SECONDS, accepts_until)
        report_at = started_at + STOP_REPORT_INTERVAL_SECONDS
        while loop.time() < deadline:
            if loop.time() >= report_at:
                report_at += STOP_REPORT_INTERVAL_SECONDS
                LOG.info("still stopping", extra=self._describe_unfinished())
            if loop.time() > accepts_until:
                self._client_server.stop_accepting()
                self._client_server.stop_keep_alive()
                if not self._client_server.connection_count + self.fleet.carried_count:
                    break
            await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        unfinished = self._describe_unfinished()
        cut_off = unfinished.pop("in_progress")
        await self._shut_down(deadline)
        taken = round(loop.time() - started_at, 2)
        LOG.info("stopped", extra={"cut_off": cut_off, **unfinished, "taken": taken})

    def _describe_unfinished(self) -> dict[str, int]:
        """Return the log fields of what a stop waits for."""
        return {
            "in_progress": self._ingress.in_progress + self.fleet.carried_count,
            "connections": self._client_server.count_busy_connections(),
            "unsent_bytes": self._client_server.count_unsent_bytes(),
        }

    async def abort(self) -> None:
        """Close at once and abort the requests in progress."""
        self._stopping = True
        await self._shut_down(asyncio.get_running_loop().time())

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the bound for revoked keys; log other changes as needing a restart."""
        old = self._settings
        if settings.vm != old.vm:
            LOG.warning("settings of the VM need a restart", extra={"vm": old.vm.name})
        promises = replace(old.promises, revoke=settings.promises.revoke)
        need_restart = [
            name
            for name in ("store", "log", "rollout")
            if getattr(settings, name) != getattr(old, name)
        ]
        if settings.promises != promises:
            need_restart.append("promises")
        self._settings = replace(old, promises=promises)
        self._ingress.set_promises(promises)
        LOG.info(
            "settings reloaded",
            extra={"revoke": promises.revoke, "need_restart": need_restart},
        )

    async def _shut_down(self, deadline: float) -> None:
        """Close, and abort the exchanges that last beyond the deadline."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        servers = (
            self._client_server,
            self._readiness_server,
            self._directory_server,
            self._metrics_server,
        )
        grace_seconds = max(0.0, deadline - asyncio.get_running_loop().time())
        await asyncio.gather(*(server.close(grace_seconds) for server in servers))
        await self._forwarder.close()
        await self.paths.close()
        await self.fleet.close()
        await self._client.close()

    def _spawn(self, run: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.get_running_loop().create_task(self._restart_on_failure(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart_on_failure(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task to its end; restart it after an unexpected exception."""
        while True:
            try:
                await run()
                return
            except Exception:
                self.errors.add("task")
                LOG.exception("a task failed", extra={"task": run.__qualname__})
                await asyncio.sleep(TASK_RETRY_SECONDS)

    def _exclude_leaving(self, backend: BackendServerId, born_ms: int) -> None:
        self.replicas.backends.mark_leaving(backend, born_ms)
        self._apply_replicas()

    def _apply_replicas(self) -> None:
        registry = self.replicas.backends
        # A registration may be wrong; a VM would take requests for new ones.
        served_by_vms = self.fleet.list_served_addresses()
        ready = [
            entry
            for entry in registry.list_backends()
            if registry.accepts_requests(entry.id)
            and entry.address not in served_by_vms
        ]
        self._coordinator.set_backends(ready)
        config = self.replicas.config.config
        if config is None:
            return
        self._coordinator.origins.lifetime = _compute_resumable_seconds(config)
        limits = config.limits
        http_limits = HttpLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout,
            body_timeout=BODY_TIMEOUT_SECONDS,
            idle_timeout=limits.idle_timeout + IDLE_MARGIN_SECONDS,
            read_ahead_bytes=self._client_server.limits.read_ahead_bytes,
        )
        if http_limits != self._client_server.limits:
            self._client_server.set_limits(http_limits)


def _compute_body_memory_bytes(vm: VmSettings) -> float:
    """Return the bytes of bodies that a VM holds at the same time."""
    body_memory_mb = vm.body_memory_mb or vm.memory_mb * BODY_MEMORY_SHARE
    return body_memory_mb * BYTES_PER_MB


def _make_memory_account(vm: VmSettings) -> MemoryAccount:
    """Return the account of what all connections of a VM hold."""
    connection_memory_mb = (
        vm.connection_memory_mb or vm.memory_mb * CONNECTION_MEMORY_SHARE
    )
    return MemoryAccount(
        connection_memory_mb * BYTES_PER_MB, vm.stalled_connection_seconds
    )


def _compute_resumable_seconds(config: FleetConfig) -> float:
    """Return the seconds within which clients may resume a stream."""
    timeouts = [route.timeout for route in config.routes if route.is_stream]
    return RESUMABLE_TIME_FACTOR * max(timeouts, default=DEFAULT_TIMEOUT_SECONDS)


def _round_age(seconds: float) -> float:
    return round(seconds, 2) if math.isfinite(seconds) else UNKNOWN_AGE_SECONDS


def generate_incarnation() -> Incarnation:
    """Return a random identifier for one run of the process."""
    return Incarnation(secrets.token_hex(INCARNATION_BYTES))
