"""What runs on one backend server and how fast it has been."""

from __future__ import annotations

from dataclasses import dataclass, field

from fireflyquay.world import BackendEntry, Incarnation

from ._grant import Ask

AskKey = tuple[Incarnation, int]

# Weight of one observation in a running mean: about ten observations are remembered.
SMOOTHING = 0.1
# Speeds assumed before anything was observed, those of a usual engine: seconds per
# prompt token, per output token, and per plain request.
INITIAL_PREFILL_SECONDS = 1 / 50_000
INITIAL_STEP_SECONDS = 0.006
INITIAL_PLAIN_SECONDS = 0.05
# Share of failures among recent requests above which a backend server is avoided.
FAILURE_LIMIT = 0.3
# Seconds between requests that try an avoided backend server again.
TRIAL_SECONDS = 1.0


@dataclass(slots=True)
class Run:
    """Hold a place that is in use."""

    ask: Ask
    granted_at: float
    first_output_at: float | None = None


@dataclass(slots=True)
class BackendLoad:
    """Track one backend server's places, speed and failures."""

    entry: BackendEntry
    runs: dict[AskKey, Run] = field(default_factory=dict)
    # Running means in seconds.
    prefill_seconds: float = INITIAL_PREFILL_SECONDS
    step_seconds: float = INITIAL_STEP_SECONDS
    plain_seconds: float = INITIAL_PLAIN_SECONDS
    # Share of recent requests that failed.
    failure_share: float = 0.0
    # Loop time until which nothing is granted.
    paused_until: float = 0.0

    @property
    def waiting_prompt_tokens(self) -> int:
        """Return the prompt tokens of runs that have no output yet."""
        return sum(
            run.ask.prompt_tokens
            for run in self.runs.values()
            if run.first_output_at is None
        )

    def forecast_first_output(self, ask: Ask) -> float:
        """Return the seconds to the first output if the ask were granted now."""
        if not ask.prompt_tokens:
            crowd = len(self.runs) / max(1, self.entry.slots)
            return self.plain_seconds * (1.0 + 0.5 * crowd)
        tokens = self.waiting_prompt_tokens + ask.prompt_tokens
        return tokens * self.prefill_seconds + self.step_seconds * 2

    def forecast_end(self, ask: Ask) -> float:
        """Return the seconds to the last output if the ask were granted now."""
        first = self.forecast_first_output(ask)
        return first + ask.output_tokens * self.step_seconds

    def note_first_output(self, key: AskKey, now: float) -> None:
        """Learn the speed of prefill from a run's first output."""
        run = self.runs.get(key)
        if run is None or run.first_output_at is not None:
            return
        run.first_output_at = now
        taken = max(0.0, now - run.granted_at)
        if not run.ask.prompt_tokens:
            return
        tokens = run.ask.prompt_tokens + self.waiting_prompt_tokens
        observed = max(0.0, taken - 2 * self.step_seconds) / tokens
        self.prefill_seconds += SMOOTHING * (observed - self.prefill_seconds)

    def note_end(self, key: AskKey, now: float, output_tokens: int, failed: bool):
        """End a run and learn from it."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        self.failure_share += SMOOTHING * (float(failed) - self.failure_share)
        if failed:
            return
        size = run.ask.output_tokens
        if run.first_output_at is not None and output_tokens > 0 and size > 0:
            observed = (now - run.first_output_at) / size
            self.step_seconds += SMOOTHING * (observed - self.step_seconds)
        if not run.ask.prompt_tokens:
            taken = now - run.granted_at
            self.plain_seconds += SMOOTHING * (taken - self.plain_seconds)

    def is_open(self, places: float, now: float) -> bool:
        """Tell whether another run may be granted."""
        if now < self.paused_until:
            return False
        if self.failure_share > FAILURE_LIMIT and self.runs:
            return False
        return len(self.runs) < places

    def pause(self, until: float) -> None:
        """Grant nothing for a while."""
        self.paused_until = max(self.paused_until, until)
