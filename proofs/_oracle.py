"""Judges a play by what clients, backend servers and the store saw."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import pairwise

from emulator import Attempt, Evidence, Mark, Run, Site
from fireflyquay.world import RepeatRule

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Seconds from an acknowledged change until all reachable VMs act on it.
APPLY_SECONDS = 2.0
# Seconds after its mark in which a leaving backend server may still get requests.
LEAVING_SECONDS = 2.0
# Seconds after a client left in which its run must end.
CANCEL_SECONDS = 0.5
# Seconds past its time limit by which a request has its final answer.
ANSWER_SECONDS = 0.5
# Seconds of the quota's and of the repeats' windows.
QUOTA_SECONDS = 8.0
REPEAT_SECONDS = 10.0
# Retries of a request that crashes backend servers, after it has crashed three.
MAX_CRASH_RUNS = 3 + 3
# Seconds after the last trouble from which a quarter must be served.
RECOVERY_SECONDS = 12.0
LEAST_SERVED = 0.25
# Seconds by which a request of a lower rank may overtake a waiting one: the way of its
# ask and of its grant.
OVERTAKE_SECONDS = 0.1


class Check(ABC):
    """Find breaches of one promise."""

    @abstractmethod
    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield a sentence for each breach."""


class RunsOnce(Check):
    """What may run once runs once; what is resumed goes on where it broke off."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each attempt that ran too often."""
        rules = {kind.name: kind.repeat_rule for kind in site.kinds}
        kinds = {it.number: it.kind for it in evidence.requests}
        runs = _group_runs(evidence)
        for attempt in evidence.attempts:
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

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each false promise."""
        runs = _group_runs(evidence)
        for attempt in evidence.attempts:
            if attempt.status in PROMISES and runs[attempt.id]:
                yield f"{attempt.id} was told {attempt.status} and ran."


class WholeAnswers(Check):
    """A success is a backend server's whole answer to that request."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each success that isn't whole."""
        streams = {kind.name for kind in site.kinds if kind.is_stream}
        requests = {it.number: it for it in evidence.requests}
        runs = _group_runs(evidence)
        for attempt in evidence.attempts:
            if attempt.status != 200 or not attempt.is_whole:
                continue
            if not any(run.is_whole for run in runs[attempt.id]):
                yield f"{attempt.id} got a success that no backend server completed."
            request = requests[attempt.request]
            expected = list(range(1, request.events + 1))
            if request.kind in streams and attempt.events != expected:
                yield f"{attempt.id} got events {attempt.events} of {request.events}."


class FinalAnswers(Check):
    """Every client gets its final answer in time from a VM that runs well."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each attempt that got none."""
        limits = {kind.name: kind.time_limit for kind in site.kinds}
        requests = {it.number: it for it in evidence.requests}
        runs = _group_runs(evidence)
        for attempt in evidence.attempts:
            request = requests[attempt.request]
            gave_up = request.gave_up_at is not None
            if attempt.client_left and not gave_up and not runs[attempt.id]:
                if evidence.is_quiet(attempt.host, attempt.sent_at - 5.0, 1e9):
                    yield f"{attempt.id} was held until its client left."
            end = request.sent_at + limits[request.kind] + ANSWER_SECONDS
            if end > evidence.ended_at:
                continue
            if not evidence.is_quiet(attempt.host, attempt.sent_at - 1.0, end):
                continue
            if attempt.ended_at is None or attempt.ended_at > end:
                yield f"{attempt.id} had no final answer at {end:.2f}."


class UrgentFirst(Check):
    """No request gets a place while a more urgent one waits for the same service."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each request that overtook a more urgent one."""
        kinds = {kind.name: kind for kind in site.kinds}
        requests = {it.number: it for it in evidence.requests}
        runs = _group_runs(evidence)
        waiting: dict[str, list[tuple[float, float, int, str]]] = defaultdict(list)
        for attempt in evidence.attempts:
            kind = kinds[requests[attempt.request].kind]
            begun = runs[attempt.id]
            end = begun[0].arrived_at if begun else attempt.ended_at
            if end is not None:
                span = (attempt.sent_at, end, kind.rank, attempt.id)
                waiting[kind.service].append(span)
        for run in evidence.runs:
            attempt_rank = _find_rank(kinds, requests, run)
            for since, until, rank, name in waiting[run.service]:
                if rank >= attempt_rank or run.after:
                    continue
                waited = run.arrived_at - since
                left = until - run.arrived_at
                if waited <= OVERTAKE_SECONDS or left <= OVERTAKE_SECONDS:
                    continue
                if self._is_calm(evidence, since, until):
                    yield f"{run.attempt} overtook {name} at {run.arrived_at:.3f}."

    def _is_calm(self, evidence: Evidence, since: float, until: float) -> bool:
        return not any(
            it.since < until + 1.0 and it.until > since - 5.0
            for it in evidence.troubles
        )


