"""Callers that follow the protocol of keys, copies and new attempts."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from fireflyquay.decisions import (
    Refuse,
)
from fireflyquay.world import (
    Code,
    CustomerId,
    ExchangeId,
    Fingerprint,
    Incarnation,
    Request,
    RequestKey,
    Tier,
    Verdict,
    WorkKind,
)

from ._backends import CHUNKS, make_answer
from ._clock import Clock
from ._evidence import Evidence, Sent, Told
from ._process import Connection, End, EntryProcess

HOP_S = 0.001
PATIENCE_S = 4.0
RESEND_PAUSE_S = 0.2
MAX_REDIRECTS = 8
MAX_ATTEMPTS = 4


class Directory(Protocol):
    """Tell callers of the entry VMs."""

    def choose_entry(self, avoid: EntryProcess | None) -> EntryProcess | None:
        """Return an entry VM to send to."""

    def find_address(self, host: str, port: int) -> EntryProcess | None:
        """Return the entry VM that takes callers at an address."""

    def find_process(self, incarnation: Incarnation | None) -> EntryProcess | None:
        """Return the entry VM of an incarnation."""


@dataclass(slots=True)
class CallerRequest:
    """Hold one request of a caller, over all its copies and attempts."""

    number: int
    customer: CustomerId
    kind: WorkKind
    tier: Tier
    body: bytes
    key: RequestKey
    # Draws the key of a new attempt from an entry VM.
    draw_key: Callable[[EntryProcess], RequestKey]
    # Whether new attempts keep the key.
    keeps_key: bool = False
    # Whether the caller sends again and makes new attempts by itself.
    is_automatic: bool = True
    # Whether copies tell how often the attempt has been sent.
    tells_count: bool = True
    patience: float = PATIENCE_S
    attempt: int = 1
    send_count: int = 0
    losses: int = 0
    redirects: int = 0
    chunks: list[bytes] = field(default_factory=list)
    connections: list[CallerConnection] = field(default_factory=list)
    # Set when the caller has its last word.
    told: Told | None = None
    # All last words of attempts, newest last.
    history: list[Told] = field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """Tell whether the whole answer has come."""
        return self.told is not None and self.told.code is None


class CallerConnection(Connection):
    """Read one connection to an entry VM."""

    def __init__(
        self, callers: Callers, request: CallerRequest, node: EntryProcess
    ) -> None:
        self.node = node
        self.key = request.key
        self.attempt = request.attempt
        self.chunks: list[bytes] = []
        self.is_whole = True
        self.is_open = True
        self._callers = callers
        self._request = request
        self._heard_at = callers.clock.now
        self._watch()

    def close(self) -> None:
        """Leave the connection."""
        if self.is_open:
            self.is_open = False
            self._callers.clock.call_in(HOP_S, lambda: self.node.leave(self))

    def take_chunk(self, index: int, chunk: bytes) -> None:
        """Take one part of the answer."""
        self._later(lambda: self._add(index, chunk))

    def take_end(self, end: End) -> None:
        """Take the end."""
        self._later(lambda: self._end(end))

    def take_loss(self) -> None:
        """Take the loss of the connection."""
        self._later(self._lose)

    def _later(self, call: Callable[[], None]) -> None:
        def act() -> None:
            if self.is_open:
                self._heard_at = self._callers.clock.now
                call()

        self._callers.clock.call_in(HOP_S, act)

    def _add(self, index: int, chunk: bytes) -> None:
        if index != len(self.chunks):
            self.is_whole = False
        self.chunks.append(chunk)

    def _end(self, end: End) -> None:
        self.is_open = False
        self._callers.end(self._request, self, end)

    def _lose(self) -> None:
        self.is_open = False
        self._callers.lose(self._request, self)

    def _watch(self) -> None:
        if not self.is_open:
            return
        left = self._heard_at + self._request.patience - self._callers.clock.now
        if left <= 0:
            self.close()
            self._callers.lose(self._request, self)
            return
        self._callers.clock.call_in(left + 0.001, self._watch)


class Callers:
    """Send requests, read answers and note what was told."""

    def __init__(
        self, clock: Clock, rng: random.Random, directory: Directory, evidence: Evidence
    ) -> None:
        self.clock = clock
        self.requests: list[CallerRequest] = []
        self._rng = rng
        self._directory = directory
        self._evidence = evidence

    def start(self, request: CallerRequest, node: EntryProcess) -> None:
        """Send the first copy of a request."""
        self.requests.append(request)
        self.send_copy(request, node)

    def send_copy(self, request: CallerRequest, node: EntryProcess) -> None:
        """Send one more copy of the present attempt."""
        request.send_count += 1
        connection = CallerConnection(self, request, node)
        request.connections.append(connection)
        now = self.clock.now
        self._evidence.sent.append(
            Sent(
                now,
                request.number,
                request.key,
                request.attempt,
                node.vm.incarnation,
                request.kind,
            )
        )
        count = request.send_count if request.tells_count else 0
        attempt, key, losses = request.attempt, request.key, request.losses

        def build(exchange: ExchangeId, arrived: float) -> Request:
            return Request(
                exchange=exchange,
                key=key,
                customer=request.customer,
                kind=request.kind,
                tier=request.tier,
                prompt_tokens=100,
                max_tokens=CHUNKS,
                prefix_hash="",
                fingerprint=Fingerprint(request.body.hex()),
                deadline=arrived + request.kind.deadline,
                attempt=attempt,
                send_count=count,
                body=request.body,
            )

        def arrive() -> None:
            if not node.is_up:
                connection.take_loss()
                return
            node.open(build, connection, losses > 0)

        self.clock.call_in(HOP_S, arrive)

    def leave(self, request: CallerRequest) -> None:
        """Close all connections of a request."""
        for connection in request.connections:
            connection.close()

    def lose(self, request: CallerRequest, connection: CallerConnection) -> None:
        """Send again elsewhere after a connection was lost."""
        if request.told is not None or connection.attempt != request.attempt:
            return
        request.losses += 1
        if not request.is_automatic or self._has_open(request):
            return
        self.clock.call_in(RESEND_PAUSE_S, lambda: self._resend(request, connection))

    def end(
        self, request: CallerRequest, connection: CallerConnection, end: End
    ) -> None:
        """Take the end of a copy's exchange."""
        if end is not None and not isinstance(end, Refuse):
            self._follow(request, connection, end)
            return
        told = self._note_told(request, connection, end)
        if request.told is not None or connection.attempt != request.attempt:
            return
        request.history.append(told)
        request.told = told
        if isinstance(end, Refuse) and request.is_automatic:
            self._try_anew(request, end)

    def _note_told(
        self, request: CallerRequest, connection: CallerConnection, end: Refuse | None
    ) -> Told:
        told = Told(
            at=self.clock.now,
            request=request.number,
            key=connection.key,
            attempt=connection.attempt,
            node=connection.node.vm.incarnation,
            tier=request.tier,
            pool=request.kind.pool,
            body=request.body,
            budget=request.kind.deadline,
            code=end.code if end else None,
            verdict=end.verdict if end else Verdict.RAN,
            answer=b"".join(connection.chunks),
            expected=b"".join(make_answer(request.body)),
            is_whole=connection.is_whole,
        )
        self._evidence.told.append(told)
        return told

    def _follow(
        self, request: CallerRequest, connection: CallerConnection, end: End
    ) -> None:
        if request.told is not None or connection.attempt != request.attempt:
            return
        node = self._directory.find_address(end.host, end.http_port)
        request.redirects += 1
        if node is None or request.redirects > MAX_REDIRECTS:
            self.lose(request, connection)
            return
        if node.is_up:
            self.send_copy(request, node)
            return
        self.lose(request, connection)

    def _resend(self, request: CallerRequest, lost: CallerConnection) -> None:
        if request.told is not None or self._has_open(request):
            return
        node = self._directory.choose_entry(lost.node)
        if node is None or request.losses > 20:
            return
        request.redirects = 0
        self.send_copy(request, node)

    def _try_anew(self, request: CallerRequest, end: Refuse) -> None:
        is_free = end.code is Code.WITNESS_LOST
        if end.verdict is not Verdict.NOT_RUN or request.attempt >= MAX_ATTEMPTS:
            return
        if end.retry_after is None and not is_free:
            return
        wait = 0.01 + (end.retry_after or 0.0)
        self.clock.call_in(wait, lambda: self._start_attempt(request, end))

    def _start_attempt(self, request: CallerRequest, end: Refuse) -> None:
        node = self._directory.choose_entry(None)
        if end.new_key is not None and not request.keeps_key:
            node = self._directory.find_process(find_home(end.new_key)) or node
        if node is None:
            return
        request.told = None
        request.attempt += 1
        request.send_count = request.losses = request.redirects = 0
        request.connections = []
        if not request.keeps_key:
            request.key = end.new_key or request.draw_key(node)
        self.send_copy(request, node)

    def _has_open(self, request: CallerRequest) -> bool:
        return any(
            c.is_open and c.attempt == request.attempt for c in request.connections
        )


def find_home(key: RequestKey) -> Incarnation | None:
    """Return the home that a key names, or None."""
    parts = key.split(".")
    return Incarnation(parts[1]) if parts[0] == "fq1" and len(parts) > 2 else None
