"""Replay of bursts by kind on uneven engines, against a coordinator."""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fireflyquay.dispatch import (
    BackendPause,
    Decision,
    FirstOutput,
    Grant,
    RunEnded,
)
from fireflyquay.world import BackendServerId, ClientAccountId

from .builders import (
    ACCOUNT,
    OWN_VM,
    make_backend_entry,
    make_coordinator,
    make_request,
)

HONORED_SHARE = 1 / 3
ADVANCE_SECONDS = 0.02
# One way between a VM and an engine or the coordinator.
MESSAGE_SECONDS = 0.002
PREFILL_TOKENS_PER_SECOND = 85_200
STEP_SECONDS = 0.00277
TOKENS_PER_EVENT = 10
SPEEDS = (0.55, 1.0, 2.8)
NOISE_FACTOR = 2.5
NOISE_SHARE = 0.15
NOISE_SECONDS = 0.6
# Backend servers that one attempt of a client is sent to.
MAX_ATTEMPTS = 2
DECLINED_PAUSE_SECONDS = 0.1
DECLINED_RETRY_AFTER_SECONDS = 0.5
# Seconds in which clients reconnect to VMs that are back.
RECONNECT_SECONDS = 0.2
# Seconds for which a client waits for output.
GIVE_UP_SECONDS = 4.0


@dataclass(frozen=True)
class Kind:
    """Describe the requests of one kind."""

    name: str
    rank: int
    # Requests per second and engine at usual load.
    rate: float
    prompt_tokens: int
    events: int
    objective: float
    timeout: float


DRAFTS = Kind("drafts", 0, 2.0, 6670, 38, 0.619, 10.3)
SUMMARIES = Kind("summaries", 1, 1.67, 688, 29, 0.308, 10.3)
QUERIES = Kind("queries", 2, 3.59, 1860, 2, 0.409, 2.6)
KINDS = (DRAFTS, SUMMARIES, QUERIES)


@dataclass
class ClientRequest:
    """Record what a client sees of its request."""

    kind: Kind
    account: ClientAccountId
    sent_at: float
    attempts: int = 0
    refusals: int = 0
    first_output: float | None = None
    # Seconds for which attempts waited that were refused.
    held: list[float] = field(default_factory=list)


@dataclass
class _Attempt:
    """Hold one attempt of a client."""

    request: ClientRequest
    fingerprint: str
    arrived_at: float
    # Engines that rejected it.
    tried: list[BackendServerId] = field(default_factory=list)


@dataclass
class Figures:
    """Hold the shares of one kind's requests by result."""

    count: int
    on_time: float
    late: float
    refused: float
    refused_twice: float
    median_held: float
    longest_held: float
    p99_output: float


class Engine:
    """Run requests in slots: prefills one after another, then decode in parallel."""

    def __init__(self, name: str, slots: int, speed: float, rng: random.Random) -> None:
        self.name = BackendServerId(name)
        self.slots = slots
        self._speed = speed
        self._rng = rng
        self._factors: list[float] = []
        self._prefill_ends_at = 0.0
        # Ends of the runs that it holds.
        self.ends: list[float] = []
        self.rejections = 0

    def is_full(self, now: float) -> bool:
        """Return whether no slot is free."""
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends) >= self.slots

    def run(self, prompt: int, tokens: int, now: float) -> tuple[float, float]:
        """Return when the first output and the end of a new run come."""
        start = max(now, self._prefill_ends_at)
        self._prefill_ends_at = self._finish(start, prompt / PREFILL_TOKENS_PER_SECOND)
        first_tokens = min(tokens, TOKENS_PER_EVENT)
        first = self._finish(self._prefill_ends_at, first_tokens * STEP_SECONDS)
        end = self._finish(first, (tokens - first_tokens) * STEP_SECONDS)
        self.ends.append(end)
        return first, end

    def _finish(self, start: float, work: float) -> float:
        """Return when so many seconds of work at usual speed are done."""
        at = start
        while work > 1e-9:
            window = int(at / NOISE_SECONDS + 1e-9)
            rate = self._speed / self._get_factor(window)
            left = (window + 1) * NOISE_SECONDS - at
            if work <= left * rate:
                return at + work / rate
            work -= left * rate
            at = (window + 1) * NOISE_SECONDS
        return at

    def _get_factor(self, window: int) -> float:
        while len(self._factors) <= window:
            is_slow = self._rng.random() < NOISE_SHARE
            self._factors.append(NOISE_FACTOR if is_slow else 1.0)
        return self._factors[window]


