"""Checks of the fleet: changes are in force, limits hold, all recovers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator import Attempt, History, PlannedChange, Site

from ._check import Check, group_runs

# Seconds from an acknowledged change until all reachable VMs act on it.
APPLY_SECONDS = 2.0
# Seconds after its mark in which a leaving backend server may still get requests.
LEAVING_SECONDS = 2.0
# Seconds of the quota's and of the repeats' windows.
QUOTA_SECONDS = 8.0
REPEAT_SECONDS = 10.0
# Retries of a request that crashes backend servers, after it has crashed three.
MAX_CRASH_RUNS = 3 + 3
# Seconds after the last trouble from which a quarter must be served.
RECOVERY_SECONDS = 12.0
LEAST_SERVED = 0.25


class LeavingServers(Check):
    """A leaving backend server gets nothing new after the bound."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each late request."""
        left = {
            it.target: it.at for it in history.planned_changes if it.kind == "leaving"
        }
        for run in history.runs:
            bound = left.get(run.server, float("inf")) + LEAVING_SECONDS
            late = run.arrived_at > bound and not run.is_declined
            if late and history.is_fault_free(run.host, bound - 3.0, run.arrived_at):
                yield f"{run.server} got {run.attempt} at {run.arrived_at:.2f}."


class KeysInForce(Check):
    """A key that was taken away runs nothing after the bound; a new one is served."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each run under an old key, and each refusal of a new one."""
        removed = {
            it.target: it.at
            for it in history.planned_changes
            if it.kind == "key removed"
        }
        attempts = {it.id: it for it in history.attempts}
        for run in history.runs:
            attempt = attempts[run.attempt]
            end = removed.get(attempt.key, float("inf")) + site.revoke
            if run.began_at is not None and attempt.sent_at > end:
                yield f"{attempt.id} ran under a removed key at {run.began_at:.2f}."
        for attempt in history.attempts:
            is_denied = attempt.code == "UNKNOWN_API_KEY"
            if is_denied and attempt.key not in removed:
                yield from self._judge_denied(history, attempt)

    def _judge_denied(self, history: History, attempt: Attempt) -> Iterator[str]:
        changes = [it.at for it in history.planned_changes if it.kind == "version"]
        recent = [at for at in changes if at <= attempt.sent_at]
        since = max(recent, default=0.0) + APPLY_SECONDS
        is_fault_free = history.is_fault_free(
            attempt.host, since - 3.0, attempt.sent_at
        )
        if attempt.sent_at > since and is_fault_free:
            yield f"{attempt.id} was denied with a key in force."


class NothingReverts(Check):
    """Who has seen a key removed never serves it again."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each run under a key that the same VM had refused."""
        removed = {
            it.target: it.at
            for it in history.planned_changes
            if it.kind == "key removed"
        }
        runs = group_runs(history)
        refused_at: dict[tuple[str, str], float] = {}
        kills = {(it.target, it.since) for it in history.faults if it.kind == "kill"}
        attempts = [it for it in history.attempts if it.key in removed]
        for attempt in sorted(attempts, key=lambda it: it.sent_at):
            place = (attempt.host, attempt.key)
            if attempt.code == "UNKNOWN_API_KEY":
                refused_at.setdefault(place, attempt.sent_at)
            since = refused_at.get(place)
            if since is None or not runs[attempt.id] or attempt.sent_at < since + 0.3:
                continue
            if not any(target == attempt.host and at >= since for target, at in kills):
                yield f"{attempt.host} served {attempt.key} again to {attempt.id}."


class PlannedStops(Check):
    """A planned stop cuts off nothing that it had taken."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each attempt that a stop cut off."""
        runs = group_runs(history)
        for change in (it for it in history.planned_changes if it.kind == "stop"):
            for attempt in history.attempts:
                if attempt.host == change.target and self._is_cut(
                    history, change, attempt
                ):
                    served = [it for it in runs[attempt.id] if not it.is_complete]
                    if len(served) == len(runs[attempt.id]):
                        yield f"The stop of {change.target} cut off {attempt.id}."

    def _is_cut(
        self, history: History, change: PlannedChange, attempt: Attempt
    ) -> bool:
        if attempt.ended_at is None or attempt.client_disconnected:
            return False
        is_near = attempt.sent_at <= change.at + 1.0 and attempt.ended_at >= change.at
        is_cut = attempt.status == 0 or (
            attempt.status == 200 and not attempt.is_complete
        )
        since, until = change.at - 5.0, attempt.ended_at
        servers = any(
            it.kind == "server" and it.since < until and it.until > since
            for it in history.faults
        )
        is_fault_free = (
            history.is_fault_free(attempt.host, since, until) and not servers
        )
        return is_near and is_cut and is_fault_free


class QuotasHold(Check):
    """What an account's requests take over all VMs stays within its quota."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each window that was exceeded."""
        requests = {it.number: it for it in history.requests}
        attempts = {it.id: it for it in history.attempts}
        strides = {
            name: engine.tokens_per_event for name, engine in site.engines.items()
        }
        used: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for run in history.runs:
            if run.began_at is None or run.resumed_after:
                continue
            request = requests[attempts[run.attempt].request]
            events = request.events * strides.get(run.service, 0)
            tokens = float(request.prompt_tokens + events)
            used[run.account].append((run.arrived_at, tokens))
        overshoot = 1.0 + 0.1
        for account, (rate, burst) in history.quotas.items():
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

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each window with too many."""
        seen: set[str] = set()
        arrivals: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        for run in sorted(history.runs, key=lambda it: it.arrived_at):
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

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield each that reached too many."""
        crashes: dict[str, int] = defaultdict(int)
        poisons = {it.number: it.poison for it in history.requests}
        attempts = {it.id: it for it in history.attempts}
        for run in history.runs:
            poison = poisons[attempts[run.attempt].request]
            if poison and run.began_at is not None and not run.is_complete:
                crashes[poison] += 1
        for poison, count in crashes.items():
            if count > MAX_CRASH_RUNS:
                yield f"{poison} crashed {count} backend servers."


class Recovers(Check):
    """Some time after all trouble a good part is served again."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a sentence if less than a quarter is."""
        end = max((it.until for it in history.faults), default=0.0)
        after = [
            it
            for it in history.requests
            if it.sent_at > end + RECOVERY_SECONDS and it.ended_at is not None
        ]
        if len(after) < 20 or not history.faults:
            return
        served = sum(it.is_served for it in after)
        if served < LEAST_SERVED * len(after):
            yield f"{served} of {len(after)} were served after all trouble."
