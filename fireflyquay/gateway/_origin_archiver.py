"""Archiver of the origins of streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from fireflyquay.dispatch import BackendRegistry, OriginArchive, StreamOrigins
from fireflyquay.links import HttpFailure
from fireflyquay.world import ServiceId

from ._clock import MILLISECONDS_PER_SECOND, AgeClock
from ._dialect import FleetSource, StoredRecord
from ._stream_locator import StreamLocator

LOG = logbook.Logger("streams")

# Shortest time between two writes.
WRITE_INTERVAL_SECONDS = 0.2
# Time after a failed write, so that an outage costs few calls.
RETRY_SECONDS = 1.0
# Shortest time between two reads for streams that no VM knows.
READ_INTERVAL_SECONDS = 1.0


class OriginArchiver:
    """Write the origins of streams to the store, for the case that all VMs end.

    The coordinator does so while several software versions serve, for streams whose
    first events were sent: others may begin anew elsewhere.
    """

    def __init__(
        self,
        source: FleetSource,
        origins: StreamOrigins,
        backends: BackendRegistry,
        locator: StreamLocator,
        clock: AgeClock,
        is_coordinating: Callable[[], bool],
    ) -> None:
        self._source = source
        self._origins = origins
        self._backends = backends
        self._locator = locator
        self._clock = clock
        self._is_coordinating = is_coordinating
        # The archive as last read or written; None if it may have changed.
        self._stored: StoredRecord[OriginArchive] | None = None
        # Loop time up to which the streams of each service are archived.
        self._archived_until: dict[ServiceId, float] = {}
        self._read_requested = asyncio.Event()
        self._writes_requested = asyncio.Event()

    def request_read(self) -> None:
        """Read the archive soon, since no VM knows a stream."""
        self._read_requested.set()

    def request_writes(self) -> None:
        """Archive the origins of streams from now on, if that is needed."""
        if self._list_services():
            self._writes_requested.set()

    async def write_archive(self) -> None:
        """Archive the origins of streams on request until cancelled."""
        while True:
            await self._writes_requested.wait()
            if self._list_services():
                is_written = await self._try(self._write)
                await asyncio.sleep(
                    WRITE_INTERVAL_SECONDS if is_written else RETRY_SECONDS
                )
            else:
                self._writes_requested.clear()

    def _list_services(self) -> set[ServiceId]:
        """Return the services whose streams this VM must archive at present."""
        if not (self._source.keeps_record(OriginArchive) and self._is_coordinating()):
            return set()
        return self._backends.list_mixed_services(
            self._origins.lifetime, self._clock.read()
        )

    async def read_archive(self) -> None:
        """Read the archive on request until cancelled."""
        while True:
            await self._read_requested.wait()
            self._read_requested.clear()
            if not self._source.keeps_record(OriginArchive):
                continue
            await self._try(self._read)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    async def _try(self, run: Callable[[], Awaitable[None]]) -> bool:
        try:
            await run()
        except HttpFailure as failure:
            self._stored = None
            LOG.warning("archive of streams failed", extra={"cause": failure.sentence})
            return False
        return True

    async def _read(self) -> None:
        self._stored = await self._source.read_record(OriginArchive)
        count = self._locator.record_archived(self._stored.record.iter_origins())
        LOG.info("archive of streams read", extra={"streams": count})

    async def _write(self) -> None:
        now, services = asyncio.get_running_loop().time(), self._list_services()
        lifetime = self._origins.lifetime
        since = {
            it: max(self._archived_until.get(it, float("-inf")), now - lifetime)
            for it in services
        }
        begun = self._origins.list_begun(since)
        if not begun:
            return
        if self._stored is None:
            self._stored = await self._source.read_record(OriginArchive)
        archive = self._stored.record.add(
            begun, self._clock.read_unix_ms(), lifetime * MILLISECONDS_PER_SECOND
        )
        revision, self._stored = self._stored.revision, None
        self._stored = await self._source.write_record(archive, revision)
        if self._stored is not None:
            self._archived_until |= dict.fromkeys(services, now)
