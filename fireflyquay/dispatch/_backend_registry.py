"""Replica of the registered backend servers and its freshness."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable

import msgspec
from xxhash import xxh64_intdigest

from fireflyquay.world import (
    BackendEntry,
    BackendPhase,
    BackendServerId,
    ServiceId,
    SoftwareVersion,
)

from ._freshness import Freshness
from ._version_record import VersionKey, VersionReading

# Seconds without a confirmation after which the store may have been down.
OUTAGE_SECONDS = 2.5
# The platform guarantees that a live backend server registers again within this time
# after the store's return from an outage.
REREGISTRATION_SECONDS = 2.0
# Age of the registry from which it may lack a version that streams have begun at.
MAX_VERSIONS_AGE_SECONDS = 1.0
# Seconds without a confirmation in which a version may have joined and left unnoticed.
MAX_OBSERVATION_GAP_SECONDS = 2.0
# Seconds for which versions that are no longer registered are remembered.
VERSION_MEMORY_SECONDS = 600.0
# Number of processes that are remembered as leaving: more than a large fleet replaces
# in a day.
MAX_LEAVING_MARKS = 4096
MILLISECONDS_PER_SECOND = 1000.0


class BackendRegistry:
    """Hold the registered backend servers; ignore lists of an older revision."""

    def __init__(self) -> None:
        self._entries: dict[BackendServerId, BackendEntry] = {}
        # Time until which entries may be missing after an outage of the store, on the
        # suspend-aware clock, and those that are.
        self._recovering_until = float("-inf")
        self._retained: frozenset[BackendServerId] = frozenset()
        # Time since which the store has surely responded to one VM after the other
        # without a gap, on the suspend-aware clock. A gap here alone proves no outage:
        # this VM may have been suspended.
        self._store_up_since: float | None = None
        # Position of the store's history at which it last came back from a copy, and
        # the time at which this VM learned of it.
        self.restored_revision = 0
        self._restored_at = float("-inf")
        self._digest: int | None = None
        # Time at which each version was last registered, for those that no longer are.
        self._left_at: dict[VersionKey, float] = {}
        # Processes that stated that they leave, by the start of each.
        self._leaving: dict[BackendServerId, int] = {}
        # Time since which the registry has been confirmed without a gap.
        self._observed_since: float | None = None
        # The last reading of the store's record of software versions.
        self._version_reading: VersionReading | None = None
        # Versions that accepted requests and may be missing from that record.
        self.unrecorded_versions: frozenset[VersionKey] = frozenset()
        self.freshness = Freshness(0, float("-inf"))

    def replace_all(
        self,
        entries: Iterable[BackendEntry],
        freshness: Freshness,
        retained: Collection[BackendServerId] = (),
    ) -> list[str]:
        """Replace all entries and return a description of each change.

        While registrations may be missing after an outage of the store, missing entries
        are retained, and those of leaving backend servers are not replaced by older
        ones. ``retained`` names entries that the store did not list, and that another
        VM retains.
        """
        if freshness.revision < self.freshness.revision:
            return []
        listed = {it.id: it for it in entries if it.id not in retained}
        missing: dict[BackendServerId, BackendEntry] = {}
        if self.is_recovering(freshness.confirmed_at):
            known = {it.id: it for it in entries if it.id in retained} | self._entries
            missing = {k: it for k, it in known.items() if k not in listed}
            listed |= {
                entry.id: entry
                for entry in self._entries.values()
                if _is_reverted(entry, listed.get(entry.id))
            }
        changes = [
            f"{backend_id} missing since the store outage, retained for re-registration"
            for backend_id in missing
            if backend_id not in self._retained
        ]
        self._retained = frozenset(missing)
        entries_by_id = listed | missing
        changes += _describe_changes(self._entries, entries_by_id)
        self._observe(freshness.confirmed_at)
        self._record_versions(entries_by_id, freshness.confirmed_at)
        self._find_unrecorded(entries_by_id, freshness.confirmed_at)
        self._entries = entries_by_id
        self._digest = None
        self.freshness = freshness
        return changes

    def drop_expired(self) -> list[str]:
        """Remove entries that were retained for long enough; describe each."""
        if self.is_recovering(self.freshness.confirmed_at) or not self._retained:
            return []
        kept = [it for it in self._entries.values() if it.id not in self._retained]
        return self.replace_all(kept, self.freshness)

    def detect_outage(self, confirmed_at: float, now: float) -> bool:
        """Expect missing entries if none were confirmed for long before this time.

        Return whether that is so. Another VM may prove that the store was up.
        """
        gap = confirmed_at - self.freshness.confirmed_at
        if self._store_up_since is None or gap > MAX_OBSERVATION_GAP_SECONDS:
            self._store_up_since = now
        if not self.freshness.revision or gap <= OUTAGE_SECONDS:
            return False
        self.expect_missing(now, REREGISTRATION_SECONDS)
        return True

    def detect_restore(self, restored_revision: int, now: float) -> bool:
        """Expect missing entries if the store came back from a copy.

        Return whether that is so.
        """
        self.restored_revision = max(self.restored_revision, restored_revision)
        # Other VMs may have confirmed the state since the restore.
        if not 0 < self.freshness.revision < restored_revision:
            return False
        self._store_up_since = self._restored_at = now
        self.expect_missing(now, REREGISTRATION_SECONDS)
        return True

    def expect_missing(self, since: float, seconds: float) -> None:
        """Expect that entries of live backend servers may be missing for some time."""
        # False if another VM states no number.
        if not seconds > 0:
            return
        until = since + min(seconds, REREGISTRATION_SECONDS)
        self._recovering_until = max(self._recovering_until, until)

    def learn_uptime(self, since: float, until: float) -> bool:
        """Learn that the store has responded to another VM without a gap.

        Return whether that proves that entries which are missing here are gone: the
        store has been up for as long as backend servers need to register again.
        """
        up_since = self._store_up_since
        # The other VM may not have learned of a restore yet.
        since = max(since, self._restored_at)
        if up_since is None or not (
            since < up_since and until >= up_since - MAX_OBSERVATION_GAP_SECONDS
        ):
            return False
        confirmed_at = self.freshness.confirmed_at
        was_recovering = self.is_recovering(confirmed_at)
        self._store_up_since = since
        return was_recovering and not self.is_recovering(confirmed_at)

    def compute_uptime(self, now: float) -> float | None:
        """Return the seconds for which the store has surely responded; None at first.

        The last of them are those since the last confirmation.
        """
        return None if self._store_up_since is None else now - self._store_up_since

    def compute_recovery_seconds(self, now: float) -> float:
        """Return the seconds for which entries may still be missing."""
        return max(0.0, self._compute_recovery_end() - now)

    def is_recovering(self, confirmed_at: float) -> bool:
        """Return whether a list that was confirmed at a time may lack live servers."""
        return confirmed_at < self._compute_recovery_end()

    def _compute_recovery_end(self) -> float:
        if self._store_up_since is None:
            return self._recovering_until
        reregistered_by = self._store_up_since + REREGISTRATION_SECONDS
        return min(self._recovering_until, reregistered_by)

    @property
    def retained(self) -> frozenset[BackendServerId]:
        """Return the entries that the store did not list when it was last read."""
        return self._retained

    @property
    def digest(self) -> int:
        """Return a hash of what the store listed, to compare replicas of VMs."""
        if self._digest is None:
            listed = self._entries.keys() - self._retained
            ordered = [(it, self._entries[it]) for it in sorted(listed)]
            self._digest = xxh64_intdigest(msgspec.msgpack.encode(ordered)) >> 1
        return self._digest

    def mark_confirmed(self, freshness: Freshness) -> None:
        """Record a confirmation of the entries unless a later one is known."""
        if freshness.confirmed_at > self.freshness.confirmed_at:
            self._observe(freshness.confirmed_at)
            revision = max(freshness.revision, self.freshness.revision)
            self.freshness = Freshness(revision, freshness.confirmed_at)

    def get(self, backend_id: BackendServerId) -> BackendEntry | None:
        """Return an entry, or None if the backend server is not registered."""
        return self._entries.get(backend_id)

    def accepts_requests(self, backend_id: BackendServerId) -> bool:
        """Return whether a backend server may receive new requests."""
        entry = self._entries.get(backend_id)
        if entry is None or entry.phase is not BackendPhase.READY:
            return False
        return self._leaving.get(backend_id) != entry.born_ms

    def mark_leaving(self, backend_id: BackendServerId, born_ms: int) -> None:
        """Exclude a process that leaves, whatever the store lists."""
        if len(self._leaving) >= MAX_LEAVING_MARKS:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[backend_id] = born_ms

    def list_at(self, address: tuple[str, int]) -> list[BackendEntry]:
        """Return the backend servers that are registered at an address."""
        return [it for it in self._entries.values() if it.address == address]

    def list_backends(self) -> list[BackendEntry]:
        """Return all registered backend servers."""
        return list(self._entries.values())

    def list_versions(self, service: ServiceId) -> set[SoftwareVersion]:
        """Return the software versions of a service's registered backend servers."""
        return {it.version for it in self._entries.values() if it.service == service}

    def apply_version_reading(self, reading: VersionReading) -> None:
        """Use a reading of the store's record of software versions."""
        self._version_reading = reading
        ready = list_ready_versions(self._entries.values())
        self.unrecorded_versions = frozenset(
            it
            for it in ready | self.unrecorded_versions
            if not reading.record.holds(it, reading.sent_ms)
        )

    @property
    def is_record_current(self) -> bool:
        """Return whether all since the last reading of the record was observed."""
        since = self._observed_since
        return since is None or self.is_record_read_since(since)

    def is_record_read_since(self, since: float) -> bool:
        """Return whether the store's record of versions was read since a time."""
        reading = self._version_reading
        return reading is not None and reading.sent_at >= since

    def had_one_version(
        self,
        service: ServiceId,
        seconds: float,
        until: float,
        now: float,
        unix_ms: float,
    ) -> bool:
        """Return whether a service surely ran one software version for some seconds.

        That is, from so many seconds ago until the given time. What this VM did not
        observe itself, the store's record must prove: the absence of a version from the
        registry proves nothing of the time before. Between two reads of this VM another
        one may have granted slots at a version, and recorded it.
        """
        since = now - seconds
        if self.freshness.compute_age(now) > MAX_VERSIONS_AGE_SECONDS:
            return False
        if self.freshness.confirmed_at < until:
            return False
        if self._version_reading is not None and not self.is_record_read_since(until):
            return False
        entries = [it for it in self._entries.values() if it.service == service]
        versions = {it.version for it in entries}
        versions |= {
            version
            for (name, version), left_at in self._left_at.items()
            if name == service and left_at >= since
        }
        if len(versions) != 1:
            return False
        version, reading = versions.pop(), self._version_reading
        since_ms = unix_ms - seconds * MILLISECONDS_PER_SECOND
        # It may have joined and left between two confirmations.
        if reading is not None and reading.names_other(service, version, since_ms):
            return False
        if self._observed_since is not None and self._observed_since <= since:
            return True
        return (
            reading is not None
            and self.is_record_current
            and reading.proves_one_version(service, version, since_ms)
        )

    def list_mixed_services(self, seconds: float, now: float) -> set[ServiceId]:
        """Return the services that ran several versions within some seconds."""
        versions = {(it.service, it.version) for it in self._entries.values()}
        versions |= {key for key, at in self._left_at.items() if at >= now - seconds}
        counts = Counter(service for service, _ in versions)
        return {service for service, count in counts.items() if count > 1}

    def _observe(self, now: float) -> None:
        gap = now - self.freshness.confirmed_at
        if gap > MAX_OBSERVATION_GAP_SECONDS or self._observed_since is None:
            self._observed_since = now

    def _record_versions(
        self, new: dict[BackendServerId, BackendEntry], now: float
    ) -> None:
        present = {(it.service, it.version) for it in new.values()}
        for entry in self._entries.values():
            self._left_at[entry.service, entry.version] = now
        self._left_at = {
            key: left_at
            for key, left_at in self._left_at.items()
            if key not in present and now - left_at < VERSION_MEMORY_SECONDS
        }

    def _find_unrecorded(
        self, new: dict[BackendServerId, BackendEntry], now: float
    ) -> None:
        """Add the versions that join without being held by a later reading."""
        ready = list_ready_versions(new.values())
        joining = ready - list_ready_versions(self._entries.values())
        reading = self._version_reading
        if reading is not None and reading.sent_at >= now:
            joining = frozenset(
                it for it in joining if not reading.record.holds(it, reading.sent_ms)
            )
        self.unrecorded_versions |= joining


def list_ready_versions(entries: Iterable[BackendEntry]) -> frozenset[VersionKey]:
    """Return the versions of the backend servers that accept requests."""
    return frozenset(
        (it.service, it.version) for it in entries if it.phase is BackendPhase.READY
    )


def _describe_changes(
    old: dict[BackendServerId, BackendEntry], new: dict[BackendServerId, BackendEntry]
) -> list[str]:
    changes = [f"{backend_id} gone" for backend_id in old.keys() - new.keys()]
    for backend_id, entry in new.items():
        before = old.get(backend_id)
        if before is None or before.phase is not entry.phase:
            changes.append(f"{backend_id} {entry.phase.value}")
        elif before.born_ms != entry.born_ms:
            changes.append(f"{backend_id} restarted")
        elif before != entry:
            changes.append(f"{backend_id} changed")
    return changes


def _is_reverted(known: BackendEntry, listed: BackendEntry | None) -> bool:
    """Return whether a listed entry is from before its backend server's leave."""
    return (
        listed is not None
        and known.phase is BackendPhase.LEAVING
        and listed.phase is BackendPhase.READY
        and known.born_ms == listed.born_ms
    )
