"""Backend servers: model engines with kept streams, and plain services."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyquay.decisions import (
    FailureKind,
)
from fireflyquay.world import BackendServer, Incarnation, Request, RequestKey

from ._clock import Clock
from ._evidence import Evidence, Ran

HOP_S = 0.001
CHUNKS = 8
CRASH_MARKER = b"crash"


def make_answer(body: bytes) -> tuple[bytes, ...]:
    """Return the parts of the answer that a body must get."""
    return tuple(
        hashlib.blake2b(body, digest_size=6, key=bytes([index])).digest()
        for index in range(CHUNKS)
    )


class Reader(ABC):
    """Take what a backend server tells of one run."""

    @abstractmethod
    def take_chunk(self, chunk: bytes) -> None:
        """Take the next part."""

    @abstractmethod
    def take_end(self) -> None:
        """Take the end of a whole answer."""

    @abstractmethod
    def take_failure(self, kind: FailureKind) -> None:
        """Take the loss of the connection or a refusal."""


@dataclass(slots=True)
class _Stream:
    chunks: tuple[bytes, ...]
    produced: int = 0
    is_cancelled: bool = False
    readers: list[tuple[Reader, int]] = field(default_factory=list)


class Backend(ABC):
    """Run requests in virtual time; crash, freeze and slow down when told."""

    def __init__(self, server: BackendServer, clock: Clock, evidence: Evidence) -> None:
        self.server = server
        self.is_up = True
        self.slowdown = 1.0
        # Seconds per part of an answer.
        self.pace = 0.05
        # Whether the next orders are refused before they run.
        self.refuses = False
        self._clock = clock
        self._evidence = evidence
        self._frozen: list[Callable[[], None]] | None = None
        self._life = 0

    def run(self, node: Incarnation, request: Request, reader: Reader) -> None:
        """Take an order over a new connection."""
        sent_at = self._clock.now
        self._connect(reader, lambda: self._take(node, request, reader, sent_at))

    def resume(self, request: Request, start: int, reader: Reader) -> None:
        """Take a request to read a stream again."""
        if not self.is_up:
            self._clock.call_in(HOP_S, lambda: reader.take_failure(FailureKind.LOST))
            return
        self._connect(reader, lambda: self._reread(request, start, reader))

    @abstractmethod
    def cancel(self, request: Request) -> None:
        """Take a request to stop a stream."""

    def crash(self) -> None:
        """Lose all that runs or is kept, and refuse connections."""
        if not self.is_up:
            return
        self._evidence.backend_faults.append(self._clock.now)
        self.is_up = False
        self._life += 1
        self._frozen = None
        self._break_off()

    def restart(self) -> None:
        """Accept connections again."""
        self.is_up = True

    def freeze(self) -> None:
        """Stop without closing connections."""
        if self._frozen is None and self.is_up:
            self._evidence.backend_faults.append(self._clock.now)
            self._frozen = []

    def thaw(self) -> None:
        """Go on."""
        waiting, self._frozen = self._frozen or [], None
        for call in waiting:
            call()

    def _connect(self, reader: Reader, call: Callable[[], None]) -> None:
        if not self.is_up:
            self._clock.call_in(
                HOP_S, lambda: reader.take_failure(FailureKind.NOT_STARTED)
            )
            return
        self._later(HOP_S, call)

    def _later(self, delay: float, call: Callable[[], None]) -> None:
        life = self._life

        def act() -> None:
            if life != self._life:
                return
            if self._frozen is not None:
                self._frozen.append(act)
                return
            call()

        self._clock.call_in(delay, act)

    def _note(self, node: Incarnation, request: Request, sent_at: float) -> None:
        self._evidence.ran.append(
            Ran(
                self._clock.now,
                request.key,
                request.attempt,
                self.server.server,
                self.server.pool,
                request.tier,
                node,
                request.kind.idempotent,
                sent_at,
                request.body,
            )
        )

    @abstractmethod
    def _take(
        self, node: Incarnation, request: Request, reader: Reader, sent_at: float
    ) -> None:
        """Run an order."""

    @abstractmethod
    def _reread(self, request: Request, start: int, reader: Reader) -> None:
        """Read a stream again."""

    @abstractmethod
    def _break_off(self) -> None:
        """Tell readers that their connections are lost."""


class Engine(Backend):
    """Stream answers, and keep them by key and attempt."""

    def __init__(self, server: BackendServer, clock: Clock, evidence: Evidence) -> None:
        super().__init__(server, clock, evidence)
        self._streams: dict[tuple[RequestKey, int], _Stream] = {}

    def cancel(self, request: Request) -> None:
        """Stop a stream."""
        stream = self._streams.get((request.key, request.attempt))
        if stream is not None:
            stream.is_cancelled = True

    def _take(
        self, node: Incarnation, request: Request, reader: Reader, sent_at: float
    ) -> None:
        if self.refuses:
            self._clock.call_in(
                HOP_S, lambda: reader.take_failure(FailureKind.NOT_STARTED)
            )
            return
        self._note(node, request, sent_at)
        stream = _Stream(make_answer(request.body))
        stream.readers.append((reader, 0))
        self._streams[request.key, request.attempt] = stream
        if request.body.startswith(CRASH_MARKER):
            self._later(self.pace, self.crash)
            return
        self._produce_later(stream)

    def _reread(self, request: Request, start: int, reader: Reader) -> None:
        stream = self._streams.get((request.key, request.attempt))
        if stream is None:
            kind = FailureKind.UNKNOWN_STREAM
            self._clock.call_in(HOP_S, lambda: reader.take_failure(kind))
            return
        stream.readers.append((reader, start))
        for index in range(start, stream.produced):
            self._hand_over(reader, stream.chunks[index])
        if stream.produced == len(stream.chunks):
            self._clock.call_in(HOP_S, reader.take_end)

    def _produce_later(self, stream: _Stream) -> None:
        busy = sum(s.produced < len(s.chunks) for s in self._streams.values())
        delay = self.pace * self.slowdown * (1 + 0.05 * busy)
        self._later(delay, lambda: self._produce(stream))

    def _produce(self, stream: _Stream) -> None:
        if stream.is_cancelled:
            return
        chunk = stream.chunks[stream.produced]
        stream.produced += 1
        is_last = stream.produced == len(stream.chunks)
        for reader, _ in stream.readers:
            self._hand_over(reader, chunk)
            if is_last:
                self._clock.call_in(HOP_S, reader.take_end)
        if not is_last:
            self._produce_later(stream)

    def _hand_over(self, reader: Reader, chunk: bytes) -> None:
        self._clock.call_in(HOP_S, lambda: reader.take_chunk(chunk))

    def _break_off(self) -> None:
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            for reader, _ in stream.readers:
                reader.take_failure(FailureKind.LOST)


class Service(Backend):
    """Run each call once per order, and keep nothing."""

    def __init__(self, server: BackendServer, clock: Clock, evidence: Evidence) -> None:
        super().__init__(server, clock, evidence)
        self._readers: list[Reader] = []

    def cancel(self, request: Request) -> None:
        """Go on, for services take no cancels."""

    def _take(
        self, node: Incarnation, request: Request, reader: Reader, sent_at: float
    ) -> None:
        if self.refuses:
            self._clock.call_in(
                HOP_S, lambda: reader.take_failure(FailureKind.NOT_STARTED)
            )
            return
        self._note(node, request, sent_at)
        self._readers.append(reader)
        if request.body.startswith(CRASH_MARKER):
            self._later(self.pace, self.crash)
            return
        duration = self.pace * self.slowdown * 2
        self._later(duration, lambda: self._end(request, reader))

    def _reread(self, request: Request, start: int, reader: Reader) -> None:
        reader.take_failure(FailureKind.UNKNOWN_STREAM)

    def _end(self, request: Request, reader: Reader) -> None:
        self._readers.remove(reader)
        reader.take_chunk(b"".join(make_answer(request.body)))
        reader.take_end()

    def _break_off(self) -> None:
        readers, self._readers = self._readers, []
        for reader in readers:
            reader.take_failure(FailureKind.LOST)
