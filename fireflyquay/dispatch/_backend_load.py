"""Active runs, speed and failures of one backend server."""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field

from fireflyquay.world import (
    BackendEntry,
    ClientAccountId,
    Incarnation,
    SoftwareVersion,
)

from ._machine_load import MachineLoad, MachineReading, ServiceMachines
from ._occupancy_limit import OccupancyLimit
from ._request_limit import RequestLimit
from ._slot_messages import Run, SlotRequest
from ._time_per_unit_estimator import TimePerUnitEstimator
from ._unknown_runs import UnknownRuns

# Incarnation of the requesting VM, and its number for the request.
SlotRequestKey = tuple[Incarnation, int]

# Speeds of a typical engine, assumed until work has been observed. A plain request has
# no prompt; its service runs no model engine.
INITIAL_PREFILL_SECONDS_PER_TOKEN = 1 / 50_000
INITIAL_DECODE_SECONDS_PER_TOKEN = 0.005
INITIAL_SECONDS_PER_PLAIN_REQUEST = 0.05
# Decay constants of the estimators in units of work, each about ten typical requests.
PREFILL_DECAY_TOKENS = 50_000
DECODE_DECAY_TOKENS = 3_000
PLAIN_DECAY_REQUESTS = 10
# Decode steps between the end of a prefill and the first output.
DECODE_STEPS_TO_FIRST_OUTPUT = 2
# Weight of one request in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.1
# A backend server is avoided while its failure rate exceeds both this limit and this
# multiple of the median of its service.
FAILURE_RATE_LIMIT = 0.3
PEER_FAILURE_FACTOR = 2.0
# Pause of an avoided backend server after each further failed request.
FAILING_BACKEND_PAUSE_SECONDS = 1.0
# Least average of occupied slots at a backend server with a request limit.
MIN_USABLE_SLOTS = 0.01
# Seconds within which the runs that a crash ended are reported as failed.
CRASH_REPORT_SECONDS = 1.0
# Factor by which the recorded longest gap decays with each completed stream.
GAP_DECAY_FACTOR = 0.85


