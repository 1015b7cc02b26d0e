"""Service and software version at which recent streams began."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from fireflyquay.world import AttemptId, Incarnation, ServiceId, SoftwareVersion

# Seconds for which an origin is remembered before the configuration is known.
DEFAULT_LIFETIME_SECONDS = 60.0
# Bounds the memory; the oldest are forgotten first.
MAX_ORIGINS = 65_536


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Hold where a stream began; it may continue nowhere else."""

    service: ServiceId
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class _Entry:
    origin: StreamOrigin
    # VM that sends the stream to its client; empty if another VM reported the origin.
    owner: Incarnation
    recorded_at: float


class StreamOrigins:
    """Remember the origins of streams for as long as clients may resume them.

    A stream is named by the client's attempt that brought its first event.
    """

    def __init__(self) -> None:
        # Seconds for which an origin is remembered after it was last recorded.
        self.lifetime = DEFAULT_LIFETIME_SECONDS
        self._entries: OrderedDict[AttemptId, _Entry] = OrderedDict()
        # Time at which the first event of each stream was sent, as far as is known.
        self._begun_at: OrderedDict[AttemptId, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self,
        stream: AttemptId,
        origin: StreamOrigin,
        now: float,
        owner: Incarnation = Incarnation(""),  # noqa: B008
    ) -> None:
        """Record an origin unless a later one is known.

        A stream that brought no event may begin anew elsewhere.
        """
        known = self._entries.get(stream)
        if known is not None and known.recorded_at > now:
            return
        self._entries[stream] = _Entry(origin, owner, now)
        self._entries.move_to_end(stream)
        while len(self._entries) > MAX_ORIGINS:
            self._entries.popitem(last=False)

    def find(self, stream: AttemptId) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown."""
        entry = self._entries.get(stream)
        return None if entry is None else entry.origin

    def record_begin(self, stream: AttemptId, now: float) -> None:
        """Record that a stream's first event was sent; its origin is final."""
        if stream in self._entries and stream not in self._begun_at:
            self._begun_at[stream] = now
            while len(self._begun_at) > MAX_ORIGINS:
                self._begun_at.popitem(last=False)

    def list_begun(
        self, since: Mapping[ServiceId, float]
    ) -> list[tuple[AttemptId, StreamOrigin]]:
        """Return the origins of streams that began later than a time per service."""
        found = []
        earliest = min(since.values(), default=math.inf)
        for stream, begun_at in reversed(self._begun_at.items()):
            if begun_at <= earliest:
                break
            entry = self._entries.get(stream)
            if entry is None:
                continue
            if begun_at > since.get(entry.origin.service, math.inf):
                found.append((stream, entry.origin))
        return found

    def list_owned(self, owner: Incarnation) -> list[tuple[AttemptId, StreamOrigin]]:
        """Return the origins of the streams that a VM sends to its clients."""
        return [
            (stream, entry.origin)
            for stream, entry in self._entries.items()
            if entry.owner == owner
        ]

    def expire(self, now: float) -> None:
        """Forget the origins that were recorded too long ago."""
        while self._begun_at:
            stream, begun_at = next(iter(self._begun_at.items()))
            if now - begun_at <= self.lifetime:
                break
            del self._begun_at[stream]
        while self._entries:
            stream, entry = next(iter(self._entries.items()))
            if now - entry.recorded_at <= self.lifetime:
                return
            del self._entries[stream]
