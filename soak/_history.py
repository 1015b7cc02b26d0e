"""History of outcomes, key changes and faults, and checks of the guarantees."""

from __future__ import annotations

import asyncio
import re
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from fleetwire.tests.client import FinalState, Outcome
from fleetwire.tests.worker_responses import ReceivedRequest
from fleetwire.tests.worker_standin import WorkerStandIn

# Time after the revocation of a key from which requests with it must not run.
KEY_REVOCATION_SECONDS = 5.0
# Time for which a worker may still receive requests after it was marked as draining.
LEAVING_GRACE_SECONDS = 3.0
# Time after a request's timeout within which it must have a response.
RESPONSE_MARGIN_SECONDS = 1.0
# Time after a fault in which a gateway may still be slow.
FAULT_RECOVERY_SECONDS = 3.0
# Stands for the connections to the store in the list of faults.
STORE = "store"
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time from a worker's first statement of a request limit until the limit must be kept,
# and the window in which it is counted with a margin.
LIMIT_CONTACT_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_MARGIN_REQUESTS = 5
EVENT_TEXT_PATTERN = re.compile(rb"data: (\S+) \d+\n\n")


class SoakHistory:
    """Record outcomes and faults, and find violations of the guarantees."""

    def __init__(self) -> None:
        self._started_at = asyncio.get_running_loop().time()
        self.outcomes: list[Outcome] = []
        self.fault_counts: Counter[str] = Counter()
        self._observed_violations: list[str] = []
        self._keys_revoked_at: dict[str, float] = {}
        self._draining_since: dict[str, float] = {}
        # Worker, limit, start and end of each stated request limit.
        self._limit_intervals: list[tuple[str, float, float, float]] = []
        # Host or worker, start and end of each fault; an empty host stands for all
        # gateways.
        self._fault_intervals: list[tuple[str, float, float]] = []

    def record_violation(self, message: str) -> None:
        """Record a violation found during the run."""
        self._observed_violations.append(message)

    def count_fault(self, name: str) -> None:
        """Count an injected fault."""
        self.fault_counts[name] += 1

    @contextmanager
    def record_fault_interval(self, host: str = "") -> Iterator[None]:
        """Record the duration of the block as a fault of a part, or of all gateways."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        try:
            yield
        finally:
            self._fault_intervals.append((host, since, loop.time()))

    @contextmanager
    def record_limit(self, worker: str, limit: float) -> Iterator[None]:
        """Record that a worker states a request limit for the duration of the block."""
        loop = asyncio.get_running_loop()
        since = loop.time()
        try:
            yield
        finally:
            self._limit_intervals.append((worker, limit, since, loop.time()))

    def record_draining(self, worker: str) -> None:
        """Record the time at which a worker was marked as draining."""
        self._draining_since[worker] = asyncio.get_running_loop().time()

    def record_key_revocation(self, key: str) -> None:
        """Record the time at which a key was revoked."""
        self._keys_revoked_at[key] = asyncio.get_running_loop().time()

    def find_violations(self, workers: list[WorkerStandIn]) -> list[str]:
        """Return a message for each violation."""
        runs: dict[str, list[ReceivedRequest]] = defaultdict(list)
        for worker in workers:
            for received in worker.received_requests:
                if received.was_executed:
                    runs[received.attempt_id].append(received)
        violations = list(self._observed_violations)
        for outcome in self.outcomes:
            violations += _find_outcome_violations(outcome, runs)
            violations += self._find_unanswered(outcome, runs)
        violations += self._find_runs_under_revoked_keys(workers)
        violations += self._find_requests_after_draining(workers)
        violations += self._find_requests_beyond_limits(workers)
        violations += _find_unknown_attempts(self.outcomes, workers)
        return violations

    def compute_served_share(self, since: float) -> float:
        """Return the served share of the requests sent since a loop time."""
        outcomes = [it for it in self.outcomes if it.sent_at >= since]
        if not outcomes:
            return 1.0
        return sum(it.final_state is FinalState.SERVED for it in outcomes) / len(
            outcomes
        )

    def _find_runs_under_revoked_keys(self, workers: list[WorkerStandIn]) -> list[str]:
        keys = {
            name: outcome.request.key
            for outcome in self.outcomes
            for name in outcome.attempt_ids
        }
        sent_at = {n: o.sent_at for o in self.outcomes for n in o.attempt_ids}
        return [
            f"{received.attempt_id} ran with a revoked key"
            for worker in workers
            for received in worker.received_requests
            if received.was_executed
            and sent_at.get(received.attempt_id, 0.0)
            > self._keys_revoked_at.get(keys.get(received.attempt_id, ""), 1e18)
            + KEY_REVOCATION_SECONDS
        ]

    def _find_unanswered(
        self, outcome: Outcome, runs: dict[str, list[ReceivedRequest]]
    ) -> list[str]:
        """Find requests that fault-free gateways neither forwarded nor answered."""
        since, until = (
            outcome.sent_at - FAULT_RECOVERY_SECONDS,
            outcome.sent_at + outcome.duration_seconds,
        )
        return [
            f"{name} got no response from {host}"
            for name, host, status in zip(
                outcome.attempt_ids, outcome.hosts, outcome.statuses, strict=False
            )
            if not status
            and not runs[name]
            and outcome.duration_seconds >= outcome.request.timeout_seconds - 0.2
            and not any(
                fault_host in ("", host) and began < until and ended > since
                for fault_host, began, ended in self._fault_intervals
            )
        ]

    def _find_requests_after_draining(self, workers: list[WorkerStandIn]) -> list[str]:
        """Find requests to draining workers through gateways that had no fault."""
        hosts = {
            name: host
            for outcome in self.outcomes
            for name, host in zip(outcome.attempt_ids, outcome.hosts, strict=False)
        }
        found = []
        for worker in workers:
            since = self._draining_since.get(worker.name)
            if since is None or self._was_faulty(("", STORE), since):
                continue
            for received in worker.received_requests:
                seconds = received.received_at - since
                # A VM that was cut off or suspended may act on old registrations.
                parts = ("", STORE, worker.name, hosts.get(received.attempt_id, ""))
                if seconds <= LEAVING_GRACE_SECONDS or self._was_faulty(
                    parts, received.received_at
                ):
                    continue
                found.append(
                    f"{worker.name} got {received.attempt_id} {seconds:.1f} s after it "
                    "was marked as draining"
                )
        return found

    def _was_faulty(self, parts: tuple[str, ...], at: float) -> bool:
        """Return whether one of some parts had a fault at a time or shortly before."""
        return any(
            part in parts and began <= at and ended >= at - FAULT_RECOVERY_SECONDS
            for part, began, ended in self._fault_intervals
        )

    def _find_requests_beyond_limits(self, workers: list[WorkerStandIn]) -> list[str]:
        """Find windows in which a worker got more requests than it stated to take."""
        received = {worker.name: worker.received_requests for worker in workers}
        found = []
        for name, limit, since, until in self._limit_intervals:
            times = [
                request.received_at
                for request in received[name]
                if since + LIMIT_CONTACT_SECONDS < request.received_at < until
            ]
            allowed = (
                LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * limit + LIMIT_MARGIN_REQUESTS
            )
            most = max(
                (
                    sum(at <= it < at + LIMIT_WINDOW_SECONDS for it in times)
                    for at in times
                ),
                default=0,
            )
            if most > allowed:
                found.append(
                    f"{name} stated a limit of {limit:g} requests a second and got "
                    f"{most} in {LIMIT_WINDOW_SECONDS:g} s"
                )
        return found


def _find_outcome_violations(
    outcome: Outcome, runs: dict[str, list[ReceivedRequest]]
) -> list[str]:
    found: list[str] = []
    request = outcome.request
    is_resumed = request.target.startswith("/ask/")
    for name, status in zip(outcome.attempt_ids, outcome.statuses, strict=False):
        count = len(runs[name])
        if count > 1 and not request.is_idempotent and not is_resumed:
            found.append(f"{name} ran {count} times")
        if status in NOT_RUN_STATUSES and count:
            found.append(f"{name} got status {status} but ran")
    if (
        outcome.final_state is FinalState.SERVED
        and outcome.body != _compute_expected_body(outcome)
    ):
        found.append(
            f"{outcome.attempt_ids[-1]} got an unexpected body "
            f"that ends with {outcome.body[-40:]!r}"
        )
    texts = set(EVENT_TEXT_PATTERN.findall(outcome.events + outcome.body))
    if len(texts) > 1:
        found.append(f"{outcome.attempt_ids[-1]} holds events of versions {texts}")
    if outcome.duration_seconds > request.timeout_seconds + RESPONSE_MARGIN_SECONDS:
        found.append(
            f"{outcome.attempt_ids[-1:]} took {outcome.duration_seconds:.1f} s; "
            f"its timeout is {request.timeout_seconds:g} s"
        )
    return found


def _compute_expected_body(outcome: Outcome) -> bytes:
    request = outcome.request
    if request.tokens is None:
        return f"done {request.target}".encode()
    texts = EVENT_TEXT_PATTERN.findall(outcome.body)
    text = texts[0].decode() if texts else ""
    numbers = range(1, request.tokens[1] + 1)
    return b"".join(f"id: {n}\ndata: {text} {n}\n\n".encode() for n in numbers)


def _find_unknown_attempts(
    outcomes: list[Outcome], workers: list[WorkerStandIn]
) -> list[str]:
    sent_ids = {name for outcome in outcomes for name in outcome.attempt_ids}
    return [
        f"a worker got {received.attempt_id!r}, which no client sent"
        for worker in workers
        for received in worker.received_requests
        if received.attempt_id not in sent_ids
    ]
