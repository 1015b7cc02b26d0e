"""Emulated store of the configuration, backend servers and VM registrations."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import msgspec

from fireflyquay.dispatch import RolloutProgress
from fireflyquay.gateway import (
    BackendsSnapshot,
    ConfigSnapshot,
    FleetSource,
    StoredRecord,
    VmRegistration,
)
from fireflyquay.gateway._dialect import R
from fireflyquay.links import HttpFailure
from fireflyquay.world import (
    DECODE_ERRORS,
    BackendEntry,
    Code,
    FleetConfig,
    RolloutOrder,
    RolloutState,
    ServiceId,
    VmListing,
)

# Mean response time.
RESPONSE_SECONDS = 0.004
# Timeout of a call.
TIMEOUT_SECONDS = 1.0


class EmulatedStore:
    """Hold the configuration and registrations, and fail calls on demand."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.revision = 1
        self.config: FleetConfig | None = None
        self.backends: dict[str, BackendEntry] = {}
        self.vms: dict[str, VmRegistration] = {}
        # Records of the VMs by type: JSON, and the revision of its last change.
        self.records: dict[type, tuple[bytes, int]] = {}
        # Orders of roll-outs by service, and their progress as records are held.
        self.orders: dict[ServiceId, RolloutOrder] = {}
        self.progress: dict[ServiceId, tuple[bytes, int]] = {}
        # Called with each final state of an order.
        self.on_verdict: Callable[[RolloutOrder], None] = lambda order: None
        # Hosts whose calls fail.
        self.refused_hosts: set[str] = set()
        # Whether all calls fail.
        self.is_down = False
        # Seconds by which responses are delayed.
        self.delay = 0.0
        self.calls = 0

    def increment_revision(self) -> int:
        """Increment the revision and return it."""
        self.revision += 1
        return self.revision

    async def simulate_call(self, host: str) -> None:
        """Delay a call until its response; raise HttpFailure if the call fails."""
        self.calls += 1
        await asyncio.sleep(self._rng.uniform(0.5, 1.5) * RESPONSE_SECONDS)
        if self.is_down or host in self.refused_hosts:
            raise HttpFailure(Code.STORE_UNAVAILABLE, "The store is unavailable.", True)
        if self.delay > TIMEOUT_SECONDS:
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise HttpFailure(
                Code.BACKEND_TIMEOUT, "The store did not respond in time.", True
            )
        await asyncio.sleep(self.delay)


class EmulatedSource(FleetSource):
    """Give one gateway access to the emulated store."""

    def __init__(
        self, store: EmulatedStore, host: str, is_reachable: Callable[[], bool]
    ) -> None:
        self._store = store
        self._host = host
        self._is_reachable = is_reachable

    async def read_config(self) -> ConfigSnapshot:
        """Return the newest configuration."""
        await self._call_store()
        return ConfigSnapshot(self._store.config, self._store.revision)

    async def list_backends(self) -> BackendsSnapshot:
        """Return all registered backend servers."""
        await self._call_store()
        return BackendsSnapshot(
            tuple(self._store.backends.values()), self._store.revision
        )

    async def register_vm(self, listing: VmListing) -> None:
        """Create a VM's registration, or update it if it has changed."""
        await self._call_store()
        name = f"{listing.host}-{listing.peer_port}"
        known = self._store.vms.get(name)
        if known is None or known.listing != listing:
            revision = self._store.increment_revision()
            self._store.vms[name] = VmRegistration(name, listing, revision)

    async def list_vms(self) -> tuple[VmRegistration, ...]:
        """Return all registered VMs, including ones that no longer run."""
        await self._call_store()
        return tuple(self._store.vms.values())

    async def remove_vm(self, registration: VmRegistration) -> None:
        """Remove a registration unless it has changed."""
        await self._call_store()
        if self._store.vms.get(registration.name) == registration:
            del self._store.vms[registration.name]
            self._store.increment_revision()

    def keeps_record(self, kind: type[R]) -> bool:
        """Return whether the store takes records of a type."""
        return True

    async def read_record(self, kind: type[R]) -> StoredRecord[R]:
        """Return the record of a type; there is one of each."""
        await self._call_store()
        spec, revision = self._store.records.get(kind, (b"", 0))
        try:
            record = msgspec.json.decode(spec, type=kind)
        except DECODE_ERRORS:
            record = kind()
        return StoredRecord(record, revision, 0)

    async def write_record(self, record: R, revision: int) -> StoredRecord[R] | None:
        """Replace the record; return None if its revision is another by now."""
        await self._call_store()
        _, known_revision = self._store.records.get(type(record), (b"", 0))
        if revision != known_revision:
            return None
        new_revision = self._store.increment_revision()
        self._store.records[type(record)] = msgspec.json.encode(record), new_revision
        return StoredRecord(record, new_revision, 0)

    def keeps_rollouts(self) -> bool:
        """Return whether the store takes orders of roll-outs."""
        return True

    async def list_rollouts(self) -> tuple[RolloutOrder, ...]:
        """Return all orders of roll-outs, with the states written last."""
        await self._call_store()
        return tuple(self._store.orders.values())

    async def write_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        """Write an order's state; return None if the order has changed since."""
        await self._call_store()
        known = self._store.orders.get(order.service)
        if known is None or known.revision != order.revision:
            return None
        revision = self._store.increment_revision()
        written = replace(
            order, revision=revision, state=state, stated_target=order.target
        )
        self._store.orders[order.service] = written
        if state is not RolloutState.ACTIVE:
            self._store.on_verdict(written)
        return written

    async def read_rollout_progress(
        self, service: ServiceId
    ) -> StoredRecord[RolloutProgress]:
        """Return the progress of a service's roll-out; empty if none is stored."""
        await self._call_store()
        spec, revision = self._store.progress.get(service, (b"{}", 0))
        record = msgspec.json.decode(spec, type=RolloutProgress)
        return StoredRecord(record, revision, 0)

    async def write_rollout_progress(
        self, service: ServiceId, progress: RolloutProgress, revision: int
    ) -> StoredRecord[RolloutProgress] | None:
        """Replace the progress; return None if its revision is another by now."""
        await self._call_store()
        if self._store.progress.get(service, (b"", 0))[1] != revision:
            return None
        new_revision = self._store.increment_revision()
        self._store.progress[service] = msgspec.json.encode(progress), new_revision
        return StoredRecord(progress, new_revision, 0)

    async def _call_store(self) -> None:
        if not self._is_reachable():
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise HttpFailure(Code.BACKEND_TIMEOUT, "The store is unreachable.", True)
        await self._store.simulate_call(self._host)
