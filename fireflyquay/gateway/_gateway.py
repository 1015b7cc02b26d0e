"""The gateway daemon: binds decisions to sockets and clocks."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Coroutine, Sequence

import logbook

from fireflyquay.dispatch import Grantor, GrantorSettings, RepeatBudget
from fireflyquay.links import HttpClient, HttpLimits, HttpServer
from fireflyquay.world import Incarnation, ZoneId

from ._beliefs import Beliefs
from ._clock import AgeClock, BootClock
from ._dialect import Dialect, FleetSource
from ._directory import Directory
from ._forwarder import Forwarder
from ._ingress import Ingress
from ._settings import GatewaySettings, split_address
from ._slot_desk import SlotDesk

LOG = logbook.Logger("gateway")

INCARNATION_BYTES = 6
# Seconds after a stop's begin in which clients with an old list still connect.
LINGER_SECONDS = 2.5
# Seconds of the stop's grace that are left for closing connections.
CLOSE_MARGIN_SECONDS = 0.5
# Seconds between looks at whether a stop is complete.
STOP_POLL_SECONDS = 0.05
# Seconds beyond the stated idle time for which a client's connection is kept.
IDLE_MARGIN_SECONDS = 2.0
# Age of the configuration at which a VM no longer counts as ready, as a part of the
# promised bound.
READY_AGE_SHARE = 0.6
BODY_SECONDS = 30.0


class Gateway:
    """Run one VM's gateway on the current loop."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        source: FleetSource,
        client: HttpClient,
        clock: AgeClock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or BootClock()
        rng = rng or random.Random()
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        promises, vm = settings.promises, settings.vm
        self._beliefs = Beliefs(source, self._clock, settings.store.read_period)
        self._beliefs.on_change = self._apply_beliefs
        self._desk = SlotDesk(Grantor(GrantorSettings(), rng))
        self._repeats = RepeatBudget(
            promises.repeat_ratio, promises.repeat_slack, promises.repeat_window
        )
        self._ingress = Ingress(
            self.incarnation,
            ZoneId(vm.zone),
            dialect,
            self._beliefs,
            self._clock,
            self._desk,
            Forwarder(client, dialect, self._desk),
            self._repeats,
            promises.revoke,
            rng,
        )
        self._directory = Directory(
            dialect, self._list_addresses, self.is_ready, promises.max_keep
        )
        limits = HttpLimits(body_timeout=BODY_SECONDS)
        self._clients = HttpServer(self._ingress.handle, limits)
        self._ready = HttpServer(self._directory.report_ready, limits)
        self._resolver = HttpServer(self._directory.resolve, limits)
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()

    def is_ready(self) -> bool:
        """Tell whether this VM takes requests and can judge them."""
        limit = self._settings.promises.revoke * READY_AGE_SHARE
        if self._stopping or not self._beliefs.is_complete:
            return False
        return self._beliefs.measure_config_age() < limit

    async def start(self) -> None:
        """Listen and begin to work."""
        vm = self._settings.vm
        self._spawn(self._beliefs.follow_config())
        self._spawn(self._beliefs.follow_backends())
        self._spawn(self._desk.tick())
        await self._clients.start(*split_address(vm.client_address))
        await self._ready.start(*split_address(vm.ready_address))
        await self._resolver.start(*split_address(vm.directory_address))
        LOG.info(
            "started",
            extra={
                "vm": vm.name,
                "incarnation": self.incarnation,
                "zone": vm.zone,
                "address": vm.client_address,
            },
        )

    async def stop(self) -> None:
        """End requests in progress within the grace, then close."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._stopping = True
        LOG.info("stopping", extra={"in_progress": self._ingress.in_progress})
        self._clients.stop_keeping()
        last = began + self._settings.promises.stop_grace - CLOSE_MARGIN_SECONDS
        while loop.time() < last:
            is_idle = not self._ingress.in_progress
            if is_idle and loop.time() - began > LINGER_SECONDS:
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        cut_off = self._ingress.in_progress
        await self._clients.close(0)
        await self._ready.close(0)
        await self._resolver.close(0)
        for task in self._tasks:
            task.cancel()
        LOG.info(
            "stopped",
            extra={"cut_off": cut_off, "taken": round(loop.time() - began, 2)},
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("a task failed", extra={"cause": repr(task.exception())})

    def _list_addresses(self, zone: str) -> Sequence[str]:
        return [self._settings.vm.client_address] if self.is_ready() else []

    def _apply_beliefs(self) -> None:
        self._desk.set_backends(
            [
                entry
                for entry in self._beliefs.backends.list_all()
                if self._beliefs.backends.takes_requests(entry.id)
            ],
            self._ingress.share,
        )
        config = self._beliefs.config.config
        if config is None:
            return
        limits = config.limits
        fresh = HttpLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout,
            body_timeout=BODY_SECONDS,
            idle_timeout=limits.idle_timeout + IDLE_MARGIN_SECONDS,
        )
        if fresh != self._clients.limits:
            self._clients.set_limits(fresh)
