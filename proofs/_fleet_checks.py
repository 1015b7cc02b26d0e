"""Checks of the fleet: configuration changes, limits, graceful stops and recovery."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from emulator import Attempt, History, PlannedChange, Site

from ._check import Check, group_started_runs

# All reachable VMs apply an acknowledged change within this time.
CONFIG_APPLY_SECONDS = 2.0
# Time for which a leaving backend server may still receive requests.
LEAVING_GRACE_SECONDS = 2.0
# Windows over which quotas and retries are counted.
QUOTA_WINDOW_SECONDS = 8.0
RETRY_WINDOW_SECONDS = 10.0
# A request may crash three backend servers, and its retries three more.
MAX_CRASHES_PER_REQUEST = 3 + 3
# From this time after the last fault, MIN_SERVED_SHARE of the requests must be served.
RECOVERY_SECONDS = 12.0
MIN_SERVED_SHARE = 0.25


class LeavingServerCheck(Check):
    """Check that leaving backend servers get no new request after the grace period."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each request after the grace period."""
        left = {
            it.target: it.at for it in history.planned_changes if it.kind == "leaving"
        }
        for run in history.runs:
            grace_end = left.get(run.server, float("inf")) + LEAVING_GRACE_SECONDS
            is_late = run.arrived_at > grace_end and not run.is_declined
            if is_late and history.is_fault_free(
                run.host, grace_end - 3.0, run.arrived_at
            ):
                yield f"{run.server} got {run.attempt} at {run.arrived_at:.2f} s."


class KeyRevocationCheck(Check):
    """Check that VMs reject revoked keys after the time limit and accept valid ones."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each run with a revoked key or rejected valid key."""
        revoked = {
            it.target: it.at
            for it in history.planned_changes
            if it.kind == "key removed"
        }
        attempts = {it.id: it for it in history.attempts}
        for run in history.runs:
            attempt = attempts[run.attempt]
            end = revoked.get(attempt.key, float("inf")) + site.revoke
            if run.began_at is not None and attempt.sent_at > end:
                yield f"{attempt.id} ran with a revoked key at {run.began_at:.2f} s."
        for attempt in history.attempts:
            is_rejected = attempt.code == "UNKNOWN_API_KEY"
            if is_rejected and attempt.key not in revoked:
                yield from self._check_rejected_attempt(history, attempt)

    def _check_rejected_attempt(
        self, history: History, attempt: Attempt
    ) -> Iterator[str]:
        changed_at = [it.at for it in history.planned_changes if it.kind == "version"]
        recent = [at for at in changed_at if at <= attempt.sent_at]
        since = max(recent, default=0.0) + CONFIG_APPLY_SECONDS
        is_fault_free = history.is_fault_free(
            attempt.host, since - 3.0, attempt.sent_at
        )
        if attempt.sent_at > since and is_fault_free:
            yield f"{attempt.id} was rejected although its key is valid."


class NoKeyRollbackCheck(Check):
    """Check that a VM that rejected a revoked key never accepts it again."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each run with a key that the same VM had rejected."""
        revoked = {
            it.target: it.at
            for it in history.planned_changes
            if it.kind == "key removed"
        }
        runs = group_started_runs(history)
        rejected_at: dict[tuple[str, str], float] = {}
        killed_at = {
            (it.target, it.since) for it in history.faults if it.kind == "kill"
        }
        attempts = [it for it in history.attempts if it.key in revoked]
        for attempt in sorted(attempts, key=lambda it: it.sent_at):
            pair = (attempt.host, attempt.key)
            if attempt.code == "UNKNOWN_API_KEY":
                rejected_at.setdefault(pair, attempt.sent_at)
            since = rejected_at.get(pair)
            if since is None or not runs[attempt.id] or attempt.sent_at < since + 0.3:
                continue
            if not any(
                target == attempt.host and at >= since for target, at in killed_at
            ):
                yield (
                    f"{attempt.host} accepted the revoked key {attempt.key} again "
                    f"for {attempt.id}."
                )


