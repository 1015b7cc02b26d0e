"""Keeper of the evidence of crashes in the store, which outlives all VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import logbook
import msgspec

from fireflyquay.dispatch import CrashNews, EvidenceRecord
from fireflyquay.links import HttpFailure

from ._clock import MILLISECONDS_PER_SECOND, AgeClock
from ._dialect import FleetSource, StoredRecord
from ._quarantine import Quarantine

LOG = logbook.Logger("quarantine")

# Least seconds between two writes; crashes come in bursts.
WRITE_INTERVAL_SECONDS = 1.0
# Seconds for which a VM waits for the record before it accepts requests.
FIRST_READ_SECONDS = 0.5
# Delays in seconds after failed reads, doubled with each failure.
INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0
# Far below what an object of the store may hold.
MAX_RECORD_BYTES = 128 * 1024
# Longest age of a record that is read; older evidence has expired.
MAX_RECORD_AGE_MS = 3 * 3600 * MILLISECONDS_PER_SECOND


@dataclass(slots=True)
class _Known:
    """Hold what of the record is known."""

    # Store revision of its last change; None if it may have changed unnoticed.
    store_revision: int | None = None
    # Revision of the evidence that it holds.
    revision: int = 0


class EvidenceKeeper:
    """Write the fleet's evidence of crashes to the store, and read it at the start.

    Guards against a request that crashes backend servers again after all VMs were
    killed. Without the store, VMs go on with what they know.
    """

    def __init__(
        self,
        source: FleetSource,
        quarantine: Quarantine,
        clock: AgeClock,
        writes_for_fleet: Callable[[], bool],
    ) -> None:
        self._source = source
        self._quarantine = quarantine
        self._clock = clock
        self._writes_for_fleet = writes_for_fleet
        self._known = _Known()
        # Whether the record was read, or can't be read soon.
        self.has_tried = not source.keeps_record(EvidenceRecord)
        self._is_available = True

    async def keep(self) -> None:
        """Read the record once, then write it after changes, until cancelled."""
        if not self._source.keeps_record(EvidenceRecord):
            return
        asyncio.get_running_loop().call_later(FIRST_READ_SECONDS, self._stop_waiting)
        retry_delay = INITIAL_RETRY_SECONDS
        while not await self._try(self._read):
            await asyncio.sleep(retry_delay)
            retry_delay = min(2 * retry_delay, MAX_RETRY_SECONDS)
        self._stop_waiting()
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            is_changed = self._quarantine.revision != self._known.revision
            if is_changed and self._writes_for_fleet():
                await self._try(self._write)

    def _stop_waiting(self) -> None:
        self.has_tried = True

    async def _try(self, call: Callable[[], Awaitable[None]]) -> bool:
        """Make a call to the store; return whether it responded."""
        try:
            await call()
        except HttpFailure as failure:
            # A write without a response may have been executed.
            self._known.store_revision = None
            if self._is_available:
                LOG.warning("evidence not stored", extra={"cause": failure.sentence})
            self._is_available = False
            return False
        self._is_available = True
        return True

    async def _read(self) -> None:
        record = await self._source.read_record(EvidenceRecord)
        before = self._quarantine.revision
        self._adopt(record)
        if before == 0:
            # All that is known now is stored.
            self._known.revision = self._quarantine.revision
        self._known.store_revision = record.revision

    async def _write(self) -> None:
        if self._known.store_revision is None:
            record = await self._source.read_record(EvidenceRecord)
            self._adopt(record)
            self._known.store_revision = record.revision
        revision = self._quarantine.revision
        record, size_bytes = self._make_record()
        stored = await self._source.write_record(record, self._known.store_revision)
        self._known.store_revision = None if stored is None else stored.revision
        if stored is not None:
            self._known.revision = revision
            LOG.info("evidence stored", extra={"bytes": size_bytes})

    def _adopt(self, stored: StoredRecord[EvidenceRecord]) -> None:
        written_ms = stored.record.written_ms
        age_ms = max(0.0, self._clock.read_unix_ms() - written_ms)
        if age_ms < MAX_RECORD_AGE_MS:
            age = age_ms / MILLISECONDS_PER_SECOND
            self._quarantine.load_evidence(stored.record.news, age)

    def _make_record(self) -> tuple[EvidenceRecord, int]:
        """Return the evidence and its size; without the oldest crashes if too large."""
        news = self._quarantine.make_evidence()
        written_ms = self._clock.read_unix_ms()
        while True:
            record = EvidenceRecord(written_ms, news)
            size_bytes = len(msgspec.json.encode(record))
            if size_bytes <= MAX_RECORD_BYTES:
                return record, size_bytes
            news = halve_evidence(news)


def halve_evidence(news: CrashNews) -> CrashNews:
    """Return the later half of the evidence; crashes go before quarantines."""
    if news.crashes:
        crashes = news.crashes[(len(news.crashes) + 1) // 2 :]
        suspects = {it for crash in crashes for it in crash.suspects}
        sound = tuple(it for it in news.sound if it[0] in suspects)
        return CrashNews(crashes, sound, news.quarantined)
    latest = sorted(news.quarantined, key=lambda it: it.age_seconds)
    return CrashNews((), (), tuple(latest[: len(latest) // 2]))