@dataclass(slots=True)
class BackendLoad:
    """Track the active runs, speed and failures of one backend server.

    Engines prefill prompts one after another, so the first output of a prompt waits
    for the prefill of all earlier prompts.
    """

    entry: BackendEntry
    runs: dict[SlotRequestKey, Run] = field(default_factory=dict)
    prefill: TimePerUnitEstimator = field(
        default_factory=lambda: TimePerUnitEstimator(
            INITIAL_PREFILL_SECONDS_PER_TOKEN, PREFILL_DECAY_TOKENS
        )
    )
    # In requested output tokens: a forecast knows no others.
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
    # Loop time at which the prefill of all granted prompts is expected to end.
    prefill_ends_at: float = 0.0
    # Loop time of the latest first output of any run.
    last_first_output_at: float = 0.0
    # Decaying maximum of the gaps between events of recent streams, in seconds.
    longest_gap: float = 0.0
    # Moving average of the failure rate.
    failure_rate: float = 0.0
    # Loop time until which no slot is granted.
    paused_until: float = 0.0
    # Loop times until which no slot is granted to a VM.
    rests: dict[Incarnation, float] = field(default_factory=dict)
    # Loop time until which another process may answer than the registered one.
    doubted_until: float = 0.0
    # Limit that the backend server states; None if it states none.
    limit: RequestLimit | None = None
    # Limit of the runs on a backend server that may fall over; None for others.
    occupancy_limit: OccupancyLimit | None = None
    # Speeds above are those at the mean slowness of the machines.
    machine: MachineLoad = field(default_factory=lambda: MachineLoad(ServiceMachines()))
    unknown_runs: UnknownRuns = field(default_factory=UnknownRuns)
    # Tokens of all runs.
    held_tokens: int = 0
    # Loop time and tokens of each run that failed lately.
    _failed_tokens: deque[tuple[float, int]] = field(default_factory=deque)

    def forecast_first_output(self, request: SlotRequest, now: float) -> float:
        """Return the seconds to the first output if the request were granted now."""
        if not request.prompt_tokens:
            occupancy = len(self.runs) / max(1, self.entry.slots)
            seconds = self.plain.seconds_per_unit * (1.0 + occupancy)
            return seconds * self.machine.forecast_factor(now, seconds)
        backlog = max(0.0, self.prefill_ends_at - now)
        own_prefill = request.prompt_tokens * self.prefill.seconds_per_unit
        seconds = (
            backlog
            + own_prefill
            + DECODE_STEPS_TO_FIRST_OUTPUT * self.decode.seconds_per_unit
        )
        return seconds * self.machine.forecast_factor(now, seconds)

    def forecast_run(self, request: SlotRequest, now: float | None = None) -> float:
        """Return the seconds that the request would occupy a slot without a backlog.

        Without a loop time, these are the seconds on a machine of the mean slowness.
        """
        seconds = self.forecast_work(
            1, request.prompt_tokens, request.max_output_tokens
        )
        if now is None:
            return seconds
        return seconds * self.machine.forecast_factor(now, seconds)

    def forecast_work(
        self, request_count: int, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the seconds that requests would occupy one slot in sequence."""
        if not prompt_tokens:
            return request_count * self.plain.seconds_per_unit
        prefill = prompt_tokens * self.prefill.seconds_per_unit
        return prefill + output_tokens * self.decode.seconds_per_unit

    def would_meet_objectives(
        self,
        request: SlotRequest,
        waited: float,
        now: float,
        first_output: float | None = None,
    ) -> bool:
        """Return whether the request would meet its objectives if granted now.

        ``first_output`` is the forecast of the first output, if it is known.
        """
        if request.max_gap and self.longest_gap > request.max_gap:
            return False
        if first_output is None:
            first_output = self.forecast_first_output(request, now)
        return waited + first_output <= request.seconds_to_objective

    def add_run(
        self, key: SlotRequestKey, request: SlotRequest, granted_at: float
    ) -> None:
        """Add a run unless it is already tracked."""
        if key in self.runs:
            return
        self.runs[key] = Run(request, granted_at)
        self.held_tokens += request.total_tokens
        if request.prompt_tokens:
            prefill_start = max(granted_at, self.prefill_ends_at)
            self.prefill_ends_at = (
                prefill_start + request.prompt_tokens * self.prefill.seconds_per_unit
            )

    def record_first_output(
        self, key: SlotRequestKey, now: float, reading: MachineReading | None = None
    ) -> Run | None:
        """Update the prefill speed; return the run, or None if it isn't its first."""
        if reading is not None:
            self.machine.record_reading(reading, now)
        run = self.runs.get(key)
        if run is None or run.first_output_at is not None:
            return None
        run.first_output_at = now
        previous_at, self.last_first_output_at = self.last_first_output_at, now
        if not run.request.prompt_tokens:
            return run
        self._record_prefill(run, previous_at, now)
        self._update_prefill_backlog(now)
        return run

    def record_end(
        self,
        key: SlotRequestKey,
        now: float,
        event_count: int,
        longest_gap: float,
        failed: bool,
        reading: MachineReading | None = None,
    ) -> None:
        """Remove an ended run and update speed, gaps and failure rate from it."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        if reading is not None and run.first_output_at is None:
            # Otherwise the first output brought the same reading.
            self.machine.record_reading(reading, now)
        self.held_tokens -= run.request.total_tokens
        self.failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self.failure_rate)
        if failed:
            self._failed_tokens.append((now, run.request.total_tokens))
            self.count_crashed_tokens(now)
            self._update_prefill_backlog(now)
            return
        if not run.request.prompt_tokens:
            seconds = now - run.granted_at
            self._record_work(self.plain, run.granted_at, now, seconds, 1)
            return
        if run.first_output_at is not None and event_count > 1:
            seconds = now - run.first_output_at
            factor = self.machine.estimate_factor(run.first_output_at, now)
            self.decode.record(seconds / factor, run.request.max_output_tokens)
            self.longest_gap = max(longest_gap, self.longest_gap * GAP_DECAY_FACTOR)

    def discard_run(self, key: SlotRequestKey, now: float) -> bool:
        """Remove a run without recording its outcome; return whether it existed."""
        run = self.runs.pop(key, None)
        if run is None:
            return False
        self.held_tokens -= run.request.total_tokens
        self._update_prefill_backlog(now)
        return True

    def record_rejection(self, key: SlotRequestKey, now: float) -> bool:
        """Remove a run that found no free slot; return whether it existed.

        Runs that were granted later may be rejected as well.
        """
        run = self.runs.get(key)
        if run is None:
            return False
        self.discard_run(key, now)
        known = [it for it in self.runs.values() if it.granted_at <= run.granted_at]
        seconds = [self.forecast_run(it.request) for it in (run, *known)]
        self.unknown_runs.record_rejection(
            self.entry.slots, len(known), statistics.mean(seconds), now
        )
        return True

    def count_crashed_tokens(self, now: float) -> int:
        """Return the tokens of all runs, with those that have just failed."""
        failed = self._failed_tokens
        while failed and failed[0][0] <= now - CRASH_REPORT_SECONDS:
            failed.popleft()
        return self.held_tokens + sum(tokens for _, tokens in failed)

    def count_active_runs(self, account: ClientAccountId) -> int:
        """Return the number of active runs of a client account."""
        return sum(run.request.account == account for run in self.runs.values())

    def count_runs_before_deadline(self, now: float) -> int:
        """Return the number of active runs whose deadlines have not passed."""
        return sum(
            now <= run.granted_at + run.request.seconds_to_deadline
            for run in self.runs.values()
        )

    def can_grant(self, max_runs: float, limit_share: float, now: float) -> bool:
        """Return whether another run may be granted.

        ``max_runs`` is the maximum of runs and ``limit_share`` the fraction of a stated
        limit that this VM may grant.
        """
        if now < self.paused_until or len(self.runs) >= max_runs:
            return False
        # One without known runs is tried with one request: it may have rejected the
        # last one for another reason than its slots.
        occupied = len(self.runs) + self.unknown_runs.count(now)
        if self.runs and occupied >= self.entry.slots:
            return False
        if self.limit is not None and not self.limit.can_grant(limit_share, now):
            return False
        occupancy_limit = self.occupancy_limit
        return occupancy_limit is None or occupancy_limit.can_grant(
            self.runs.values(), limit_share, now
        )

    def can_continue(self, version: SoftwareVersion, now: float) -> bool:
        """Return whether a stream that began at a software version may continue."""
        return self.entry.version == version and now >= self.doubted_until

    def count_usable_slots(
        self, request: SlotRequest, share: float, limit_share: float
    ) -> float:
        """Return how many slots requests like this one can occupy on average."""
        slots = self.entry.slots * share
        if self.occupancy_limit is not None:
            slots = min(slots, self.occupancy_limit.room * limit_share)
        if self.limit is None:
            return slots
        occupied = self.limit.rate * limit_share * self.forecast_run(request)
        return max(MIN_USABLE_SLOTS, min(slots, occupied))

    def is_failing(self, peer_failure_rate: float) -> bool:
        """Return whether this backend server fails far more often than its peers.

        ``peer_failure_rate`` is the median of its service: requests that fail
        everywhere do not indicate a fault of one backend server.
        """
        return self.failure_rate > max(
            FAILURE_RATE_LIMIT, PEER_FAILURE_FACTOR * peer_failure_rate
        )

    def is_resting(self, vm: Incarnation, now: float) -> bool:
        """Return whether the backend server wants nothing from a VM at present."""
        return now < self.rests.get(vm, 0.0)

    def rest(self, vm: Incarnation, until: float, now: float) -> None:
        """Suspend grants to one VM until the given loop time."""
        self.rests = {it: end for it, end in self.rests.items() if end > now}
        self.rests[vm] = max(until, self.rests.get(vm, 0.0))

    def pause(self, until: float) -> None:
        """Suspend grants until the given loop time."""
        self.paused_until = max(self.paused_until, until)

    def _record_prefill(self, run: Run, previous_at: float, now: float) -> None:
        """Update the prefill speed from a run's first output.

        ``previous_at`` is the loop time of the first output before it, of any run.
        """
        started_at, tokens = max(run.granted_at, previous_at), run.request.prompt_tokens
        elapsed = now - started_at
        seconds = elapsed - DECODE_STEPS_TO_FIRST_OUTPUT * self.decode.seconds_per_unit
        if seconds > 0.0:
            self._record_work(self.prefill, started_at, now, seconds, tokens)
        elif previous_at >= run.granted_at:
            # Engines prefill prompts in turns, so several may be done at once.
            self.prefill.extend_latest(tokens)
        elif elapsed < tokens * self.prefill.seconds_per_unit:
            # Only an upper bound of the prefill was measured.
            self.prefill.record(elapsed, tokens)

    def _record_work(
        self,
        estimator: TimePerUnitEstimator,
        started_at: float,
        now: float,
        seconds: float,
        units: int,
    ) -> None:
        """Update a speed, relative to the slowness of the machine, and its readings."""
        expected = units * estimator.seconds_per_unit
        self.machine.record_run(started_at, now, seconds / expected)
        factor = self.machine.estimate_factor(started_at, now)
        estimator.record(seconds / factor, units)

    def _update_prefill_backlog(self, now: float) -> None:
        pending_tokens = sum(
            run.request.prompt_tokens
            for run in self.runs.values()
            if run.first_output_at is None
        )
        self.prefill_ends_at = now + pending_tokens * self.prefill.seconds_per_unit
