"""Emulated backend servers: model engines with batches, and plain services."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from fireflyquay.world import (
    BackendEntry,
    BackendPhase,
    BackendServerId,
    ServiceId,
    SoftwareVersion,
)

from ._history import Run
from ._site import EngineModel, ServiceModel, VersionFault

# Time for which a server that fell over refuses connections.
FALL_DOWNTIME_SECONDS = 2.0
# Output by which a server marks a failed run.
FAILURE_OUTPUT = b"!failed"


class ConnectionLost(Exception):  # noqa: N818
    """Indicate that a backend server closed or refused the connection."""


class RequestDeclined(Exception):  # noqa: N818
    """Indicate that a backend server declined a request without running it."""


@dataclass(slots=True)
class Job:
    """Hold the state of a request at a backend server."""

    run: Run
    prompt_tokens: int
    # Name of the prompt prefix that other requests share.
    prefix: str
    shared_tokens: int
    output_tokens: int
    # Id of the last event that the client already has; the stream continues after it.
    resumed_after: int
    # Run time of a plain request in seconds, before the server's factors.
    work: float
    crashes: bool = False
    shared_parts: frozenset[str] = frozenset()
    # Unread output, and the event that signals a change to its reader.
    chunks: deque[bytes] = field(default_factory=deque)
    updated: asyncio.Event = field(default_factory=asyncio.Event)
    is_finished: bool = False
    is_connection_lost: bool = False
    prompt_tokens_left: int = 0
    generated_tokens: int = 0

    def send_output(self, data: bytes = b"") -> None:
        """Append bytes, if any, to the output and notify its reader."""
        if data:
            self.chunks.append(data)
        self.updated.set()


@dataclass
class CrashingParts:
    """Hold the parts of prompts on which engines crash."""

    names: set[str] = field(default_factory=set)
    # Whether an engine sends the first event of the response before it crashes.
    sends_first_event: bool = False
    # Time for which a crashed engine refuses connections, in seconds.
    downtime: float = 3.0
    # Loop time of each crash, by part.
    crashed_at: dict[str, list[float]] = field(default_factory=dict)


class EmulatedServer(ABC):
    """Run requests in a limited number of slots, with a short queue."""

    def __init__(self, entry: BackendEntry, slots: int, queue_limit: int) -> None:
        self.entry = entry
        self._queue_limit = queue_limit
        self._slots = slots
        self.queued: deque[Job] = deque()
        self.running: list[Job] = []
        # Injected faults. While down, the server refuses connections.
        self.is_down = False
        # Share of plain requests that fail.
        self.failure_rate = 0.0
        # Factor on the run time.
        self.slowdown = 1.0
        # Fault of the software version, and the loop time from which it shows.
        self.version_fault: VersionFault | None = None
        self.bad_from = 0.0
        # Whether the server closes the connection at the end of each run.
        self.drops_responses = False
        # Requests per second that the server states to take; None to state no limit.
        self.request_limit: float | None = None
        # States the limit on each so many responses.
        self.limit_interval = 1
        self._response_count = 0
        # Rejections a second that the server states to stand; None if any number.
        self.max_rejections: float | None = None
        # Requests that it holds meanwhile, running and queued; None for its usual.
        self.room: int | None = None
        # Loop times of recent rejections, and of each time that they made it fall over.
        self._rejected_at: deque[float] = deque()
        self.fell_at: list[float] = []

    def accept(self, job: Job, expected: str) -> None:
        """Queue or start a request; raise ConnectionLost or RequestDeclined."""
        if self.is_down:
            raise ConnectionLost
        if expected and expected != self.entry.id:
            raise RequestDeclined
        if not self._has_room():
            self._record_rejection()
            raise RequestDeclined
        self.queued.append(job)
        self.start_queued()

    def _has_room(self) -> bool:
        if self.room is not None:
            return len(self.queued) + len(self.running) < self.room
        return len(self.queued) < self._queue_limit

    def _record_rejection(self) -> None:
        """Fall over if there were too many rejections within a second."""
        if self.max_rejections is None:
            return
        loop = asyncio.get_running_loop()
        self._rejected_at.append(loop.time())
        while self._rejected_at[0] <= loop.time() - 1.0:
            self._rejected_at.popleft()
        if len(self._rejected_at) <= self.max_rejections:
            return
        self._rejected_at.clear()
        self.fell_at.append(loop.time())
        self.crash()
        loop.call_later(FALL_DOWNTIME_SECONDS, self.restart)

    def cancel(self, job: Job) -> None:
        """Cancel a request after its client has disconnected."""
        job.is_finished = True
        job.run.ended_at = asyncio.get_running_loop().time()
        if job in self.queued:
            self.queued.remove(job)
        if job in self.running:
            self.running.remove(job)
        self.start_queued()

    def make_headers(self) -> dict[str, str]:
        """Return the headers of the next response."""
        self._response_count += 1
        headers = {}
        if self.max_rejections is not None:
            headers["brittle"] = str(self.max_rejections)
        if self.request_limit is None or self._response_count % self.limit_interval:
            return headers
        return {"limit": str(self.request_limit), **headers}

    def crash(self) -> None:
        """Abort all requests and refuse connections."""
        self.is_down = True
        now = asyncio.get_running_loop().time()
        for job in [*self.queued, *self.running]:
            job.is_finished = job.is_connection_lost = True
            job.run.ended_at = now
            job.send_output()
        self.queued.clear()
        self.running.clear()

    def restart(self) -> None:
        """Accept requests again."""
        self.is_down = False

    def start_queued(self) -> None:
        """Start queued requests while slots are free."""
        now = asyncio.get_running_loop().time()
        while self.queued and len(self.running) < self._slots:
            job = self.queued.popleft()
            job.run.began_at = now
            self.running.append(job)
            self.start(job)

    def complete(self, job: Job) -> None:
        """Complete a request and start the next ones."""
        job.is_finished = True
        job.run.is_complete = True
        job.run.ended_at = asyncio.get_running_loop().time()
        if job in self.running:
            self.running.remove(job)
        if self.drops_responses:
            job.is_connection_lost = True
        job.send_output()
        self.start_queued()

    def find_version_fault(self, job: Job) -> VersionFault | None:
        """Return the version's fault if it affects a request now."""
        fault = self.version_fault
        if fault is None or asyncio.get_running_loop().time() < self.bad_from:
            return None
        is_affected = fault.kind in ("", job.run.kind)
        has_load = len(self.running) >= fault.min_running
        return fault if is_affected and has_load else None

    def draw_failure(self, job: Job, rng: random.Random) -> bool:
        """Return whether the version makes a request fail; record what is bad."""
        fault = self.find_version_fault(job)
        if fault is None:
            return False
        # A rate of 0 or 1 draws no number, so that other draws stay the same.
        has_failed = fault.failure_rate >= 1.0 or (
            fault.failure_rate > 0.0 and rng.random() < fault.failure_rate
        )
        if has_failed or fault.slowdown > 1.0:
            job.run.bad_at = asyncio.get_running_loop().time()
        return has_failed

    @abstractmethod
    def start(self, job: Job) -> None:
        """Run a request that has a slot."""