class GracefulStopCheck(Check):
    """Check that a graceful stop interrupts no request that the VM had accepted."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each attempt that a graceful stop interrupted."""
        runs = group_started_runs(history)
        for change in (it for it in history.planned_changes if it.kind == "stop"):
            for attempt in history.attempts:
                if attempt.host == change.target and self._is_interrupted(
                    history, change, attempt
                ):
                    incomplete = [it for it in runs[attempt.id] if not it.is_complete]
                    if len(incomplete) == len(runs[attempt.id]):
                        yield f"The stop of {change.target} interrupted {attempt.id}."

    def _is_interrupted(
        self, history: History, change: PlannedChange, attempt: Attempt
    ) -> bool:
        if attempt.ended_at is None or attempt.client_disconnected:
            return False
        was_in_progress = (
            attempt.sent_at <= change.at + 1.0 and attempt.ended_at >= change.at
        )
        is_incomplete = attempt.status == 0 or (
            attempt.status == 200 and not attempt.is_complete
        )
        since, until = change.at - 5.0, attempt.ended_at
        has_server_fault = any(
            it.kind == "server" and it.since < until and it.until > since
            for it in history.faults
        )
        is_fault_free = (
            history.is_fault_free(attempt.host, since, until) and not has_server_fault
        )
        return was_in_progress and is_incomplete and is_fault_free


class QuotaCheck(Check):
    """Check that an account's tokens over all VMs stay within its quota."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each account's first window that exceeds the quota."""
        requests = {it.number: it for it in history.requests}
        attempts = {it.id: it for it in history.attempts}
        tokens_per_event = {
            name: engine.tokens_per_event for name, engine in site.engines.items()
        }
        used: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for run in history.runs:
            if run.began_at is None or run.resumed_after:
                continue
            request = requests[attempts[run.attempt].request]
            output_tokens = request.events * tokens_per_event.get(run.service, 0)
            tokens = float(request.prompt_tokens + output_tokens)
            used[run.account].append((run.arrived_at, tokens))
        overshoot = 1.0 + 0.1
        for account, (rate, burst) in history.quotas.items():
            bound = (rate * QUOTA_WINDOW_SECONDS + burst) * overshoot
            times = sorted(used[account])
            for start, _ in times:
                end = start + QUOTA_WINDOW_SECONDS
                total = sum(tokens for at, tokens in times if start <= at < end)
                if total > bound:
                    yield (
                        f"{account} used {total:.0f} tokens from {start:.2f} s; "
                        f"expected {bound:.0f} or fewer."
                    )
                    break


class RetryLimitCheck(Check):
    """Check that a service's retries stay within 20% of its other requests plus 50."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each service's first window with too many retries."""
        seen: set[str] = set()
        arrivals: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        for run in sorted(history.runs, key=lambda it: it.arrived_at):
            arrivals[run.service].append((run.arrived_at, run.attempt in seen))
            seen.add(run.attempt)
        for service, times in arrivals.items():
            for start, _ in times:
                window = [
                    it for it in times if start <= it[0] < start + RETRY_WINDOW_SECONDS
                ]
                retries = sum(is_retry for _, is_retry in window)
                if retries > 0.2 * (len(window) - retries) + 50:
                    yield f"{service} got {retries} retries from {start:.2f} s."
                    break


class QuarantineCheck(Check):
    """Check that a request crashes at most MAX_CRASHES_PER_REQUEST backend servers."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each request that crashed too many servers."""
        crashes: dict[str, int] = defaultdict(int)
        poison_by_request = {it.number: it.poison for it in history.requests}
        attempts = {it.id: it for it in history.attempts}
        for run in history.runs:
            poison = poison_by_request[attempts[run.attempt].request]
            if poison and run.began_at is not None and not run.is_complete:
                crashes[poison] += 1
        for poison, count in crashes.items():
            if count > MAX_CRASHES_PER_REQUEST:
                yield f"{poison} crashed {count} backend servers."


class RecoveryCheck(Check):
    """Check that MIN_SERVED_SHARE of the requests are served after recovery."""

    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message if too few requests are served."""
        end = max((it.until for it in history.faults), default=0.0)
        after = [
            it
            for it in history.requests
            if it.sent_at > end + RECOVERY_SECONDS and it.ended_at is not None
        ]
        if len(after) < 20 or not history.faults:
            return
        served = sum(it.is_served for it in after)
        if served < MIN_SERVED_SHARE * len(after):
            yield f"{served} of {len(after)} were served after the last fault."
