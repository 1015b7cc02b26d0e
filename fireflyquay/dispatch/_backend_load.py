"""Active runs, speed and failures of one backend server."""

from __future__ import annotations

from dataclasses import dataclass, field

from fireflyquay.world import BackendEntry, ClientAccountId, Incarnation

from ._slot_messages import SlotRequest
from ._time_per_unit_estimator import TimePerUnitEstimator

SlotRequestKey = tuple[Incarnation, int]

# Speeds of a typical engine, assumed until work has been observed.
INITIAL_PREFILL_SECONDS_PER_TOKEN = 1 / 50_000
INITIAL_DECODE_SECONDS_PER_TOKEN = 0.005
INITIAL_SECONDS_PER_PLAIN_REQUEST = 0.05
# Decay constants of the rate estimators: about ten typical requests.
PREFILL_DECAY_TOKENS = 50_000
DECODE_DECAY_TOKENS = 3_000
PLAIN_DECAY_REQUESTS = 10
# Batch steps between the end of a prefill and the first output.
DECODE_STEPS_TO_FIRST_OUTPUT = 2
# Weight of one request in the moving average of the failure share.
FAILURE_RATE_WEIGHT = 0.1
# Failure share among recent requests above which a backend server is avoided, and the
# same as a multiple of the share among its peers.
FAILURE_RATE_LIMIT = 0.3
PEER_FAILURE_FACTOR = 2.0
# Interval between requests that test an avoided backend server.
FAILING_BACKEND_PAUSE_SECONDS = 1.0
# Factor that each further stream applies to the longest gap between events.
GAP_DECAY_FACTOR = 0.85


@dataclass(slots=True)
class Run:
    """A granted request that occupies a slot."""

    request: SlotRequest
    granted_at: float
    first_output_at: float | None = None