class BurstReplay:
    """Send clients' requests to a coordinator and run what it grants."""

    def __init__(self, engine_count: int = 12, slots: int = 6, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.engines = {
            f"e{n}": Engine(
                f"e{n}", slots, SPEEDS[n % len(SPEEDS)], random.Random(seed * 1000 + n)
            )
            for n in range(engine_count)
        }
        self.requests: list[ClientRequest] = []
        self.coordinator = make_coordinator()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._by_number: dict[int, _Attempt] = {}
        self._down_until = 0.0
        self.register_engines()

    def register_engines(self, names: Iterable[str] | None = None) -> None:
        """Register the named engines, or all."""
        self.coordinator.set_backends(
            [
                make_backend_entry(name, slots=self.engines[name].slots)
                for name in (self.engines if names is None else names)
            ]
        )

    def add_traffic(
        self,
        since: float,
        seconds: float,
        load: float,
        kinds: Iterable[Kind] = KINDS,
        account: ClientAccountId = ACCOUNT,
    ) -> None:
        """Add requests that arrive at a multiple of the usual rates."""
        for kind in kinds:
            at = since
            while True:
                at += self.rng.expovariate(load * kind.rate * len(self.engines))
                if at >= since + seconds:
                    break
                self._add_request(kind, at, account)

    def _add_request(
        self, kind: Kind, sent_at: float, account: ClientAccountId
    ) -> None:
        request = ClientRequest(kind, account, sent_at)
        self.requests.append(request)
        name = f"{len(self.requests):016x}"
        self.schedule(sent_at, lambda at: self._send(request, name, at))

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Call an action with the time at which it is due."""
        heapq.heappush(self._events, (at, next(self._order), action))

    def lose_power(self, at: float, seconds: float) -> None:
        """End all VMs; their successors know nothing of what the engines still run.

        Requests sent meanwhile arrive when the VMs are back.
        """
        self.schedule(at, lambda at: self._end_vms(at + seconds))
        self.schedule(at + seconds, lambda at: self._start_vms())

    def _end_vms(self, back_at: float) -> None:
        self._by_number.clear()
        self._down_until = back_at

    def _start_vms(self) -> None:
        self.coordinator = make_coordinator()
        self.register_engines()

    def run(self, seconds: float) -> list[ClientRequest]:
        """Return all requests after some seconds."""
        for step in range(int(seconds / ADVANCE_SECONDS)):
            self.schedule(
                step * ADVANCE_SECONDS,
                lambda at: self._act(self.coordinator.advance(at), at),
            )
        while self._events and self._events[0][0] < seconds:
            at, _, action = heapq.heappop(self._events)
            action(at)
        return self.requests

    def _send(self, request: ClientRequest, fingerprint: str, now: float) -> None:
        if now < self._down_until:
            delay = self.rng.uniform(0.0, RECONNECT_SECONDS)
            self.schedule(
                self._down_until + delay,
                lambda at: self._send(request, fingerprint, at),
            )
            return
        request.attempts += 1
        self._submit(_Attempt(request, fingerprint, now), now)

    def _submit(self, attempt: _Attempt, now: float) -> None:
        request, number = attempt.request, next(self._numbers)
        kind = request.kind
        left = request.sent_at + kind.timeout - now
        waited = now - attempt.arrived_at
        self._by_number[number] = attempt
        slot_request = make_request(
            number,
            rank=kind.rank,
            account=request.account,
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.events * TOKENS_PER_EVENT,
            seconds_to_objective=kind.objective - waited,
            seconds_to_give_up=min(GIVE_UP_SECONDS - waited, left),
            seconds_to_deadline=left,
            max_gap=0.0,
            fingerprint=attempt.fingerprint,
            is_retry=bool(attempt.tried),
            excluded=tuple(attempt.tried),
            latency_objective=kind.objective,
        )
        self._act(self.coordinator.submit(slot_request, now), now)

    def _act(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if decision.number not in self._by_number:
                continue
            if isinstance(decision, Grant):
                self.schedule(
                    now + 2 * MESSAGE_SECONDS,
                    lambda at, grant=decision: self._start(grant, at),
                )
            else:
                self._refuse(decision.number, decision.retry_after, now)

    def _refuse(self, number: int, retry_after: float | None, now: float) -> None:
        attempt = self._by_number[number]
        request, fingerprint = attempt.request, attempt.fingerprint
        request.refusals += 1
        request.held.append(now - attempt.arrived_at)
        left = request.sent_at + request.kind.timeout - now
        if request.attempts > 1 or left <= 0 or retry_after is None:
            return
        delay = min(retry_after, HONORED_SHARE * left)
        self.schedule(now + delay, lambda at: self._send(request, fingerprint, at))

    def _start(self, grant: Grant, now: float) -> None:
        attempt = self._by_number.get(grant.number)
        if attempt is None:
            return
        request, engine = attempt.request, self.engines[grant.backend]
        if engine.is_full(now):
            engine.rejections += 1
            self.schedule(
                now + 2 * MESSAGE_SECONDS,
                lambda at: self._handle_rejection(grant, attempt, at),
            )
            return
        kind = request.kind
        tokens = kind.events * TOKENS_PER_EVENT
        first, end = engine.run(kind.prompt_tokens, tokens, now)

        def report_output(at: float) -> None:
            if grant.number not in self._by_number:
                return
            request.first_output = at - request.sent_at
            self._report(FirstOutput(grant.number, grant.backend), at)

        def report_end(at: float) -> None:
            if grant.number not in self._by_number:
                return
            ended = RunEnded(grant.number, grant.backend, kind.events, 0.0, False)
            self._report(ended, at)

        self.schedule(first + MESSAGE_SECONDS, report_output)
        self.schedule(end + 2 * MESSAGE_SECONDS, report_end)

    def _handle_rejection(self, grant: Grant, attempt: _Attempt, now: float) -> None:
        """Send a request that found no free slot to another engine."""
        if grant.number not in self._by_number:
            return
        attempt.tried.append(grant.backend)
        pause = BackendPause(
            grant.backend, DECLINED_PAUSE_SECONDS, rejected=grant.number
        )
        self._report(pause, now)
        self._report(RunEnded(grant.number, grant.backend, 0, 0.0, False), now)
        if len(attempt.tried) < MAX_ATTEMPTS:
            self._submit(attempt, now)
        else:
            self._refuse(grant.number, DECLINED_RETRY_AFTER_SECONDS, now)

    def _report(
        self, message: FirstOutput | RunEnded | BackendPause, now: float
    ) -> None:
        self._act(self.coordinator.handle_message(OWN_VM, message, now), now)


def measure(requests: Iterable[ClientRequest]) -> Figures:
    """Return the shares of requests by result."""
    requests = list(requests)
    count = len(requests)
    outputs = sorted(it.first_output for it in requests if it.first_output is not None)
    held = [seconds for it in requests for seconds in it.held] or [0.0]
    on_time = sum(
        it.first_output is not None and it.first_output <= it.kind.objective
        for it in requests
    )
    return Figures(
        count,
        on_time / count,
        (len(outputs) - on_time) / count,
        sum(it.refusals > 0 for it in requests) / count,
        sum(it.refusals > 1 for it in requests) / count,
        statistics.median(held),
        max(held),
        outputs[int(0.99 * len(outputs))] if outputs else 0.0,
    )


def measure_by_kind(
    requests: Iterable[ClientRequest], since: float = 0.0, until: float = 1e9
) -> dict[str, Figures]:
    """Return the figures of each kind among requests sent in a period."""
    chosen = [it for it in requests if since <= it.sent_at < until]
    names = dict.fromkeys(it.kind.name for it in chosen)
    return {
        name: measure(it for it in chosen if it.kind.name == name) for name in names
    }
