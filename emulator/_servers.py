"""Emulated backend servers: model engines in steps, and plain services."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from fireflyquay.world import BackendEntry, BackendPhase, BackendServerId, ServiceId

from ._history import Run
from ._site import EngineModel, ServiceModel


class ServerGone(Exception):  # noqa: N818
    """Tell that a backend server closed or never took the connection."""


class Declined(Exception):  # noqa: N818
    """Tell that a backend server did not run a request."""


@dataclass(slots=True)
class Job:
    """Hold a request at a backend server."""

    run: Run
    prompt_tokens: int
    # Names the prompt's shared part.
    prefix: str
    shared_tokens: int
    output_tokens: int
    # First event to send.
    first_event: int
    # Seconds of plain work.
    work: float
    crashes: bool = False
    # Bytes for the client, and what wakes their reader.
    chunks: deque[bytes] = field(default_factory=deque)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    is_over: bool = False
    is_lost: bool = False
    # Prompt tokens to read, and output tokens made.
    to_read: int = 0
    made: int = 0

    def tell(self, data: bytes = b"") -> None:
        """Wake the reader, with bytes if there are any."""
        if data:
            self.chunks.append(data)
        self.news.set()


class EmulatedServer(ABC):
    """Run requests, and register as real ones do."""

    def __init__(self, entry: BackendEntry, slots: int, queue: int) -> None:
        self.entry = entry
        self._queue_limit = queue
        self._slots = slots
        self.waiting: deque[Job] = deque()
        self.running: list[Job] = []
        # Troubles: refuses connections; fails what it runs; multiplies its time.
        self.is_down = False
        self.failing_share = 0.0
        self.slowness = 1.0
        # Whether answers get lost after the run.
        self.loses_answers = False

    def take(self, job: Job, expected: str) -> None:
        """Take a request; raise ServerGone or Declined if it isn't."""
        if self.is_down:
            raise ServerGone
        if expected and expected != self.entry.id:
            raise Declined
        if len(self.waiting) >= self._queue_limit:
            raise Declined
        self.waiting.append(job)
        self.start_waiting()

    def drop(self, job: Job) -> None:
        """End a request whose connection was closed."""
        job.is_over = True
        job.run.ended_at = asyncio.get_running_loop().time()
        if job in self.waiting:
            self.waiting.remove(job)
        if job in self.running:
            self.running.remove(job)
        self.start_waiting()

    def crash(self) -> None:
        """Lose all requests and refuse connections."""
        self.is_down = True
        now = asyncio.get_running_loop().time()
        for job in [*self.waiting, *self.running]:
            job.is_over = job.is_lost = True
            job.run.ended_at = now
            job.tell()
        self.waiting.clear()
        self.running.clear()

    def come_back(self) -> None:
        """Take requests again, as a new process."""
        self.is_down = False

    def start_waiting(self) -> None:
        """Begin what fits."""
        now = asyncio.get_running_loop().time()
        while self.waiting and len(self.running) < self._slots:
            job = self.waiting.popleft()
            job.run.began_at = now
            self.running.append(job)
            self.begin(job)

    def end(self, job: Job) -> None:
        """Complete a request."""
        job.is_over = True
        job.run.is_complete = True
        job.run.ended_at = asyncio.get_running_loop().time()
        if job in self.running:
            self.running.remove(job)
        if self.loses_answers:
            job.is_lost = True
        job.tell()
        self.start_waiting()

    @abstractmethod
    def begin(self, job: Job) -> None:
        """Begin a request that has a slot."""


