"""Replicas of the configuration and the backend registry, read from the store."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence

import logbook

from fireflyquay.dispatch import (
    BackendRegistry,
    ConfigReplica,
    Freshness,
    ReplicaListener,
)
from fireflyquay.links import MIN_PATIENCE_SECONDS, HttpFailure
from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    Code,
    Incarnation,
    RepeatRule,
)

from ._clock import AgeClock
from ._dialect import FleetSource
from ._gateway_metrics import GatewayMetrics, StoreRead
from ._replica_timing import (
    AGE_CHECK_INTERVAL_SECONDS,
    RESPONSE_SECONDS,
    ReplicaTiming,
)
from ._settings import CHANGE_SECONDS
from ._version_keeper import VersionKeeper, withhold

LOG = logbook.Logger("beliefs")

# Delays in seconds after failed reads. The delay doubles with each failure, up to a
# limit that is short enough to apply operators' changes in time once the store is back.
INITIAL_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 1.0
# Seconds after which a read without a response counts as not answered, so that a copy
# is requested from another VM: a kept connection and a new one were tried by then.
OVERDUE_READ_SECONDS = MIN_PATIENCE_SECONDS + RESPONSE_SECONDS
# Seconds between reads that are requested before the next one is due: many streams that
# are resumed at the same time share a read.
MIN_READ_INTERVAL_SECONDS = 0.1
# Adding floats may exceed a bound by a rounding error.
ROUNDING_SECONDS = 1e-9
# Bounds a log line.
MAX_LOGGED_NAMES = 50
# Source of what this VM read itself, in the log.
STORE_SOURCE = "store"


class StateReplicas(ReplicaListener):
    """Poll the store for the configuration and backend registry, and report changes."""

    def __init__(
        self,
        source: FleetSource,
        clock: AgeClock,
        read_period: float,
        polls_for_fleet: Callable[[], bool],
        metrics: GatewayMetrics | None = None,
        apply: float = CHANGE_SECONDS,
        drain: float = CHANGE_SECONDS,
    ) -> None:
        self.config = ConfigReplica()
        self.backends = BackendRegistry()
        self._source = source
        self._clock = clock
        self._read_period = read_period
        self._timings = {
            StoreRead.CONFIG: ReplicaTiming(apply, read_period),
            StoreRead.BACKENDS: ReplicaTiming(drain, read_period),
        }
        # Time on the age clock at which each read in progress was sent.
        self._pending_since: dict[StoreRead, float] = {}
        # Returns whether this VM reads at every interval, on behalf of the other VMs.
        self._polls_for_fleet = polls_for_fleet
        self._versions = VersionKeeper(
            source,
            self.backends,
            clock,
            self._has_resumable_streams,
            polls_for_fleet,
        )
        self._metrics = metrics or GatewayMetrics()
        self._is_store_available = True
        # Set when another VM has a newer configuration.
        self._config_requested = asyncio.Event()
        # Set when a request needs a more recent confirmation of the registry.
        self._backends_requested = asyncio.Event()
        # Time on the age clock at which the read of the registry in progress was sent;
        # infinitely long ago if there is none.
        self._backends_read_at = float("-inf")
        # Set at the end of that read, or of the next one.
        self._backends_read_ended = asyncio.Event()
        # Names of unreadable registrations as last logged.
        self._unreadable: tuple[BackendServerId, ...] = ()
        # Called after each read of the registry.
        self.on_backends_read: Callable[[], None] = lambda: None
        # Called after any change.
        self.on_change: Callable[[], None] = lambda: None

    @property
    def is_loaded(self) -> bool:
        """Return whether configuration and registry have been read."""
        return self.config.config is not None and self.backends.freshness.revision > 0

    def learn_version(
        self, sender: Incarnation, version: int, confirmed_at: float
    ) -> bool:
        """Request a read of a newer configuration that another VM has confirmed.

        Return whether the store responds to this VM.
        """
        if self.config.note_version(version, confirmed_at):
            extra = {"vm": sender, "version": version, "in_force": self.config.version}
            LOG.info("newer configuration known", extra=extra)
        if not self._is_store_available:
            return False
        self._config_requested.set()
        sent_at = self._pending_since.get(StoreRead.CONFIG, math.inf)
        return self._clock.read() - sent_at <= OVERDUE_READ_SECONDS

    def report_config(self, source: str, superseded_at: float | None) -> None:
        """Log a configuration that came into force and how late it is.

        The source is the store or a VM. The configuration before was proven superseded
        at the given time, unless this VM is the first to know.
        """
        config, behind = self.config.config, 0.0
        assert config is not None
        if superseded_at is not None:
            behind = max(0.0, self._clock.read() - superseded_at)
        self._metrics.record_config_delay(behind)
        LOG.info(
            "configuration in force",
            extra={
                "version": config.version,
                "revision": self.config.freshness.revision,
                "routes": len(config.routes),
                "accounts": len(config.accounts),
                "requires_keys": self.config.requires_keys,
                "source": source,
                "behind": round(behind, 3),
            },
        )

    def report_unclear_config(self, source: str, version: int) -> None:
        """Log a copy that does not tell whether requests carry API keys."""
        extra = {"version": version, "source": source}
        LOG.warning("configuration of another build not used", extra=extra)

    def report_backends(self, source: str, changes: Sequence[str]) -> None:
        """Log changes of the backend registry, unless there are none."""
        if not changes:
            return
        extra = {
            "revision": self.backends.freshness.revision,
            "changes": changes,
            "source": source,
        }
        LOG.info("backend servers changed", extra=extra)

    def report_observation_gap(self, source: str, seconds: float) -> None:
        """Log that entries may be missing after a time without a confirmation."""
        extra = {"gap": round(seconds, 3), "source": source}
        LOG.warning("registrations may be missing", extra=extra)

    def report_uptime(self, source: str, seconds: float) -> None:
        """Log that no entries are missing, as the store was up for some seconds."""
        extra = {"store_uptime": round(seconds, 3), "source": source}
        LOG.info("registrations are complete", extra=extra)

    async def confirm_backends(self, since: float) -> None:
        """Wait until reads sent since a time confirm the registry and its versions.

        The time is on the age clock. Never returns while the store can't be read.
        """
        self._versions.request_reading(since)
        while not (
            self.backends.freshness.confirmed_at >= since
            and self._versions.is_confirmed(since)
        ):
            if self._backends_read_at < since:
                self._backends_requested.set()
            # Another VM may confirm the registry meanwhile.
            await _wait(self._backends_read_ended, AGE_CHECK_INTERVAL_SECONDS)

    def compute_config_age(self) -> float:
        """Return the seconds since the configuration was last confirmed current."""
        return self.config.compute_age(self._clock.read())

    def compute_registry_age(self) -> float:
        """Return the seconds since the backend registry was confirmed current."""
        return self.backends.freshness.compute_age(self._clock.read())

    @property
    def unreadable_count(self) -> int:
        """Return how many registrations of the last list can't be read."""
        return len(self._unreadable)

    def report_late_changes(self) -> None:
        """Log the replicas whose bound is shorter than the waits of the longest way."""
        for kind, timing in self._timings.items():
            delay = timing.compute_longest_delay()
            if delay > timing.bound + ROUNDING_SECONDS:
                extra = {"read": kind.value, "bound": timing.bound, "delay": delay}
                LOG.warning("changes may be late", extra=extra)

    def are_old(self) -> bool:
        """Return whether other VMs have confirmed a replica less often than usual."""
        now = self._clock.read()
        return (
            self.config.compute_age(now) > self._timings[StoreRead.CONFIG].own_read_age
            or self.backends.freshness.compute_age(now)
            > self._timings[StoreRead.BACKENDS].own_read_age
        )

    async def poll_config(self) -> None:
        """Keep the replica of the configuration current until cancelled."""
        await self._poll(
            StoreRead.CONFIG,
            self._read_config,
            lambda: self.config.freshness,
            self._config_requested,
        )

    async def poll_backends(self) -> None:
        """Keep the replica of the registry current until cancelled."""
        await self._poll(
            StoreRead.BACKENDS,
            self._read_backends,
            lambda: self.backends.freshness,
            self._backends_requested,
            lambda: self._versions.is_due,
        )

    async def _poll(
        self,
        kind: StoreRead,
        read: Callable[[], Awaitable[None]],
        get_freshness: Callable[[], Freshness],
        requested: asyncio.Event,
        is_due: Callable[[], bool] = lambda: False,
    ) -> None:
        retry_delay = INITIAL_RETRY_SECONDS
        own_read_age = self._timings[kind].own_read_age
        while True:
            age = get_freshness().compute_age(self._clock.read())
            is_outdated = age > own_read_age or is_due()
            if self._polls_for_fleet() or is_outdated or requested.is_set():
                requested.clear()
                if await self._try_read(kind, read):
                    retry_delay = INITIAL_RETRY_SECONDS
                    min_interval = min(MIN_READ_INTERVAL_SECONDS, self._read_period)
                    await asyncio.sleep(min_interval)
                    await _wait(requested, self._read_period - min_interval)
                else:
                    await asyncio.sleep(retry_delay)
                    retry_delay = min(2 * retry_delay, MAX_RETRY_SECONDS)
                continue
            await _wait(requested, AGE_CHECK_INTERVAL_SECONDS)

    async def _try_read(
        self, kind: StoreRead, read: Callable[[], Awaitable[None]]
    ) -> bool:
        """Read once and return whether the store responded."""
        sent_at = self._pending_since[kind] = self._clock.read()
        try:
            await read()
        except HttpFailure as failure:
            self._metrics.record_store_read(kind, False)
            extra = {
                "read": kind.value,
                "code": failure.code,
                "taken": round(self._clock.read() - sent_at, 3),
                "cause": failure.sentence,
            }
            LOG.warning("store read failed", extra=extra)
            self._record_store_result(False, failure.sentence)
            return False
        finally:
            del self._pending_since[kind]
        self._metrics.record_store_read(kind, True)
        self._record_store_result(True, "")
        return True

    async def _read_config(self) -> None:
        sent_at = self._clock.read()
        snapshot = await self._source.read_config()
        if snapshot.config is None:
            if self.config.config is None:
                return
            # Otherwise the age would grow without a cause in the log.
            sentence = "The store holds no configuration any more."
            raise HttpFailure(Code.NOT_FOUND, sentence, True)
        freshness = Freshness(snapshot.revision, sent_at)
        superseded_at = self.config.superseded_at
        if not self.config.apply_config(snapshot.config, freshness):
            return
        self.report_config(STORE_SOURCE, superseded_at)
        self.on_change()

    async def _read_backends(self) -> None:
        sent_at = self._backends_read_at = self._clock.read()
        try:
            await self._read_backends_and_versions(sent_at)
        finally:
            self._backends_read_at = float("-inf")
            ended, self._backends_read_ended = (
                self._backends_read_ended,
                asyncio.Event(),
            )
            ended.set()
        self.on_backends_read()

    async def _read_backends_and_versions(self, sent_at: float) -> None:
        snapshot = await self._source.list_backends()
        now = self._clock.read()
        gap = sent_at - self.backends.freshness.confirmed_at
        if self.backends.detect_outage(sent_at, now):
            self.report_observation_gap(STORE_SOURCE, gap)
        if self.backends.detect_restore(snapshot.restored_revision, now):
            LOG.warning("store restored", extra={"revision": snapshot.revision})
        freshness = Freshness(snapshot.revision, sent_at)
        joining = self._versions.find_joining(snapshot)
        entries = withhold(snapshot.entries, joining)
        if joining and self.backends.freshness.revision:
            # What is gone does not wait until the store has recorded what joins.
            self._apply_backends(entries, freshness)
        if joining and await self._versions.record(joining, snapshot):
            entries = list(snapshot.entries)
        if self.backends.freshness.confirmed_at <= sent_at:
            self._apply_backends(entries, freshness)
        if snapshot.unreadable != self._unreadable:
            self._unreadable = snapshot.unreadable
            names = snapshot.unreadable[:MAX_LOGGED_NAMES]
            extra = {"names": names, "count": len(snapshot.unreadable)}
            LOG.warning("registrations unreadable", extra=extra)
        await self._versions.confirm(snapshot)

    def _apply_backends(
        self, entries: Sequence[BackendEntry], freshness: Freshness
    ) -> None:
        changes = self.backends.replace_all(entries, freshness)
        self.report_backends(STORE_SOURCE, changes)
        if changes:
            self.on_change()

    def _has_resumable_streams(self) -> bool:
        """Return whether clients may resume streams, as far as is known."""
        config = self.config.config
        return config is None or any(
            route.repeat_rule is RepeatRule.RESUMABLE for route in config.routes
        )

    def _record_store_result(self, is_available: bool, sentence: str) -> None:
        if is_available == self._is_store_available:
            return
        self._is_store_available = is_available
        age = round(self.compute_config_age(), 2)
        if is_available:
            LOG.info("store regained", extra={"config_age": age})
            return
        LOG.warning("store lost", extra={"config_age": age, "cause": sentence})


async def _wait(event: asyncio.Event, seconds: float) -> None:
    """Wait for an event for some seconds at most."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
