"""Replay of a burst whose refused clients retry, against a coordinator."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from fireflyquay.dispatch import FirstOutput, Grant, RunEnded

from .builders import OWN_VM, make_backend_entry, make_coordinator, make_request

# Clients honor a Retry-After of at most this fraction of the time that they have left.
HONORED_SHARE = 1 / 3
ADVANCE_SECONDS = 0.02


@dataclass(frozen=True)
class Phase:
    """Describe a period of traffic as a multiple of what the slots can run."""

    seconds: float
    load: float


@dataclass(frozen=True)
class Traffic:
    """Describe requests of one rank and the runs that they cause."""

    objective: float = 0.4
    timeout: float = 3.0
    run_seconds: float = 0.25
    first_output_seconds: float = 0.05
    slots: int = 10

    @property
    def capacity(self) -> float:
        """Return the runs per second that the slots complete."""
        return self.slots / self.run_seconds


@dataclass
class ClientRequest:
    """Record what a client sees of its request."""

    sent_at: float
    attempts: int = 0
    first_output: float | None = None


@dataclass
class Replay:
    """Send a client's requests to a coordinator and act on its decisions."""

    traffic: Traffic
    phases: tuple[Phase, ...]
    seed: int = 1
    requests: list[ClientRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._events: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._by_number: dict[int, tuple[ClientRequest, str]] = {}
        self._coordinator = make_coordinator()
        self._coordinator.set_backends(
            [make_backend_entry("s1", slots=self.traffic.slots)]
        )

    def run(self) -> list[ClientRequest]:
        """Return the requests of all phases after the last of them has ended."""
        rng, now = random.Random(self.seed), 0.0
        for phase in self.phases:
            end = now + phase.seconds
            while True:
                now += rng.expovariate(phase.load * self.traffic.capacity)
                if now >= end:
                    break
                request = ClientRequest(now)
                self.requests.append(request)
                name = f"{len(self.requests):016x}"
                self._schedule(now, lambda at, r=request, n=name: self._send(r, n, at))
            now = end
        steps = int((now + 2 * self.traffic.timeout) / ADVANCE_SECONDS)
        for step in range(steps):
            at = step * ADVANCE_SECONDS
            self._schedule(at, lambda at: self._act(self._coordinator.advance(at), at))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)
        return self.requests

    def _schedule(self, at: float, action: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _send(self, request: ClientRequest, fingerprint: str, now: float) -> None:
        traffic, number = self.traffic, next(self._numbers)
        request.attempts += 1
        self._by_number[number] = (request, fingerprint)
        slot_request = make_request(
            number,
            prompt_tokens=0,
            seconds_to_objective=traffic.objective,
            seconds_to_give_up=2.0,
            seconds_to_deadline=traffic.timeout - (now - request.sent_at),
            max_gap=0.0,
            fingerprint=fingerprint,
            latency_objective=traffic.objective,
        )
        self._act(self._coordinator.submit(slot_request, now), now)

    def _act(self, decisions: list, now: float) -> None:
        for decision in decisions:
            request, fingerprint = self._by_number[decision.number]
            if isinstance(decision, Grant):
                self._start(request, decision, now)
                continue
            left = request.sent_at + self.traffic.timeout - now
            delay = min(decision.retry_after, HONORED_SHARE * left)
            if request.attempts == 1 and left > 0:
                self._schedule(
                    now + delay,
                    lambda at, r=request, n=fingerprint: self._send(r, n, at),
                )

    def _start(self, request: ClientRequest, grant: Grant, now: float) -> None:
        def report_output(at: float) -> None:
            request.first_output = at - request.sent_at
            message = FirstOutput(grant.number, grant.backend)
            self._act(self._coordinator.handle_message(OWN_VM, message, at), at)

        def end_run(at: float) -> None:
            message = RunEnded(grant.number, grant.backend, 1, 0.0, False)
            self._act(self._coordinator.handle_message(OWN_VM, message, at), at)

        self._schedule(now + self.traffic.first_output_seconds, report_output)
        self._schedule(now + self.traffic.run_seconds, end_run)