class EmulatedService(EmulatedServer):
    """Run plain requests, each for its time."""

    def __init__(
        self, entry: BackendEntry, model: ServiceModel, speed: float, rng: random.Random
    ) -> None:
        super().__init__(entry, model.slots, model.queue)
        self._speed = speed
        self._rng = rng

    def begin(self, job: Job) -> None:
        """Begin a request that has a slot."""
        if job.crashes:
            self.crash()
            return
        seconds = job.work * self._speed * self.slowness * self._rng.uniform(0.8, 1.2)
        asyncio.get_running_loop().call_later(seconds, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job.is_over:
            return
        if self._rng.random() < self.failing_share:
            job.tell(b"!failed")
        else:
            job.tell(b"done " + job.run.attempt.encode())
        self.end(job)


class EmulatedEngine(EmulatedServer):
    """Run streams in one batch: a step for all, with a chunk of one prompt beside."""

    def __init__(
        self, entry: BackendEntry, model: EngineModel, speed: float, rng: random.Random
    ) -> None:
        super().__init__(entry, model.slots, model.queue)
        self._model = model
        self._speed = speed
        self._rng = rng
        self._stepping = False
        # Shared parts of prompts that are kept, least recently used first.
        self._kept: OrderedDict[str, int] = OrderedDict()

    def begin(self, job: Job) -> None:
        """Begin a stream that has a slot."""
        cached = min(job.shared_tokens, self._kept.get(job.prefix, 0))
        job.to_read = job.prompt_tokens - cached
        job.run.prefilled_tokens += job.to_read
        job.made = job.first_event * self._model.stride
        if not self._stepping:
            self._stepping = True
            asyncio.get_running_loop().call_soon(self._plan)

    def _plan(self) -> None:
        """Begin the next step, if there is anything to do."""
        if not self.running or self.is_down:
            self._stepping = False
            return
        model, loop = self._model, asyncio.get_running_loop()
        reader = next((job for job in self.running if job.to_read > 0), None)
        writers = [job for job in self.running if job.to_read <= 0]
        seconds = 0.0
        chunk = 0
        if writers:
            seconds += model.step + model.step_per_request * (len(writers) - 1)
        if reader is not None:
            chunk = min(model.chunk_tokens, reader.to_read)
            # Reading goes on beside the step.
            seconds = max(seconds, chunk / model.prefill_rate)
        seconds *= self._speed * self.slowness
        loop.call_later(seconds, self._step, reader, chunk, writers)

    def _step(self, reader: Job | None, chunk: int, writers: list[Job]) -> None:
        if reader is not None and not reader.is_over:
            if reader.crashes:
                self.crash()
                self._stepping = False
                return
            reader.to_read -= chunk
            if reader.to_read <= 0:
                self._keep(reader)
        for job in writers:
            if not job.is_over:
                self._write(job)
        self._plan()

    def _write(self, job: Job) -> None:
        job.made += 1
        is_last = job.made >= job.output_tokens
        if job.made % self._model.stride and not is_last:
            return
        number = -(-job.made // self._model.stride)
        job.tell(b"id: %d\ndata: x\n\n" % number)
        if is_last:
            self.end(job)

    def _keep(self, job: Job) -> None:
        self._kept[job.prefix] = job.shared_tokens
        self._kept.move_to_end(job.prefix)
        while sum(self._kept.values()) > self._model.memory_tokens // 2:
            self._kept.popitem(last=False)


async def read_job(job: Job) -> AsyncIterator[bytes]:
    """Return a request's bytes as they come; raise ServerGone if they break off."""
    while True:
        while job.chunks:
            yield job.chunks.popleft()
        if job.is_lost:
            raise ServerGone
        if job.is_over:
            return
        job.news.clear()
        await job.news.wait()


def make_servers(
    service: str, model: EngineModel | ServiceModel, rng: random.Random, zones: list
) -> list[EmulatedServer]:
    """Return a service's servers, of unlike speeds."""
    servers: list[EmulatedServer] = []
    for number in range(model.count):
        share = number / max(1, model.count - 1)
        speed = 1.0 + (model.spread - 1.0) * share
        entry = BackendEntry(
            BackendServerId(f"{service}-{number}"),
            ServiceId(service),
            f"10.9.{number // 250}.{number % 250 + 1}",
            9000 if isinstance(model, EngineModel) else 9001,
            zones[number % len(zones)],
            model.slots,
            BackendPhase.READY,
            1,
        )
        if isinstance(model, EngineModel):
            servers.append(EmulatedEngine(entry, model, speed, rng))
        else:
            servers.append(EmulatedService(entry, model, speed, rng))
    return servers