class LeavingServers(Check):
    """A leaving backend server gets nothing new after the bound."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each late request."""
        left = {it.who: it.at for it in evidence.marks if it.what == "leaving"}
        for run in evidence.runs:
            bound = left.get(run.server, float("inf")) + LEAVING_SECONDS
            late = run.arrived_at > bound and not run.is_declined
            if late and evidence.is_quiet(run.host, bound - 3.0, run.arrived_at):
                yield f"{run.server} got {run.attempt} at {run.arrived_at:.2f}."


class KeysInForce(Check):
    """A key that was taken away runs nothing after the bound; a new one is served."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each run under an old key, and each refusal of a new one."""
        removed = {it.who: it.at for it in evidence.marks if it.what == "key removed"}
        attempts = {it.id: it for it in evidence.attempts}
        for run in evidence.runs:
            attempt = attempts[run.attempt]
            end = removed.get(attempt.key, float("inf")) + site.revoke
            if run.began_at is not None and attempt.sent_at > end:
                yield f"{attempt.id} ran under a removed key at {run.began_at:.2f}."
        for attempt in evidence.attempts:
            is_denied = attempt.code == "UNKNOWN_API_KEY"
            if is_denied and attempt.key not in removed:
                yield from self._judge_denied(evidence, attempt)

    def _judge_denied(self, evidence: Evidence, attempt: Attempt) -> Iterator[str]:
        changes = [it.at for it in evidence.marks if it.what == "version"]
        recent = [at for at in changes if at <= attempt.sent_at]
        since = max(recent, default=0.0) + APPLY_SECONDS
        is_quiet = evidence.is_quiet(attempt.host, since - 3.0, attempt.sent_at)
        if attempt.sent_at > since and is_quiet:
            yield f"{attempt.id} was denied with a key in force."


class NothingReverts(Check):
    """Who has seen a key removed never serves it again."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each run under a key that the same VM had refused."""
        removed = {it.who: it.at for it in evidence.marks if it.what == "key removed"}
        runs = _group_runs(evidence)
        refused_at: dict[tuple[str, str], float] = {}
        kills = {(it.who, it.since) for it in evidence.troubles if it.what == "kill"}
        attempts = [it for it in evidence.attempts if it.key in removed]
        for attempt in sorted(attempts, key=lambda it: it.sent_at):
            place = (attempt.host, attempt.key)
            if attempt.code == "UNKNOWN_API_KEY":
                refused_at.setdefault(place, attempt.sent_at)
            since = refused_at.get(place)
            if since is None or not runs[attempt.id] or attempt.sent_at < since + 0.3:
                continue
            if not any(who == attempt.host and at >= since for who, at in kills):
                yield f"{attempt.host} served {attempt.key} again to {attempt.id}."


class PlannedStops(Check):
    """A planned stop cuts off nothing that it had taken."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each attempt that a stop cut off."""
        runs = _group_runs(evidence)
        for mark in (it for it in evidence.marks if it.what == "stop"):
            for attempt in evidence.attempts:
                if attempt.host == mark.who and self._is_cut(evidence, mark, attempt):
                    served = [it for it in runs[attempt.id] if not it.is_whole]
                    if len(served) == len(runs[attempt.id]):
                        yield f"The stop of {mark.who} cut off {attempt.id}."

    def _is_cut(self, evidence: Evidence, mark: Mark, attempt: Attempt) -> bool:
        if attempt.ended_at is None or attempt.client_left:
            return False
        is_near = attempt.sent_at <= mark.at + 1.0 and attempt.ended_at >= mark.at
        is_cut = attempt.status == 0 or (attempt.status == 200 and not attempt.is_whole)
        since, until = mark.at - 5.0, attempt.ended_at
        servers = any(
            it.what == "server" and it.since < until and it.until > since
            for it in evidence.troubles
        )
        is_quiet = evidence.is_quiet(attempt.host, since, until) and not servers
        return is_near and is_cut and is_quiet


class CancelsReach(Check):
    """The run of a client that left ends at once."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each run that went on."""
        runs = _group_runs(evidence)
        for attempt in evidence.attempts:
            if not attempt.client_left or attempt.ended_at is None:
                continue
            end = attempt.ended_at + CANCEL_SECONDS
            if not evidence.is_quiet(attempt.host, attempt.ended_at - 1.0, end):
                continue
            for run in runs[attempt.id]:
                ended = run.ended_at if run.ended_at is not None else float("inf")
                if ended > end or run.arrived_at > end:
                    yield f"{attempt.id} still ran {CANCEL_SECONDS} s after its client."


