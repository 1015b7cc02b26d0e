"""Checks of single requests: run once, told the truth, answered whole and in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from emulator import History, Run, Site
from fireflyquay.world import RepeatRule

from ._check import Check, group_runs

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Seconds after a client left in which its run must end.
CANCEL_SECONDS = 0.5
# Seconds past its time limit by which a request has its final answer.
ANSWER_SECONDS = 0.5
# Seconds by which a request of a lower rank may overtake a waiting one: the way of its
# ask and of its grant.
OVERTAKE_SECONDS = 0.1


class RunsOnce(Check):
    """What may run once runs once; what is resumed goes on where it broke off."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each attempt that ran too often."""
        rules = {kind.name: kind.repeat_rule for kind in site.kinds}
        kinds = {it.number: it.kind for it in history.requests}
        runs = group_runs(history)
        for attempt in history.attempts:
            rule = rules[kinds[attempt.request]]
            begun = runs[attempt.id]
            if rule is RepeatRule.AT_MOST_ONCE and len(begun) > 1:
                yield f"{attempt.id} ran {len(begun)} times."
            if rule is not RepeatRule.RESUMABLE:
                continue
            for first, second in pairwise(begun):
                if first.ended_at is None or second.arrived_at < first.ended_at - 0.4:
                    yield f"{attempt.id} went on before its first run had ended."


class NotRunIsTrue(Check):
    """A status that promises that a request has not run is true, also later."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each false promise."""
        runs = group_runs(history)
        for attempt in history.attempts:
            if attempt.status in PROMISES and runs[attempt.id]:
                yield f"{attempt.id} was told {attempt.status} and ran."


class WholeAnswers(Check):
    """A success is a backend server's whole answer to that request."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each success that isn't whole."""
        streams = {kind.name for kind in site.kinds if kind.is_stream}
        requests = {it.number: it for it in history.requests}
        runs = group_runs(history)
        for attempt in history.attempts:
            if attempt.status != 200 or not attempt.is_complete:
                continue
            if not any(run.is_complete for run in runs[attempt.id]):
                yield f"{attempt.id} got a success that no backend server completed."
            request = requests[attempt.request]
            expected = list(range(1, request.events + 1))
            if request.kind in streams and attempt.events != expected:
                yield f"{attempt.id} got events {attempt.events} of {request.events}."


class FinalAnswers(Check):
    """Every client gets its final answer in time from a VM that runs well."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each attempt that got none."""
        limits = {kind.name: kind.client_timeout for kind in site.kinds}
        requests = {it.number: it for it in history.requests}
        runs = group_runs(history)
        for attempt in history.attempts:
            request = requests[attempt.request]
            gave_up = request.gave_up_at is not None
            if attempt.client_disconnected and not gave_up and not runs[attempt.id]:
                if history.is_fault_free(attempt.host, attempt.sent_at - 5.0, 1e9):
                    yield f"{attempt.id} was held until its client left."
            end = request.sent_at + limits[request.kind] + ANSWER_SECONDS
            if end > history.ended_at:
                continue
            if not history.is_fault_free(attempt.host, attempt.sent_at - 1.0, end):
                continue
            if attempt.ended_at is None or attempt.ended_at > end:
                yield f"{attempt.id} had no final answer at {end:.2f}."


class UrgentFirst(Check):
    """No request gets a place while a more urgent one waits for the same service."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each request that overtook a more urgent one."""
        kinds = {kind.name: kind for kind in site.kinds}
        requests = {it.number: it for it in history.requests}
        runs = group_runs(history)
        waiting: dict[str, list[tuple[float, float, int, str]]] = defaultdict(list)
        for attempt in history.attempts:
            kind = kinds[requests[attempt.request].kind]
            begun = runs[attempt.id]
            end = begun[0].arrived_at if begun else attempt.ended_at
            if end is not None:
                span = (attempt.sent_at, end, kind.rank, attempt.id)
                waiting[kind.service].append(span)
        for run in history.runs:
            attempt_rank = _find_rank(kinds, requests, run)
            for since, until, rank, name in waiting[run.service]:
                if rank >= attempt_rank or run.resumed_after:
                    continue
                waited = run.arrived_at - since
                left = until - run.arrived_at
                if waited <= OVERTAKE_SECONDS or left <= OVERTAKE_SECONDS:
                    continue
                if self._is_calm(history, since, until):
                    yield f"{run.attempt} overtook {name} at {run.arrived_at:.3f}."

    def _is_calm(self, history: History, since: float, until: float) -> bool:
        return not any(
            it.since < until + 1.0 and it.until > since - 5.0 for it in history.faults
        )


class CancelsReach(Check):
    """The run of a client that left ends at once."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each run that went on."""
        runs = group_runs(history)
        for attempt in history.attempts:
            if not attempt.client_disconnected or attempt.ended_at is None:
                continue
            end = attempt.ended_at + CANCEL_SECONDS
            if not history.is_fault_free(attempt.host, attempt.ended_at - 1.0, end):
                continue
            for run in runs[attempt.id]:
                ended = run.ended_at if run.ended_at is not None else float("inf")
                if ended > end or run.arrived_at > end:
                    yield f"{attempt.id} still ran {CANCEL_SECONDS} s after its client."


def _find_rank(kinds: dict, requests: dict, run: Run) -> int:
    number = int(run.attempt.partition("-")[0])
    return kinds[requests[number].kind].rank
