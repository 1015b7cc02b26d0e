"""Record of the software versions that served, which outlives all VMs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from fireflyquay.world import MAX_COUNT, ServiceId, SoftwareVersion

# Other programs may write the record.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]

# Software version of a service.
VersionKey = tuple[ServiceId, SoftwareVersion]

MILLISECONDS_PER_SECOND = 1000
# Longest time between two confirmations of a record that counts as observed without a
# gap. Covers most outages of the store.
MAX_CONFIRMATION_GAP_MS = 30_000
# Most by which the clocks of two VMs differ, and most by which a VM's registry is older
# than the store's.
MAX_CLOCK_SKEW_MS = 5_000
MAX_REGISTRY_AGE_MS = 10_000
# Time after the last sight of a version for which it may still be granted slots: it may
# join just after one confirmation and leave just before the next, by a VM that last
# saw it recorded one gap before.
MAX_UNSEEN_GRANTS_MS = (
    2 * MAX_CONFIRMATION_GAP_MS + MAX_REGISTRY_AGE_MS + MAX_CLOCK_SKEW_MS
)
# Time for which versions that serve no more stay recorded.
MEMORY_MS = 600_000


class VersionRecord(msgspec.Struct, frozen=True):
    """Tell which software versions served, and since when that was observed.

    No slot is granted at a version that joins before it is recorded. Writes only add to
    what they replace, so that late or repeated ones do no harm. Times are in
    milliseconds since the epoch, of the clock of the VM that wrote them.
    """

    # Time since which all versions that served are recorded.
    since_ms: Count = 0
    # Time of the last list of all backend servers that was merged.
    confirmed_ms: Count = 0
    # Times that the store had come back from a copy, which may lack a version.
    restore_count: Count = 0
    # Time at which each version of each service was last seen in a list.
    seen_ms: dict[ServiceId, dict[SoftwareVersion, Count]] = {}

    def holds(self, key: VersionKey, now_ms: float) -> bool:
        """Return whether a version was seen recently enough to be granted slots."""
        service, version = key
        seen_ms = self.seen_ms.get(service, {}).get(version)
        return seen_ms is not None and seen_ms >= now_ms - MAX_CONFIRMATION_GAP_MS

    def merge(
        self, present: Iterable[VersionKey], restore_count: int, now_ms: float
    ) -> VersionRecord:
        """Return the record with the versions that a list holds."""
        at = int(now_ms)
        is_continued = (
            self.confirmed_ms > 0
            and self.restore_count == restore_count
            and abs(at - self.confirmed_ms) <= MAX_CONFIRMATION_GAP_MS
        )
        latest = at + MAX_CLOCK_SKEW_MS
        seen: dict[ServiceId, dict[SoftwareVersion, int]] = {}
        for service, versions in self.seen_ms.items():
            kept = {
                k: min(v, latest) for k, v in versions.items() if at - v < MEMORY_MS
            }
            if kept:
                seen[service] = kept
        for service, version in present:
            versions = seen.setdefault(service, {})
            versions[version] = max(at, versions.get(version, 0))
        return VersionRecord(
            self.since_ms if is_continued else at,
            max(at, self.confirmed_ms) if is_continued else at,
            restore_count,
            seen,
        )


@dataclass(frozen=True, slots=True)
class VersionReading:
    """Hold a record as read from the store, or as written to it."""

    record: VersionRecord
    # Store revision of the record's last change; 0 if none is stored.
    revision: int
    # Number of times that the store was restored from a copy.
    restore_count: int
    # Time at which the call was sent, on the suspend-aware clock and since the epoch.
    sent_at: float
    sent_ms: float

    def names_other(
        self, service: ServiceId, version: SoftwareVersion, since_ms: float
    ) -> bool:
        """Return whether another version was seen later than the given time."""
        return any(
            seen_ms + MAX_CLOCK_SKEW_MS > since_ms
            for other, seen_ms in self.record.seen_ms.get(service, {}).items()
            if other != version
        )

    def proves_one_version(
        self, service: ServiceId, version: SoftwareVersion, since_ms: float
    ) -> bool:
        """Return whether no other version was granted slots until the reading."""
        record = self.record
        if record.restore_count != self.restore_count:
            return False
        if abs(self.sent_ms - record.confirmed_ms) > MAX_CONFIRMATION_GAP_MS:
            return False
        if record.since_ms + MAX_CLOCK_SKEW_MS > since_ms:
            return False
        versions = record.seen_ms.get(service, {})
        return version in versions and all(
            seen_ms + MAX_UNSEEN_GRANTS_MS <= since_ms
            for other, seen_ms in versions.items()
            if other != version
        )
