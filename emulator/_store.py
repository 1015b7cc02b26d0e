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
    SoftwareVersion,
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
        # Orders of roll-outs, and what gateways keep of them: JSON and revision.
        self.rollouts: dict[ServiceId, RolloutOrder] = {}
        self.rollout_progress: dict[ServiceId, tuple[bytes, int]] = {}
        # Number of upcoming writes to roll-outs that are applied but get no response.
        self.lost_responses = 0
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

    def order_rollout(
        self, service: ServiceId, target: SoftwareVersion, duration_seconds: float
    ) -> None:
        """Write an operator's order; the state of an earlier one stays."""
        revision = self.increment_revision()
        old = self.rollouts.get(service)
        order = RolloutOrder(service, target, duration_seconds, revision)
        if old is not None:
            order = replace(order, state=old.state, stated_target=old.stated_target)
        self.rollouts[service] = order

    def withdraw_rollout(self, service: ServiceId) -> None:
        """Remove an operator's order."""
        del self.rollouts[service]
        self.increment_revision()

    async def simulate_response(self) -> None:
        """Raise HttpFailure if the response to a write that was applied is lost."""
        if self.lost_responses <= 0:
            return
        self.lost_responses -= 1
        await asyncio.sleep(TIMEOUT_SECONDS)
        raise HttpFailure(Code.BACKEND_TIMEOUT, "The response was lost.", True)

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
        """Return all orders of roll-outs."""
        await self._call_store()
        return tuple(self._store.rollouts.values())

    async def write_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        """Write an order's state; return None if the order has changed since."""
        await self._call_store()
        stored = self._store.rollouts.get(order.service)
        if stored is None:
            return None
        wanted = replace(
            order, state=state, stated_target=order.target, revision=stored.revision
        )
        if stored.revision == order.revision and stored != wanted:
            revision = self._store.increment_revision()
            stored = wanted = replace(wanted, revision=revision)
            self._store.rollouts[order.service] = stored
        await self._store.simulate_response()
        # As on the platform, a write that was already applied is confirmed.
        return stored if stored == wanted else None

    async def read_rollout_progress(
        self, service: ServiceId
    ) -> StoredRecord[RolloutProgress]:
        """Return the progress of a service's roll-out; empty if none is stored."""
        await self._call_store()
        spec, revision = self._store.rollout_progress.get(service, (b"{}", 0))
        record = msgspec.json.decode(spec, type=RolloutProgress)
        return StoredRecord(record, revision, 0)

    async def write_rollout_progress(
        self, service: ServiceId, progress: RolloutProgress, revision: int
    ) -> StoredRecord[RolloutProgress] | None:
        """Replace the progress; return None if its revision is another by now."""
        await self._call_store()
        _, known_revision = self._store.rollout_progress.get(service, (b"", 0))
        if revision != known_revision:
            return None
        new_revision = self._store.increment_revision()
        spec = msgspec.json.encode(progress)
        self._store.rollout_progress[service] = spec, new_revision
        await self._store.simulate_response()
        return StoredRecord(progress, new_revision, 0)

    async def _call_store(self) -> None:
        if not self._is_reachable():
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise HttpFailure(Code.BACKEND_TIMEOUT, "The store is unreachable.", True)
        await self._store.simulate_call(self._host)
