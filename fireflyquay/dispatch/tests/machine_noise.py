"""Replay of mixed requests on engines whose machines are slower at times."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fireflyquay.dispatch import (
    FirstOutput,
    Grant,
    MachineReading,
    RunEnded,
    SlotScheduler,
    SlotSchedulerSettings,
)

from .builders import OWN_VM, make_backend_entry, make_request

SPEEDS = (0.55, 1.0, 2.8)
REDRAW_SECONDS = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
PREFILL_TOKENS_PER_SECOND = 85_200
SECONDS_PER_OUTPUT_TOKEN = 0.00277
STEPS_TO_FIRST_OUTPUT = 2
SLOTS = 6
ADVANCE_SECONDS = 0.02


@dataclass(frozen=True)
class Kind:
    """Describe requests of one kind."""

    share: float
    prompt_tokens: int
    output_tokens: int
    objective: float


KINDS = (
    Kind(112, 6670, 380, 0.619),
    Kind(93.8, 688, 290, 0.308),
    Kind(201, 1860, 20, 0.409),
)


class Engine:
    """Run requests at the speed that the machine has at each moment."""

    def __init__(self, name: str, speed: float, seed: int) -> None:
        self.name = name
        self.speed = speed
        self._rng = random.Random(f"{name} {seed}")
        self._factors: list[float] = []
        self._prefill_free_at = 0.0

    def get_slowness(self, at: float) -> float:
        """Return the factor by which work takes longer at a loop time."""
        period = int(max(0.0, at) / REDRAW_SECONDS)
        while len(self._factors) <= period:
            is_slow = self._rng.random() < SLOW_SHARE
            self._factors.append(SLOW_FACTOR if is_slow else 1.0)
        return self._factors[period]

    def run(self, kind: Kind, at: float) -> tuple[float, float]:
        """Return the loop times of the first output and the end of a run."""
        prefill = kind.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        start = max(at, self._prefill_free_at)
        self._prefill_free_at = self._finish(start, prefill)
        steps = STEPS_TO_FIRST_OUTPUT * SECONDS_PER_OUTPUT_TOKEN
        first = self._finish(self._prefill_free_at, steps)
        return first, self._finish(first, kind.output_tokens * SECONDS_PER_OUTPUT_TOKEN)

    def _finish(self, at: float, work: float) -> float:
        left = work / self.speed
        while True:
            factor = self.get_slowness(at)
            ends_at = (int(at / REDRAW_SECONDS + 1e-9) + 1) * REDRAW_SECONDS
            if left * factor <= ends_at - at:
                return at + left * factor
            left -= (ends_at - at) / factor
            at = ends_at + 1e-9


# Returns the slowness that an engine states at a loop time, or None.
Statement = Callable[[Engine, float], float | None]


@dataclass
class NoisyReplay:
    """Send requests to a scheduler, and let engines state their slowness."""

    state_slowness: Statement
    seed: int = 1
    load: float = 0.85
    seconds: float = 20.0
    engine_count: int = 28
    kinds: Sequence[Kind] = KINDS
    # Part of the objectives that earlier attempts and other VMs leave.
    objective_share: float = 1.0
    on_time: int = 0
    total: int = 0
    first_outputs: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self.scheduler = SlotScheduler(self.make_settings(), random.Random(1))
        self.engines = self.make_engines()
        self.scheduler.set_backends(
            make_backend_entry(name, slots=SLOTS, zone=self.get_zone(name))
            for name in self.engines
        )
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._sent: dict[int, tuple[Kind, float]] = {}

    def make_settings(self) -> SlotSchedulerSettings:
        """Return the settings of the scheduler."""
        return SlotSchedulerSettings()

    def make_engines(self) -> dict[str, Engine]:
        """Return the engines by their names."""
        names = [f"e{it}" for it in range(self.engine_count)]
        return {
            name: Engine(name, self._rng.choice(SPEEDS), self.seed) for name in names
        }

    def get_zone(self, engine: str) -> str:
        """Return the zone of an engine."""
        return "a"

    def record_run(self, number: int, engine: Engine, now: float) -> float:
        """Return the seconds that the way to the engine and back takes."""
        return 0.0

    @property
    def capacity(self) -> float:
        """Return the requests per second that prefill and slots complete."""
        speed = sum(it.speed for it in self.engines.values())
        speed /= 1 + SLOW_SHARE * (SLOW_FACTOR - 1)
        shares = sum(it.share for it in self.kinds)
        prompt = sum(it.share * it.prompt_tokens for it in self.kinds) / shares
        output = sum(it.share * it.output_tokens for it in self.kinds) / shares
        prefill = prompt / PREFILL_TOKENS_PER_SECOND
        work = prefill + output * SECONDS_PER_OUTPUT_TOKEN
        return speed * min(1 / prefill, SLOTS / work)

    def run(self) -> float:
        """Return the share of the requests whose first output came on time."""
        self.schedule_arrivals("a", 0.0, self.seconds, self.load * self.capacity)
        return self.run_events()

    def run_events(self) -> float:
        """Run all that was scheduled; return the share of the requests on time."""
        for step in range(int((self.seconds + 5) / ADVANCE_SECONDS)):
            self._schedule(step * ADVANCE_SECONDS, self._advance)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)
        return self.on_time / self.total

    def schedule_arrivals(
        self, zone: str, since: float, until: float, rate: float
    ) -> None:
        """Let requests arrive in a zone at a mean rate."""
        now = since
        while True:
            now += self._rng.expovariate(rate)
            if now >= until:
                return
            weights = [it.share for it in self.kinds]
            kind = self._rng.choices(self.kinds, weights)[0]
            number = next(self._numbers)
            self._schedule(now, lambda at, n=number, k=kind: self._send(n, k, at, zone))

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _advance(self, now: float) -> None:
        self._act(self.scheduler.advance(now), now)

    def _send(self, number: int, kind: Kind, now: float, zone: str) -> None:
        self.total += 1
        self._sent[number] = (kind, now)
        objective = self.objective_share * kind.objective
        request = make_request(
            number,
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.output_tokens,
            seconds_to_objective=objective,
            latency_objective=objective,
            max_gap=0.0,
            zone=zone,
        )
        self._act(self.scheduler.submit(request, now), now)

    def _act(self, decisions: list, now: float) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                self._start(decision, now)

    def _start(self, grant: Grant, now: float) -> None:
        engine, key = self.engines[grant.backend], (OWN_VM, grant.number)
        kind, sent_at = self._sent[grant.number]
        objective = self.objective_share * kind.objective
        way = self.record_run(grant.number, engine, now)
        first_at, ends_at = (way + it for it in engine.run(kind, now))

        def report_output(at: float) -> None:
            slowness = self.state_slowness(engine, at)
            reading = None if slowness is None else MachineReading(slowness, 0.0)
            message = FirstOutput(grant.number, grant.backend, None, reading)
            self.on_time += at - sent_at <= objective
            self.first_outputs.append(at - sent_at)
            self.scheduler.record_first_output(
                key, message.backend, at, None, message.reading
            )

        def end_run(at: float) -> None:
            ended = RunEnded(grant.number, grant.backend, 9, 0.0, False)
            self._act(self.scheduler.end_run(OWN_VM, ended, at), at)

        self._schedule(first_at, report_output)
        self._schedule(ends_at, end_run)
