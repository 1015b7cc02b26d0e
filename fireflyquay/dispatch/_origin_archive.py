"""Archive of the origins of streams, which outlives all VMs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from fireflyquay.world import AttemptId, ServiceId, SoftwareVersion

from ._stream_origins import StreamOrigin
from ._version_record import Count

# Bounds the size of the archive; the oldest batches are dropped first.
MAX_ARCHIVED_STREAMS = 16_384


class OriginBatch(msgspec.Struct, frozen=True):
    """Hold the streams whose first events were sent at about the same time."""

    # Time of the write, in milliseconds since the epoch.
    at_ms: Count
    streams: dict[ServiceId, dict[SoftwareVersion, tuple[AttemptId, ...]]]

    def count_streams(self) -> int:
        """Return the number of streams."""
        return sum(
            len(streams)
            for by_version in self.streams.values()
            for streams in by_version.values()
        )


class OriginArchive(msgspec.Struct, frozen=True):
    """Hold the origins of streams that clients may resume, in order of time."""

    batches: tuple[OriginBatch, ...] = ()

    def add(
        self,
        origins: Iterable[tuple[AttemptId, StreamOrigin]],
        now_ms: float,
        lifetime_ms: float,
    ) -> OriginArchive:
        """Return the archive with further origins, and without expired ones."""
        streams: dict[ServiceId, dict[SoftwareVersion, tuple[AttemptId, ...]]] = {}
        for stream, origin in origins:
            by_version = streams.setdefault(origin.service, {})
            known = by_version.get(origin.version, ())
            by_version[origin.version] = (*known, stream)
        batches = [it for it in self.batches if abs(now_ms - it.at_ms) <= lifetime_ms]
        batches.append(OriginBatch(int(now_ms), streams))
        count = sum(it.count_streams() for it in batches)
        while count > MAX_ARCHIVED_STREAMS and len(batches) > 1:
            count -= batches.pop(0).count_streams()
        return OriginArchive(tuple(batches))

    def iter_origins(self) -> Iterator[tuple[AttemptId, StreamOrigin]]:
        """Iterate over the origins, the latest last."""
        for batch in self.batches:
            for service, by_version in batch.streams.items():
                for version, streams in by_version.items():
                    for stream in streams:
                        yield stream, StreamOrigin(service, version)
