"""Checks of single requests: runs, statuses, responses and cancellation."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from emulator import History, Run, Site
from fireflyquay.world import RepeatRule

from ._check import Check, group_started_runs

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A run must end within this time after its client disconnected.
MAX_CANCELLATION_SECONDS = 0.5
# Time after a client's timeout within which its request must have a final response.
RESPONSE_MARGIN_SECONDS = 0.5
# Overtaking within this time is ignored, since slot requests and grants take time on
# the network.
OVERTAKE_TOLERANCE_SECONDS = 0.1


class AtMostOnceCheck(Check):
    """Check that at-most-once requests never rerun and resumed runs don't overlap."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each attempt that reran or was resumed too early."""
        rules = {kind.name: kind.repeat_rule for kind in site.kinds}
        kinds = {it.number: it.kind for it in history.requests}
        runs = group_started_runs(history)
        for attempt in history.attempts:
            rule = rules[kinds[attempt.request]]
            started = runs[attempt.id]
            if rule is RepeatRule.AT_MOST_ONCE and len(started) > 1:
                yield f"{attempt.id} ran {len(started)} times."
            if rule is not RepeatRule.RESUMABLE:
                continue
            for first, second in pairwise(started):
                if first.ended_at is None or second.arrived_at < first.ended_at - 0.4:
                    yield f"{attempt.id} was resumed before its previous run had ended."


class NotRunStatusCheck(Check):
    """Check that a request whose status says that it has not run never runs."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each attempt that ran despite its status."""
        runs = group_started_runs(history)
        for attempt in history.attempts:
            if attempt.status in NOT_RUN_STATUSES and runs[attempt.id]:
                yield f"{attempt.id} got status {attempt.status} but ran."


class CompleteResponseCheck(Check):
    """Check that a success is complete and that a backend server completed its run."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each success with missing events or no complete run."""
        streams = {kind.name for kind in site.kinds if kind.is_stream}
        requests = {it.number: it for it in history.requests}
        runs = group_started_runs(history)
        for attempt in history.attempts:
            if attempt.status != 200 or not attempt.is_complete:
                continue
            if not any(run.is_complete for run in runs[attempt.id]):
                yield (
                    f"{attempt.id} got status 200, but no backend server completed it."
                )
            request = requests[attempt.request]
            expected = list(range(1, request.events + 1))
            if request.kind in streams and attempt.events != expected:
                yield (
                    f"{attempt.id} got events {attempt.events}; "
                    f"expected 1 to {request.events}."
                )


class ResponseDeadlineCheck(Check):
    """Check that VMs without faults send every final response in time."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each attempt without a final response in time."""
        timeouts = {kind.name: kind.client_timeout for kind in site.kinds}
        requests = {it.number: it for it in history.requests}
        runs = group_started_runs(history)
        for attempt in history.attempts:
            request = requests[attempt.request]
            # The client disconnected on purpose, not because of its timeout.
            gave_up = request.gave_up_at is not None
            if attempt.client_disconnected and not gave_up and not runs[attempt.id]:
                if history.is_fault_free(attempt.host, attempt.sent_at - 5.0, 1e9):
                    yield f"{attempt.id} got no response before its client timed out."
            end = request.sent_at + timeouts[request.kind] + RESPONSE_MARGIN_SECONDS
            if end > history.ended_at:
                continue
            if not history.is_fault_free(attempt.host, attempt.sent_at - 1.0, end):
                continue
            if attempt.ended_at is None or attempt.ended_at > end:
                yield f"{attempt.id} had no final response at {end:.2f} s."


class PriorityOrderCheck(Check):
    """Check that no request starts before a more urgent one waiting for its service."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each request that overtook a more urgent one."""
        kinds = {kind.name: kind for kind in site.kinds}
        requests = {it.number: it for it in history.requests}
        runs = group_started_runs(history)
        waiting: dict[str, list[tuple[float, float, int, str]]] = defaultdict(list)
        for attempt in history.attempts:
            kind = kinds[requests[attempt.request].kind]
            started = runs[attempt.id]
            end = started[0].arrived_at if started else attempt.ended_at
            if end is not None:
                span = (attempt.sent_at, end, kind.rank, attempt.id)
                waiting[kind.service].append(span)
        for run in history.runs:
            run_rank = _get_rank(kinds, requests, run)
            for since, until, rank, attempt_id in waiting[run.service]:
                if rank >= run_rank or run.resumed_after:
                    continue
                waited = run.arrived_at - since
                wait_left = until - run.arrived_at
                if (
                    waited <= OVERTAKE_TOLERANCE_SECONDS
                    or wait_left <= OVERTAKE_TOLERANCE_SECONDS
                ):
                    continue
                if self._has_no_fault_nearby(history, since, until):
                    yield (
                        f"{run.attempt} overtook {attempt_id} "
                        f"at {run.arrived_at:.3f} s."
                    )

    def _has_no_fault_nearby(
        self, history: History, since: float, until: float
    ) -> bool:
        return not any(
            it.since < until + 1.0 and it.until > since - 5.0 for it in history.faults
        )


class CancellationCheck(Check):
    """Check that a run ends soon enough after its client disconnected."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each run that continued for too long."""
        runs = group_started_runs(history)
        for attempt in history.attempts:
            if not attempt.client_disconnected or attempt.ended_at is None:
                continue
            end = attempt.ended_at + MAX_CANCELLATION_SECONDS
            if not history.is_fault_free(attempt.host, attempt.ended_at - 1.0, end):
                continue
            for run in runs[attempt.id]:
                ended = run.ended_at if run.ended_at is not None else float("inf")
                if ended > end or run.arrived_at > end:
                    yield (
                        f"{attempt.id} still ran {MAX_CANCELLATION_SECONDS} s after "
                        "its client disconnected."
                    )


def _get_rank(kinds: dict, requests: dict, run: Run) -> int:
    number = int(run.attempt.partition("-")[0])
    return kinds[requests[number].kind].rank
