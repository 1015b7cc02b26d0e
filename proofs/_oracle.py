"""Checker of the guarantees on an emulation's history."""

from __future__ import annotations

from collections.abc import Sequence

from emulator import History, Site

from ._check import Check
from ._fleet_checks import (
    GracefulStopCheck,
    KeyRevocationCheck,
    LeavingServerCheck,
    NoKeyRollbackCheck,
    QuarantineCheck,
    QuotaCheck,
    RecoveryCheck,
    RetryLimitCheck,
)
from ._request_checks import (
    AtMostOnceCheck,
    CancellationCheck,
    CompleteResponseCheck,
    NotRunStatusCheck,
    ResponseDeadlineCheck,
)

CHECKS: tuple[Check, ...] = (
    AtMostOnceCheck(),
    NotRunStatusCheck(),
    CompleteResponseCheck(),
    ResponseDeadlineCheck(),
    LeavingServerCheck(),
    KeyRevocationCheck(),
    NoKeyRollbackCheck(),
    GracefulStopCheck(),
    CancellationCheck(),
    QuotaCheck(),
    RetryLimitCheck(),
    QuarantineCheck(),
    RecoveryCheck(),
)


class Oracle:
    """Apply checks to the history of an emulation."""

    def __init__(self, site: Site, checks: Sequence[Check] = CHECKS) -> None:
        self._site = site
        self._checks = checks

    def find_violations(self, history: History) -> list[str]:
        """Return a message for each violation, prefixed with the check's name."""
        return [
            f"{type(check).__name__}: {violation}"
            for check in self._checks
            for violation in check.find(self._site, history)
        ]

    def assert_no_violations(self, history: History) -> None:
        """Raise AssertionError with the first violations and a timeline, if any."""
        violations = self.find_violations(history)
        assert not violations, "\n".join(
            [*violations[:20], *_format_timeline(history, violations)]
        )


def _format_timeline(history: History, violations: Sequence[str]) -> list[str]:
    """Return all faults, and the attempts and runs of the first violation's request."""
    violating_attempts = [
        it for it in history.attempts if violations and it.id in violations[0]
    ]
    rows = [(it.since, repr(it)) for it in history.faults]
    rows += [
        (it.at, repr(it)) for it in history.planned_changes if it.kind != "version"
    ]
    if violating_attempts:
        request = violating_attempts[0].request
        rows += [
            (it.sent_at, repr(it)) for it in history.attempts if it.request == request
        ]
        ids = {it.id for it in history.attempts if it.request == request}
        rows += [(it.arrived_at, repr(it)) for it in history.runs if it.attempt in ids]
    return [f"{at:.3f} {text}" for at, text in sorted(rows)]
