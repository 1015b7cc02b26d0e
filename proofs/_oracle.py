"""Judges a play by what clients, backend servers and the store saw."""

from __future__ import annotations

from collections.abc import Sequence

from emulator import History, Site

from ._check import Check
from ._fleet_checks import (
    CrashersStop,
    KeysInForce,
    LeavingServers,
    NothingReverts,
    PlannedStops,
    QuotasHold,
    Recovers,
    RepeatsBound,
)
from ._request_checks import (
    CancelsReach,
    FinalAnswers,
    NotRunIsTrue,
    RunsOnce,
    WholeAnswers,
)

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

    def find_breaches(self, history: History) -> list[str]:
        """Return a sentence for each breach, with the check's name."""
        return [
            f"{type(check).__name__}: {breach}"
            for check in self._checks
            for breach in check.find(self._site, history)
        ]

    def assert_clean(self, history: History) -> None:
        """Raise AssertionError when a promise was broken."""
        breaches = self.find_breaches(history)
        assert not breaches, "\n".join([*breaches[:20], *_explain(history, breaches)])


def _explain(history: History, breaches: Sequence[str]) -> list[str]:
    """List what happened to the first attempt that a breach names, and all trouble."""
    named = [it for it in history.attempts if breaches and it.id in breaches[0]]
    rows = [(it.since, repr(it)) for it in history.faults]
    rows += [
        (it.at, repr(it)) for it in history.planned_changes if it.kind != "version"
    ]
    if named:
        request = named[0].request
        rows += [
            (it.sent_at, repr(it)) for it in history.attempts if it.request == request
        ]
        ids = {it.id for it in history.attempts if it.request == request}
        rows += [(it.arrived_at, repr(it)) for it in history.runs if it.attempt in ids]
    return [f"{at:.3f} {text}" for at, text in sorted(rows)]
