"""Keeper of the store's record of software versions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import logbook

from fireflyquay.dispatch import (
    BackendRegistry,
    VersionKey,
    VersionReading,
    VersionRecord,
    list_ready_versions,
)
from fireflyquay.links import HttpFailure
from fireflyquay.world import BackendEntry, BackendPhase, Code

from ._clock import AgeClock
from ._dialect import BackendsSnapshot, FleetSource, StoredRecord

LOG = logbook.Logger("beliefs")

# Interval at which the coordinator confirms the record.
CONFIRM_INTERVAL_MS = 10_000
# Number of tries to write the record while other VMs write it too.
MAX_TRIES = 4
# Seconds after a failure in which versions that may lack a record cause no read.
RETRY_SECONDS = 1.0


class VersionKeeper:
    """Record software versions in the store before they are granted slots.

    A VM that has just started can't know which versions have left; a record that any VM
    wrote tells it.
    """

    def __init__(
        self,
        source: FleetSource,
        backends: BackendRegistry,
        clock: AgeClock,
        has_resumable_streams: Callable[[], bool],
        confirms_for_fleet: Callable[[], bool],
    ) -> None:
        self._source = source
        self._backends = backends
        self._clock = clock
        self._has_resumable_streams = has_resumable_streams
        self._confirms_for_fleet = confirms_for_fleet
        # The record as last read or written; None if it may have changed unnoticed.
        self._reading: VersionReading | None = None
        # Time on the age clock since which a reading was requested.
        self._requested_since = float("-inf")
        self._is_available = True
        # Time of the last failure on the age clock.
        self._failed_at = float("-inf")

    @property
    def is_due(self) -> bool:
        """Return whether the record must be read.

        That is after a gap of the registry, and where other VMs grant slots at a
        version that an older build may not have recorded.
        """
        if not self._is_needed:
            return False
        if not self._backends.is_record_current:
            return True
        has_waited = self._clock.read() - self._failed_at >= RETRY_SECONDS
        return bool(self._backends.unrecorded_versions) and has_waited

    def request_reading(self, since: float) -> None:
        """Read the record beside the registry unless that was done since a time."""
        self._requested_since = max(self._requested_since, since)

    def is_confirmed(self, since: float) -> bool:
        """Return whether the record, if one is kept, was read since a time."""
        return not self._is_needed or self._backends.is_record_read_since(since)

    @property
    def _is_needed(self) -> bool:
        return (
            self._source.keeps_record(VersionRecord) and self._has_resumable_streams()
        )

    def find_joining(self, snapshot: BackendsSnapshot) -> frozenset[VersionKey]:
        """Return the versions that must be recorded before their first slot."""
        if not self._is_needed:
            return frozenset()
        ready = list_ready_versions(snapshot.entries)
        return ready - list_ready_versions(self._backends.list_backends())

    async def record(
        self, joining: frozenset[VersionKey], snapshot: BackendsSnapshot
    ) -> bool:
        """Record versions that join; return whether slots may be granted there."""
        return await self._try_record(joining, snapshot, confirms=False)

    async def confirm(self, snapshot: BackendsSnapshot) -> None:
        """Confirm the record on behalf of the fleet, or read it if that is due."""
        if not self._is_needed:
            return
        if self.is_due or not self.is_confirmed(self._requested_since):
            self._reading = None
        confirms = self._confirms_for_fleet()
        if self._reading is None or (confirms and self._is_confirmation_due()):
            unrecorded = self._backends.unrecorded_versions
            await self._try_record(unrecorded, snapshot, confirms)

    def _is_confirmation_due(self) -> bool:
        assert self._reading is not None
        age_ms = self._clock.read_unix_ms() - self._reading.record.confirmed_ms
        return abs(age_ms) >= CONFIRM_INTERVAL_MS

    async def _try_record(
        self,
        joining: frozenset[VersionKey],
        snapshot: BackendsSnapshot,
        confirms: bool,
    ) -> bool:
        """Record versions that join, and confirm the others; return whether it did."""
        try:
            await self._record(joining, snapshot, confirms)
        except HttpFailure as failure:
            # A write without a response may have been executed.
            self._reading = None
            self._failed_at = self._clock.read()
            self._report(False, failure.sentence)
            # Where the store takes no such objects, no record can be wrong.
            return not self._source.keeps_record(VersionRecord)
        self._report(True, "")
        return True

    async def _record(
        self, joining: frozenset[VersionKey], snapshot: BackendsSnapshot, confirms: bool
    ) -> None:
        present = {_get_key(it) for it in snapshot.entries} | joining
        for _ in range(MAX_TRIES):
            sent_at, now_ms = self._clock.read(), self._clock.read_unix_ms()
            if self._reading is None:
                found = await self._source.read_record(VersionRecord)
                self._keep(found, sent_at, now_ms)
                continue
            before = self._reading
            if before.restore_count != snapshot.restore_count:
                self._reading = None
                continue
            is_recorded = all(before.record.holds(it, now_ms) for it in joining)
            if is_recorded and not (confirms and self._is_confirmation_due()):
                return
            merged = before.record.merge(present, snapshot.restore_count, now_ms)
            self._reading = None
            written = await self._source.write_record(merged, before.revision)
            if written is None:
                continue
            self._keep(written, sent_at, now_ms)
            if _describe(merged) != _describe(before.record):
                LOG.info("software versions recorded", extra=_describe(merged))
            return
        sentence = "The record of software versions keeps changing."
        raise HttpFailure(Code.STORE_UNAVAILABLE, sentence, True)

    def _keep(
        self, found: StoredRecord[VersionRecord], sent_at: float, sent_ms: float
    ) -> None:
        self._reading = VersionReading(
            found.record, found.revision, found.restore_count, sent_at, sent_ms
        )
        self._backends.apply_version_reading(self._reading)

    def _report(self, is_available: bool, sentence: str) -> None:
        if is_available == self._is_available:
            return
        self._is_available = is_available
        if is_available:
            LOG.info("software versions recorded again")
            return
        LOG.warning(
            "software versions not recorded",
            extra={
                "cause": sentence,
                "store_takes_them": self._source.keeps_record(VersionRecord),
            },
        )


def _describe(record: VersionRecord) -> dict[str, object]:
    versions = {name: sorted(seen) for name, seen in record.seen_ms.items()}
    return {"since_ms": record.since_ms, "versions": versions}


def withhold(
    entries: Sequence[BackendEntry], joining: frozenset[VersionKey]
) -> list[BackendEntry]:
    """Return the entries, those of versions that join as leaving."""
    return [
        replace(it, phase=BackendPhase.LEAVING) if _get_key(it) in joining else it
        for it in entries
    ]


def _get_key(entry: BackendEntry) -> VersionKey:
    return entry.service, entry.version
