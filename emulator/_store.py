"""Emulated store of the configuration, backend servers and VM registrations."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from fireflyquay.dispatch import VersionRecord
from fireflyquay.gateway import (
    BackendsSnapshot,
    ConfigSnapshot,
    FleetSource,
    StoredRecord,
    StoredVersions,
    VmRegistration,
)
from fireflyquay.links import HttpFailure
from fireflyquay.world import BackendEntry, Code, FleetConfig, VmListing

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
        self.versions = StoredVersions(VersionRecord(), 0, 0)
        self.records: dict[str, StoredRecord] = {}
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

    keeps_versions = True
    keeps_records = True

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

    async def read_versions(self) -> StoredVersions:
        """Return the record of software versions."""
        await self._call_store()
        return self._store.versions

    async def write_versions(
        self, record: VersionRecord, revision: int
    ) -> StoredVersions | None:
        """Replace the record; return None if its revision is another by now."""
        await self._call_store()
        if self._store.versions.revision != revision:
            return None
        new = StoredVersions(record, self._store.increment_revision(), 0)
        self._store.versions = new
        return new

    async def read_record(self, kind: str) -> StoredRecord:
        """Return the fleet's own record of a kind."""
        await self._call_store()
        return self._store.records.get(kind, StoredRecord(None, 0))

    async def write_record(self, kind: str, spec: bytes, revision: int) -> int | None:
        """Replace a record; return its revision, or None if it was another by now."""
        await self._call_store()
        known = self._store.records.get(kind, StoredRecord(None, 0))
        if known.revision != revision:
            return None
        new = StoredRecord(spec, self._store.increment_revision())
        self._store.records[kind] = new
        return new.revision

    async def _call_store(self) -> None:
        if not self._is_reachable():
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise HttpFailure(Code.BACKEND_TIMEOUT, "The store is unreachable.", True)
        await self._store.simulate_call(self._host)
