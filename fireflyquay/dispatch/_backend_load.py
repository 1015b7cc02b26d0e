"""What runs on one backend server and how fast it has been."""

from __future__ import annotations

from dataclasses import dataclass, field

from fireflyquay.world import BackendEntry, ClientAccountId, Incarnation

from ._rate_estimator import RateEstimator
from ._slot_messages import SlotRequest

SlotRequestKey = tuple[Incarnation, int]

# Speeds assumed before anything was observed, those of a usual engine: seconds per
# prompt token, per output token, and per plain request.
INITIAL_PREFILL_SECONDS_PER_TOKEN = 1 / 50_000
INITIAL_STEP_SECONDS_PER_TOKEN = 0.005
INITIAL_SECONDS_PER_PLAIN_REQUEST = 0.05
# Amounts of observed work that the running rates remember: some ten usual requests.
PREFILL_MEMORY_TOKENS = 50_000
STEP_MEMORY_TOKENS = 3_000
PLAIN_MEMORY_REQUESTS = 10
# Steps of the batch between a prompt's end and its first output.
STEPS_TO_FIRST_OUTPUT = 2
# Weight of one request in the running share of failures.
FAILURE_SHARE_WEIGHT = 0.1
# Share of failures among recent requests above which a backend server is avoided.
FAILURE_SHARE_LIMIT = 0.3
# The same as a multiple of the share among its peers.
PEER_FAILURE_FACTOR = 2.0
# Seconds between requests that try an avoided backend server again.
FAILING_BACKEND_PAUSE_SECONDS = 1.0
# Part of the longest gap between events that is remembered after each further stream.
GAP_DECAY_FACTOR = 0.85


@dataclass(slots=True)
class Run:
    """Hold a place that is in use."""

    request: SlotRequest
    granted_at: float
    first_output_at: float | None = None


@dataclass(slots=True)
class BackendLoad:
    """Track one backend server's places, speed and failures.

    Engines prefill prompts one after another, so a prompt's first output waits for all
    prompts before it.
    """

    entry: BackendEntry
    runs: dict[SlotRequestKey, Run] = field(default_factory=dict)
    prefill: RateEstimator = field(
        default_factory=lambda: RateEstimator(
            INITIAL_PREFILL_SECONDS_PER_TOKEN, PREFILL_MEMORY_TOKENS
        )
    )
    step: RateEstimator = field(
        default_factory=lambda: RateEstimator(
            INITIAL_STEP_SECONDS_PER_TOKEN, STEP_MEMORY_TOKENS
        )
    )
    plain: RateEstimator = field(
        default_factory=lambda: RateEstimator(
            INITIAL_SECONDS_PER_PLAIN_REQUEST, PLAIN_MEMORY_REQUESTS
        )
    )
    # Loop times: when all granted prompts should be prefilled, and the last first
    # output that was seen.
    prefilled_at: float = 0.0
    last_output_at: float = 0.0
    # Seconds of the longest gap in recent streams.
    longest_gap: float = 0.0
    # Share of recent requests that failed.
    failure_share: float = 0.0
    # Loop time until which nothing is granted.
    paused_until: float = 0.0

    def forecast_first_output(self, request: SlotRequest, now: float) -> float:
        """Return the seconds to the first output if the ask were granted now."""
        if not request.prompt_tokens:
            occupancy = len(self.runs) / max(1, self.entry.slots)
            return self.plain.seconds_per_unit * (1.0 + occupancy)
        backlog = max(0.0, self.prefilled_at - now)
        own = request.prompt_tokens * self.prefill.seconds_per_unit
        return backlog + own + STEPS_TO_FIRST_OUTPUT * self.step.seconds_per_unit

    def forecast_run(self, request: SlotRequest) -> float:
        """Return the seconds that the ask would hold a place, without any backlog."""
        return self.forecast_work(1, request.prompt_tokens, request.output_tokens)

    def forecast_work(
        self, requests: int, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the seconds that requests would hold a place one after another."""
        if not prompt_tokens:
            return requests * self.plain.seconds_per_unit
        prefill = prompt_tokens * self.prefill.seconds_per_unit
        return prefill + output_tokens * self.step.seconds_per_unit

    def is_on_time(self, request: SlotRequest, waited: float, now: float) -> bool:
        """Tell whether the ask would meet its objectives if it were granted now."""
        if request.max_gap and self.longest_gap > request.max_gap:
            return False
        return waited + self.forecast_first_output(request, now) <= request.to_objective

    def add_run(
        self, key: SlotRequestKey, request: SlotRequest, granted_at: float
    ) -> None:
        """Count a run that was granted."""
        if key in self.runs:
            return
        self.runs[key] = Run(request, granted_at)
        if request.prompt_tokens:
            begins = max(granted_at, self.prefilled_at)
            self.prefilled_at = (
                begins + request.prompt_tokens * self.prefill.seconds_per_unit
            )

    def record_first_output(self, key: SlotRequestKey, now: float) -> None:
        """Learn the speed of prefill from a run's first output."""
        run = self.runs.get(key)
        if run is None or run.first_output_at is not None:
            return
        run.first_output_at = now
        begun, self.last_output_at = max(run.granted_at, self.last_output_at), now
        if not run.request.prompt_tokens:
            return
        taken = max(
            0.0, now - begun - STEPS_TO_FIRST_OUTPUT * self.step.seconds_per_unit
        )
        self.prefill.record(taken, run.request.prompt_tokens)
        self._update_prefill_backlog(now)

    def record_end(
        self,
        key: SlotRequestKey,
        now: float,
        output_tokens: int,
        longest_gap: float,
        failed: bool,
    ) -> None:
        """End a run and learn from it."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        self.failure_share += FAILURE_SHARE_WEIGHT * (
            float(failed) - self.failure_share
        )
        if failed:
            self._update_prefill_backlog(now)
            return
        if not run.request.prompt_tokens:
            self.plain.record(now - run.granted_at, 1)
            return
        if run.first_output_at is not None and output_tokens > 1:
            self.step.record(now - run.first_output_at, run.request.output_tokens)
            self.longest_gap = max(longest_gap, self.longest_gap * GAP_DECAY_FACTOR)

    def discard_run(self, key: SlotRequestKey, now: float) -> bool:
        """Forget a run without learning from it; tell whether there was one."""
        if self.runs.pop(key, None) is None:
            return False
        self._update_prefill_backlog(now)
        return True

    def count_for_account(self, account: ClientAccountId) -> int:
        """Return how many requests of a client account run."""
        return sum(run.request.account == account for run in self.runs.values())

    def has_free_slot(self, slots: float, now: float) -> bool:
        """Tell whether another run may be granted."""
        return now >= self.paused_until and len(self.runs) < slots

    def fails_more_than(self, others: float) -> bool:
        """Tell whether it fails far more often than the others' usual share.

        Requests that fail everywhere say nothing of one backend server.
        """
        return self.failure_share > max(
            FAILURE_SHARE_LIMIT, PEER_FAILURE_FACTOR * others
        )

    def pause(self, until: float) -> None:
        """Grant nothing for a while."""
        self.paused_until = max(self.paused_until, until)

    def _update_prefill_backlog(self, now: float) -> None:
        waiting = sum(
            run.request.prompt_tokens
            for run in self.runs.values()
            if run.first_output_at is None
        )
        self.prefilled_at = now + waiting * self.prefill.seconds_per_unit