class QuotasHold(Check):
    """What an account's requests take over all VMs stays within its quota."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each window that was exceeded."""
        requests = {it.number: it for it in evidence.requests}
        attempts = {it.id: it for it in evidence.attempts}
        strides = {name: engine.stride for name, engine in site.engines.items()}
        used: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for run in evidence.runs:
            if run.began_at is None or run.after:
                continue
            request = requests[attempts[run.attempt].request]
            events = request.events * strides.get(run.service, 0)
            tokens = float(request.prompt_tokens + events)
            used[run.account].append((run.arrived_at, tokens))
        overshoot = 1.0 + 0.1
        for account, (rate, burst) in evidence.quotas.items():
            bound = (rate * QUOTA_SECONDS + burst) * overshoot
            times = sorted(used[account])
            for start, _ in times:
                end = start + QUOTA_SECONDS
                total = sum(tokens for at, tokens in times if start <= at < end)
                if total > bound:
                    yield f"{account} used {total:.0f} of {bound:.0f} from {start:.2f}."
                    break


class RepeatsBound(Check):
    """Repeats at a service stay within a fifth of its requests and the slack."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each window with too many."""
        seen: set[str] = set()
        arrivals: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        for run in sorted(evidence.runs, key=lambda it: it.arrived_at):
            arrivals[run.service].append((run.arrived_at, run.attempt in seen))
            seen.add(run.attempt)
        for service, times in arrivals.items():
            for start, _ in times:
                window = [it for it in times if start <= it[0] < start + REPEAT_SECONDS]
                repeats = sum(is_repeat for _, is_repeat in window)
                if repeats > 0.2 * (len(window) - repeats) + 50:
                    yield f"{service} got {repeats} repeats from {start:.2f}."
                    break


class CrashersStop(Check):
    """A request that crashes backend servers reaches few of them."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield each that reached too many."""
        crashes: dict[str, int] = defaultdict(int)
        poisons = {it.number: it.poison for it in evidence.requests}
        attempts = {it.id: it for it in evidence.attempts}
        for run in evidence.runs:
            poison = poisons[attempts[run.attempt].request]
            if poison and run.began_at is not None and not run.is_whole:
                crashes[poison] += 1
        for poison, count in crashes.items():
            if count > MAX_CRASH_RUNS:
                yield f"{poison} crashed {count} backend servers."


class Recovers(Check):
    """Some time after all trouble a good part is served again."""

    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield a sentence if less than a quarter is."""
        end = max((it.until for it in evidence.troubles), default=0.0)
        after = [
            it
            for it in evidence.requests
            if it.sent_at > end + RECOVERY_SECONDS and it.ended_at is not None
        ]
        if len(after) < 20 or not evidence.troubles:
            return
        served = sum(it.is_served for it in after)
        if served < LEAST_SERVED * len(after):
            yield f"{served} of {len(after)} were served after all trouble."


CHECKS: tuple[Check, ...] = (
    RunsOnce(),
    NotRunIsTrue(),
    WholeAnswers(),
    FinalAnswers(),
    LeavingServers(),
    KeysInForce(),
    NothingReverts(),
    PlannedStops(),
    CancelsReach(),
    QuotasHold(),
    RepeatsBound(),
    CrashersStop(),
    Recovers(),
)


class Oracle:
    """Apply checks to a play."""

    def __init__(self, site: Site, checks: Sequence[Check] = CHECKS) -> None:
        self._site = site
        self._checks = checks

    def find_breaches(self, evidence: Evidence) -> list[str]:
        """Return a sentence for each breach, with the check's name."""
        return [
            f"{type(check).__name__}: {breach}"
            for check in self._checks
            for breach in check.find(self._site, evidence)
        ]

    def assert_clean(self, evidence: Evidence) -> None:
        """Raise AssertionError when a promise was broken."""
        breaches = self.find_breaches(evidence)
        assert not breaches, "\n".join([*breaches[:20], *_explain(evidence, breaches)])


def _group_runs(evidence: Evidence) -> dict[str, list[Run]]:
    """Return what began to run, by attempt and in order."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in evidence.runs:
        if run.began_at is not None:
            runs[run.attempt].append(run)
    return runs


def _find_rank(kinds: dict, requests: dict, run: Run) -> int:
    number = int(run.attempt.partition("-")[0])
    return kinds[requests[number].kind].rank


def _explain(evidence: Evidence, breaches: Sequence[str]) -> list[str]:
    """List what happened to the first attempt that a breach names, and all trouble."""
    named = [it for it in evidence.attempts if breaches and it.id in breaches[0]]
    rows = [(it.since, repr(it)) for it in evidence.troubles]
    rows += [(it.at, repr(it)) for it in evidence.marks if it.what != "version"]
    if named:
        request = named[0].request
        rows += [
            (it.sent_at, repr(it)) for it in evidence.attempts if it.request == request
        ]
        ids = {it.id for it in evidence.attempts if it.request == request}
        rows += [(it.arrived_at, repr(it)) for it in evidence.runs if it.attempt in ids]
    return [f"{at:.3f} {text}" for at, text in sorted(rows)]
