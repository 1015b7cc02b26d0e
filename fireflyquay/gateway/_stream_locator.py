"""Locator of the software version at which a client's stream began."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum

import logbook

from fireflyquay.dispatch import (
    BackendRegistry,
    OriginRequest,
    OriginResponse,
    StreamOrigin,
    StreamOrigins,
)
from fireflyquay.world import AttemptId, Code, Incarnation, ServiceId

from ._admission import RejectionError
from ._call import Call
from ._clock import AgeClock
from ._slot_client import Peers

LOG = logbook.Logger("streams")

# Seconds to wait for responses until other VMs are asked, or asked again. A round trip
# takes a few milliseconds.
LOOKUP_INTERVAL_SECONDS = 0.1
# Seconds after which an unknown stream is refused. Until then, the VMs that know it may
# be changing to another coordinator.
MAX_LOOKUP_SECONDS = 0.6
# Retry-After of an unknown stream: another VM may know it, or this one a little later.
UNKNOWN_STREAM_RETRY_AFTER_SECONDS = 0.3


class _OriginSource(StrEnum):
    """Name what tells at which software version a stream may continue."""

    OWN_RECORD = "own record"
    OTHER_VM = "another VM"
    ARCHIVE = "archive"
    SINGLE_VERSION = "only one version served"
    NONE = "nobody"


_Finding = tuple[StreamOrigin, _OriginSource]


class StreamLocator:
    """Find where a stream began that a client resumes.

    The VM that sent the stream and the one that granted its slot know, and a third one
    if both are the same; if all of them ended, the archive in the store tells. A VM
    that finds no one who knows refuses, unless it proves that the service has run one
    version for as long as a stream may last.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        backends: BackendRegistry,
        confirm_backends: Callable[[float], Awaitable[None]],
        clock: AgeClock,
    ) -> None:
        self._origins = origins
        self._backends = backends
        # Returns once reads sent since a time confirm the registry and its versions.
        self._confirm_backends = confirm_backends
        self._clock = clock
        self._peers: Peers | None = None
        # Lookups in progress by stream; set to the origin once it is known.
        self._lookups: dict[AttemptId, asyncio.Future[_Finding]] = {}
        # Called if no VM seems to know a stream.
        self.on_unknown: Callable[[], None] = lambda: None

    def connect(self, peers: Peers) -> None:
        """Ask the given peers from now on."""
        self._peers = peers

    async def locate(self, call: Call) -> None:
        """Bind a call that resumes a stream to its origin; raise RejectionError."""
        since = self._clock.read()
        stream = call.metadata.resumed_attempt_id
        origin, source = self._origins.find(stream), _OriginSource.OWN_RECORD
        if origin is None:
            origin, source = await self._search(call, stream, since)
        self._log_located(call, origin, source)
        if origin is None:
            raise RejectionError(
                Code.UNKNOWN_STREAM,
                "It is not known at which software version the stream began.",
                UNKNOWN_STREAM_RETRY_AFTER_SECONDS,
            )
        services = {share.service for share in call.admission.route.shares}
        if origin.service not in services:
            raise RejectionError(
                Code.STREAM_VERSION_GONE,
                "The stream began at a service that its route no longer leads to.",
            )
        call.service, call.version = origin.service, origin.version
        await self._learn_version(origin, since)

    async def _learn_version(self, origin: StreamOrigin, since: float) -> None:
        """Read the registry if it lacks the version at which a stream began.

        Otherwise a VM that is behind would take the version for one that has left.
        """
        if origin.version in self._backends.list_versions(origin.service):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_LOOKUP_SECONDS):
                await self._confirm_backends(since)

    def handle_request(self, sender: Incarnation, request: OriginRequest) -> None:
        """Tell another VM where a stream began, if this one knows."""
        origin = self._origins.find(request.stream)
        if origin is not None and self._peers is not None:
            response = OriginResponse(request.stream, origin.service, origin.version)
            self._peers.send(sender, response)

    def handle_response(self, response: OriginResponse) -> None:
        """Record where a stream began, as another VM reports it."""
        origin = StreamOrigin(response.service, response.version)
        self._record(response.stream, origin, _OriginSource.OTHER_VM)

    def record_archived(self, origins: Iterable[tuple[AttemptId, StreamOrigin]]) -> int:
        """Record archived origins of streams that are unknown; return their number."""
        # The last one that was archived of a stream holds.
        unknown = {
            stream: origin
            for stream, origin in origins
            if self._origins.find(stream) is None
        }
        for stream, origin in unknown.items():
            self._record(stream, origin, _OriginSource.ARCHIVE)
        return len(unknown)

    def _record(
        self, stream: AttemptId, origin: StreamOrigin, source: _OriginSource
    ) -> None:
        self._origins.record(stream, origin, asyncio.get_running_loop().time())
        lookup = self._lookups.get(stream)
        if lookup is not None and not lookup.done():
            lookup.set_result((origin, source))

    def _log_located(
        self, call: Call, origin: StreamOrigin | None, source: _OriginSource
    ) -> None:
        age = self._backends.freshness.compute_age(self._clock.read())
        LOG.info(
            "stream located",
            extra={
                "id": call.metadata.attempt_id,
                "stream": call.metadata.resumed_attempt_id,
                "service": None if origin is None else origin.service,
                "version": None if origin is None else origin.version,
                "known_by": source.value,
                "registry_age": round(age, 2) if math.isfinite(age) else None,
            },
        )

    async def _search(
        self, call: Call, stream: AttemptId, since: float
    ) -> tuple[StreamOrigin | None, _OriginSource]:
        """Return the origin that others know or that is proven, whichever is first."""
        searches = (self._ask_peers(stream), self._prove_only_origin(call, since))
        tasks = [asyncio.ensure_future(it) for it in searches]
        try:
            for task in asyncio.as_completed(tasks, timeout=MAX_LOOKUP_SECONDS):
                finding = await task
                if finding is not None:
                    return finding
        except TimeoutError:
            pass
        finally:
            for task in tasks:
                task.cancel()
        return None, _OriginSource.NONE

    async def _prove_only_origin(self, call: Call, since: float) -> _Finding | None:
        """Return where a stream of the call's route must have begun, if that is sure.

        Only a registry that is confirmed after the client resumed holds the version at
        which the stream began: other VMs may know that version earlier than this one.
        """
        shares = call.admission.route.shares
        if len(shares) != 1 or len(self._backends.list_versions(shares[0].service)) > 1:
            return None
        if call.metadata.resumed_attempt_id and self._has_others():
            # One of them mostly knows, which saves a read.
            await asyncio.sleep(LOOKUP_INTERVAL_SECONDS)
        await self._confirm_backends(since)
        origin = self._find_only_origin(call, shares[0].service, since)
        return None if origin is None else (origin, _OriginSource.SINGLE_VERSION)

    def _find_only_origin(
        self, call: Call, service: ServiceId, resumed_at: float
    ) -> StreamOrigin | None:
        """Return where a stream of a service must have begun, by what is registered.

        What the client has left of its time the stream can't have lasted yet.
        """
        versions = self._backends.list_versions(service)
        seconds_left = call.metadata.client_timeout or 0.0
        if len(versions) != 1 or not self._backends.had_one_version(
            service,
            max(0.0, self._origins.lifetime - seconds_left),
            resumed_at,
            self._clock.read(),
            self._clock.read_unix_ms(),
        ):
            return None
        return StreamOrigin(service, versions.pop())

    def _has_others(self) -> bool:
        return self._peers is not None and bool(self._peers.list_others())

    async def _ask_peers(self, stream: AttemptId) -> _Finding | None:
        """Ask the coordinator, then all others and the archive, until one knows."""
        if self._peers is None or not stream:
            return None
        loop = asyncio.get_running_loop()
        lookup = self._lookups.get(stream)
        if lookup is None:
            lookup = self._lookups[stream] = loop.create_future()
        targets = [self._peers.choose_coordinator()]
        try:
            while True:
                for target in targets:
                    if target != self._peers.get_own_vm().incarnation:
                        self._peers.send(target, OriginRequest(stream))
                await asyncio.wait((lookup,), timeout=LOOKUP_INTERVAL_SECONDS)
                if lookup.done():
                    return lookup.result()
                origin = self._origins.find(stream)
                if origin is not None:
                    return origin, _OriginSource.OTHER_VM
                targets = list(self._peers.list_others())
                self.on_unknown()
        finally:
            if self._lookups.get(stream) is lookup:
                del self._lookups[stream]