class EmulatedService(EmulatedServer):
    """Run plain requests, each for its own run time."""

    def __init__(
        self,
        entry: BackendEntry,
        model: ServiceModel,
        time_factor: float,
        rng: random.Random,
    ) -> None:
        super().__init__(entry, model.slots, model.queue_limit)
        self._time_factor = time_factor
        self._rng = rng

    def start(self, job: Job) -> None:
        """Run a request that has a slot."""
        if job.crashes:
            self.crash()
            return
        seconds = (
            job.work * self._time_factor * self.slowdown * self._rng.uniform(0.8, 1.2)
        )
        fault = self.find_version_fault(job)
        if fault is not None:
            seconds *= fault.slowdown
        asyncio.get_running_loop().call_later(seconds, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job.is_finished:
            return
        if self._rng.random() < self.failure_rate:
            job.send_output(FAILURE_OUTPUT)
        elif self.draw_failure(job, self._rng):
            job.send_output(FAILURE_OUTPUT)
        else:
            job.send_output(b"done " + job.run.attempt.encode())
        self.complete(job)


class EmulatedEngine(EmulatedServer):
    """Run streams in one batch.

    Each step decodes a token of each stream and prefills a chunk that all new prompts
    share, so the first outputs of several may coincide.
    """

    def __init__(
        self,
        entry: BackendEntry,
        model: EngineModel,
        time_factor: float,
        rng: random.Random,
    ) -> None:
        super().__init__(entry, model.slots, model.queue_limit)
        self._model = model
        self._time_factor = time_factor
        self._rng = rng
        self._has_scheduled_step = False
        self.crashing_parts = CrashingParts()
        # Tokens of each cached prompt prefix, least recently used first.
        self._prefix_cache: OrderedDict[str, int] = OrderedDict()

    def start(self, job: Job) -> None:
        """Run a stream that has a slot."""
        cached = min(job.shared_tokens, self._prefix_cache.get(job.prefix, 0))
        job.prompt_tokens_left = job.prompt_tokens - cached
        job.run.prefilled_tokens += job.prompt_tokens_left
        job.generated_tokens = job.resumed_after * self._model.tokens_per_event
        if not self._has_scheduled_step:
            self._has_scheduled_step = True
            asyncio.get_running_loop().call_soon(self._schedule_step)

    def _schedule_step(self) -> None:
        """Start the next step unless the batch is empty."""
        if not self.running or self.is_down:
            self._has_scheduled_step = False
            return
        model, loop = self._model, asyncio.get_running_loop()
        prefilling = [job for job in self.running if job.prompt_tokens_left > 0]
        decoding = [job for job in self.running if job.prompt_tokens_left <= 0]
        seconds = 0.0
        shares = share_chunk(
            model.chunk_tokens, [job.prompt_tokens_left for job in prefilling]
        )
        if decoding:
            seconds += model.step_seconds + model.step_seconds_per_request * (
                len(decoding) - 1
            )
        # Prefill and decoding of a step run in parallel.
        seconds = max(seconds, sum(shares) / model.prefill_rate)
        seconds *= self._time_factor * self.slowdown
        faults = [self.find_version_fault(job) for job in self.running]
        seconds *= max((it.slowdown for it in faults if it), default=1.0)
        prefilled = list(zip(prefilling, shares, strict=True))
        loop.call_later(seconds, self._finish_step, prefilled, decoding)

    def _finish_step(
        self, prefilled: list[tuple[Job, int]], decoding: list[Job]
    ) -> None:
        for job, tokens in prefilled:
            if job.is_finished:
                continue
            if job.crashes:
                self.crash()
                self._has_scheduled_step = False
                return
            job.prompt_tokens_left -= tokens
            if job.prompt_tokens_left <= 0:
                self._cache_prefix(job)
                if self.draw_failure(job, self._rng):
                    job.send_output(FAILURE_OUTPUT)
                    self.complete(job)
        for job in decoding:
            if job.is_finished:
                continue
            parts = job.shared_parts & self.crashing_parts.names
            if parts:
                self._crash_on_parts(job, parts)
                return
            self._generate_token(job)
        self._schedule_step()

    def _crash_on_parts(self, job: Job, parts: frozenset[str]) -> None:
        loop, crashing = asyncio.get_running_loop(), self.crashing_parts
        for part in parts:
            crashing.crashed_at.setdefault(part, []).append(loop.time())
        if crashing.sends_first_event:
            job.send_output(b"id: %d\ndata: x\n\n" % (job.resumed_after + 1))
        self.crash()
        self._has_scheduled_step = False
        loop.call_later(crashing.downtime, self.restart)

    def _generate_token(self, job: Job) -> None:
        job.generated_tokens += 1
        is_last = job.generated_tokens >= job.output_tokens
        if job.generated_tokens % self._model.tokens_per_event and not is_last:
            return
        number = -(-job.generated_tokens // self._model.tokens_per_event)
        job.send_output(b"id: %d\ndata: x\n\n" % number)
        if is_last:
            self.complete(job)

    def _cache_prefix(self, job: Job) -> None:
        self._prefix_cache[job.prefix] = job.shared_tokens
        self._prefix_cache.move_to_end(job.prefix)
        while sum(self._prefix_cache.values()) > self._model.memory_tokens // 2:
            self._prefix_cache.popitem(last=False)


def share_chunk(chunk_tokens: int, tokens_left: list[int]) -> list[int]:
    """Return how many tokens of each prompt a step prefills.

    Prompts get equal parts, and what short ones leave goes to the longer ones.
    """
    shares = [0] * len(tokens_left)
    for number, index in enumerate(
        sorted(range(len(tokens_left)), key=lambda it: tokens_left[it])
    ):
        part = -(-chunk_tokens // (len(tokens_left) - number))
        shares[index] = min(tokens_left[index], part)
        chunk_tokens -= shares[index]
    return shares


async def iter_output(job: Job) -> AsyncIterator[bytes]:
    """Yield a request's output; raise ConnectionLost if the connection is lost."""
    while True:
        while job.chunks:
            yield job.chunks.popleft()
        if job.is_connection_lost:
            raise ConnectionLost
        if job.is_finished:
            return
        job.updated.clear()
        await job.updated.wait()


def make_servers(
    service: str,
    model: EngineModel | ServiceModel,
    rng: random.Random,
    zones: list,
    version: str = "",
    first_number: int = 0,
) -> list[EmulatedServer]:
    """Return the backend servers of a service, from the fastest to the slowest."""
    servers: list[EmulatedServer] = []
    for number in range(first_number, first_number + model.count):
        share = (number - first_number) / max(1, model.count - 1)
        time_factor = 1.0 + (model.spread - 1.0) * share
        entry = BackendEntry(
            BackendServerId(f"{service}-{number}"),
            ServiceId(service),
            f"10.9.{number // 250}.{number % 250 + 1}",
            9000 if isinstance(model, EngineModel) else 9001,
            zones[number % len(zones)],
            model.slots,
            BackendPhase.READY,
            1,
            version=SoftwareVersion(version),
        )
        if isinstance(model, EngineModel):
            servers.append(EmulatedEngine(entry, model, time_factor, rng))
        else:
            servers.append(EmulatedService(entry, model, time_factor, rng))
    return servers