@dataclass(slots=True)
class BackendLoad:
    """Track the active runs, speed and failures of one backend server.

    Engines prefill prompts one after another, so the first output of a prompt waits
    for all prompts before it.
    """

    entry: BackendEntry
    runs: dict[SlotRequestKey, Run] = field(default_factory=dict)
    prefill: TimePerUnitEstimator = field(
        default_factory=lambda: TimePerUnitEstimator(
            INITIAL_PREFILL_SECONDS_PER_TOKEN, PREFILL_DECAY_TOKENS
        )
    )
    decode: TimePerUnitEstimator = field(
        default_factory=lambda: TimePerUnitEstimator(
            INITIAL_DECODE_SECONDS_PER_TOKEN, DECODE_DECAY_TOKENS
        )
    )
    plain: TimePerUnitEstimator = field(
        default_factory=lambda: TimePerUnitEstimator(
            INITIAL_SECONDS_PER_PLAIN_REQUEST, PLAIN_DECAY_REQUESTS
        )
    )
    # Loop times at which the prefill of all granted prompts should end, and at which a
    # run last produced its first output.
    prefill_ends_at: float = 0.0
    last_first_output_at: float = 0.0
    # Longest gap between events of recent streams in seconds, decaying.
    longest_gap: float = 0.0
    # Decaying share of requests that failed.
    failure_rate: float = 0.0
    # Loop time until which no slot is granted.
    paused_until: float = 0.0

    def forecast_first_output(self, request: SlotRequest, now: float) -> float:
        """Return the seconds to the first output if the request were granted now."""
        if not request.prompt_tokens:
            occupancy = len(self.runs) / max(1, self.entry.slots)
            return self.plain.seconds_per_unit * (1.0 + occupancy)
        backlog = max(0.0, self.prefill_ends_at - now)
        own = request.prompt_tokens * self.prefill.seconds_per_unit
        return (
            backlog + own + DECODE_STEPS_TO_FIRST_OUTPUT * self.decode.seconds_per_unit
        )

    def forecast_run(self, request: SlotRequest) -> float:
        """Return the seconds that the request would occupy a slot without a backlog."""
        return self.forecast_work(1, request.prompt_tokens, request.max_output_tokens)

    def forecast_work(
        self, requests: int, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the seconds that requests would occupy one slot in sequence."""
        if not prompt_tokens:
            return requests * self.plain.seconds_per_unit
        prefill = prompt_tokens * self.prefill.seconds_per_unit
        return prefill + output_tokens * self.decode.seconds_per_unit

    def would_meet_objectives(
        self, request: SlotRequest, waited: float, now: float
    ) -> bool:
        """Return whether the request would meet its objectives if granted now."""
        if request.max_gap and self.longest_gap > request.max_gap:
            return False
        return (
            waited + self.forecast_first_output(request, now)
            <= request.seconds_to_objective
        )

    def add_run(
        self, key: SlotRequestKey, request: SlotRequest, granted_at: float
    ) -> None:
        """Add a granted run."""
        if key in self.runs:
            return
        self.runs[key] = Run(request, granted_at)
        if request.prompt_tokens:
            prefill_start = max(granted_at, self.prefill_ends_at)
            self.prefill_ends_at = (
                prefill_start + request.prompt_tokens * self.prefill.seconds_per_unit
            )

    def record_first_output(self, key: SlotRequestKey, now: float) -> None:
        """Record the first output of a run and update the prefill speed from it."""
        run = self.runs.get(key)
        if run is None or run.first_output_at is not None:
            return
        run.first_output_at = now
        started_at, self.last_first_output_at = (
            max(run.granted_at, self.last_first_output_at),
            now,
        )
        if not run.request.prompt_tokens:
            return
        prefill_seconds = max(
            0.0,
            now
            - started_at
            - DECODE_STEPS_TO_FIRST_OUTPUT * self.decode.seconds_per_unit,
        )
        self.prefill.record(prefill_seconds, run.request.prompt_tokens)
        self._update_prefill_backlog(now)

    def record_end(
        self,
        key: SlotRequestKey,
        now: float,
        output_tokens: int,
        longest_gap: float,
        failed: bool,
    ) -> None:
        """Remove an ended run and update speed, gaps and failure share from it."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        self.failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self.failure_rate)
        if failed:
            self._update_prefill_backlog(now)
            return
        if not run.request.prompt_tokens:
            self.plain.record(now - run.granted_at, 1)
            return
        if run.first_output_at is not None and output_tokens > 1:
            self.decode.record(now - run.first_output_at, run.request.max_output_tokens)
            self.longest_gap = max(longest_gap, self.longest_gap * GAP_DECAY_FACTOR)

    def discard_run(self, key: SlotRequestKey, now: float) -> bool:
        """Remove a run without updating any estimate; return whether it existed."""
        if self.runs.pop(key, None) is None:
            return False
        self._update_prefill_backlog(now)
        return True

    def count_active_runs(self, account: ClientAccountId) -> int:
        """Return the number of active runs of a client account."""
        return sum(run.request.account == account for run in self.runs.values())

    def can_grant(self, slots: float, now: float) -> bool:
        """Return whether another run may be granted."""
        return now >= self.paused_until and len(self.runs) < slots

    def is_failing(self, others: float) -> bool:
        """Return whether it fails far more often than its peers.

        ``others`` is their median failure share: requests that fail everywhere do not
        indicate a fault of one backend server.
        """
        return self.failure_rate > max(FAILURE_RATE_LIMIT, PEER_FAILURE_FACTOR * others)

    def pause(self, until: float) -> None:
        """Grant no slots until a loop time."""
        self.paused_until = max(self.paused_until, until)

    def _update_prefill_backlog(self, now: float) -> None:
        pending_tokens = sum(
            run.request.prompt_tokens
            for run in self.runs.values()
            if run.first_output_at is None
        )
        self.prefill_ends_at = now + pending_tokens * self.prefill.seconds_per_unit
