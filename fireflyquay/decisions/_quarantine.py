"""Quarantine of requests that crash the backend servers that run them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from fireflyquay.membership._bounds import Amount
from fireflyquay.membership._message import Message
from fireflyquay.world import BackendServerId, Fingerprint, Incarnation


class QuarantineState(StrEnum):
    """Say how a fingerprint may be dispatched."""

    CLEAR = "CLEAR"
    SUSPECT = "SUSPECT"
    QUARANTINED = "QUARANTINED"


class CrashReport(Message, frozen=True, tag="crash", array_like=True):
    """Tell what one node knows of one suspected fingerprint."""

    fingerprint: Fingerprint
    reporter: Incarnation
    # Crash id, backend server and seconds since the crash.
    crashes: tuple[tuple[str, BackendServerId, Amount], ...]
    # Crash ids that a finished run has cleared the fingerprint of.
    cleared: tuple[str, ...] = ()
    # Seconds that the reporter's own run may still take; 0 when none runs.
    running: Amount = 0.0


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Set thresholds, times and bounds."""

    # Crashes of distinct backend servers that quarantine a fingerprint.
    crash_threshold: int = 2
    # Crashes that quarantine a fingerprint whatever the backend server.
    crashes_in_all: int = 3
    # Seconds for which a crash counts.
    window: float = 900.0
    # Seconds that a run of a suspect is waited for at most.
    longest_run: float = 120.0
    # Fingerprints remembered at most.
    most_fingerprints: int = 2000
    # Crashes remembered per fingerprint at most.
    most_crashes: int = 8


@dataclass(slots=True)
class _Suspect:
    """Hold the crashes of one fingerprint."""

    # Backend server and loop time of each crash.
    crashes: dict[str, tuple[BackendServerId, float]] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    # Loop time until which a run is expected, per node that runs it.
    running: dict[Incarnation, float] = field(default_factory=dict)
    # Backend server of this node's own run.
    server: BackendServerId | None = None

    def list_counted(self) -> set[str]:
        """Return the crashes that still count."""
        return self.crashes.keys() - self.cleared


class Quarantine:
    """Count crashes per fingerprint over all nodes and single out the cause."""

    def __init__(self, own: Incarnation, settings: QuarantineSettings) -> None:
        self._own = own
        self._settings = settings
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._unreported: dict[Fingerprint, None] = {}
        self._now = 0.0

    def check(self, now: float, fingerprint: Fingerprint) -> QuarantineState:
        """Return how the fingerprint may be dispatched."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return QuarantineState.CLEAR
        counted = suspect.list_counted()
        if not counted:
            return QuarantineState.CLEAR
        if self._is_guilty(fingerprint, suspect, counted):
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def may_start(
        self, now: float, fingerprint: Fingerprint, server: BackendServerId
    ) -> bool:
        """Say whether a run may start there: suspects run alone, one at a time."""
        state = self.check(now, fingerprint)
        if state is not QuarantineState.SUSPECT:
            return state is QuarantineState.CLEAR
        suspect = self._suspects[fingerprint]
        if any(until > now for until in suspect.running.values()):
            return False
        return not any(
            other.server == server and other.running.get(self._own, 0.0) > now
            for other in self._suspects.values()
        )

    def note_started(
        self, now: float, fingerprint: Fingerprint, server: BackendServerId
    ) -> None:
        """Note a run; runs of suspects are told to the other nodes."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return
        suspect.running[self._own] = now + self._settings.longest_run
        suspect.server = server
        self._unreported[fingerprint] = None

    def note_crash(
        self,
        now: float,
        server: BackendServerId,
        crash_id: str,
        fingerprints: frozenset[Fingerprint],
    ) -> None:
        """Note that a backend server crashed while it ran the fingerprints."""
        self._now = now
        for fingerprint in sorted(fingerprints):
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            self._end_run(suspect)
            self._add(suspect, crash_id, server, now)
            self._unreported[fingerprint] = None
        self._trim()

    def note_finished(self, now: float, fingerprint: Fingerprint) -> None:
        """Note a run that ended well; it clears a suspect of its crashes."""
        state = self.check(now, fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        self._end_run(suspect)
        self._unreported[fingerprint] = None
        if state is QuarantineState.SUSPECT:
            suspect.cleared.update(suspect.crashes)

    def note_ended(self, now: float, fingerprint: Fingerprint) -> None:
        """Note a run that ended without an answer and without a crash."""
        suspect = self._find(now, fingerprint)
        if suspect is None:
            return
        self._end_run(suspect)
        self._unreported[fingerprint] = None

    def receive(self, now: float, message: CrashReport) -> None:
        """Merge a report; duplicates and any order give the same state."""
        self._now = now
        window = self._settings.window
        fresh = [crash for crash in message.crashes if 0 <= crash[2] < window]
        if not fresh:
            return
        suspect = self._suspects.setdefault(message.fingerprint, _Suspect())
        for crash_id, server, age in fresh:
            self._add(suspect, crash_id, server, now - age)
        suspect.cleared.update(suspect.crashes.keys() & set(message.cleared))
        if message.reporter != self._own:
            suspect.running[message.reporter] = now + message.running
        self._trim()

    def drain_reports(self) -> list[CrashReport]:
        """Return the reports that every live node should get."""
        reports = [
            self._report(fingerprint, self._suspects[fingerprint])
            for fingerprint in self._unreported
            if fingerprint in self._suspects
        ]
        self._unreported.clear()
        return reports

    def list_reports(self) -> list[CrashReport]:
        """Return all that is known, for a node that has just joined."""
        return [self._report(*item) for item in self._suspects.items()]

    def _is_guilty(
        self, fingerprint: Fingerprint, suspect: _Suspect, counted: set[str]
    ) -> bool:
        if len(counted) >= self._settings.crashes_in_all:
            return True
        servers = {suspect.crashes[crash][0] for crash in counted}
        if len(servers) < self._settings.crash_threshold:
            return False
        # Another that was present at every crash may be the cause instead.
        return not any(
            counted <= other.list_counted()
            for name, other in self._suspects.items()
            if name != fingerprint
        )

    def _find(self, now: float, fingerprint: Fingerprint) -> _Suspect | None:
        self._now = now
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        oldest = now - self._settings.window
        for crash in [c for c, (_, at) in suspect.crashes.items() if at <= oldest]:
            del suspect.crashes[crash]
            suspect.cleared.discard(crash)
        if suspect.crashes:
            return suspect
        del self._suspects[fingerprint]
        return None

    def _add(
        self, suspect: _Suspect, crash_id: str, server: BackendServerId, at: float
    ) -> None:
        known = suspect.crashes.get(crash_id)
        if known is None and len(suspect.crashes) >= self._settings.most_crashes:
            return
        suspect.crashes[crash_id] = (server, max(at, known[1]) if known else at)

    def _end_run(self, suspect: _Suspect) -> None:
        suspect.running.pop(self._own, None)
        suspect.server = None

    def _report(self, fingerprint: Fingerprint, suspect: _Suspect) -> CrashReport:
        crashes = tuple(
            (crash, server, self._now - at)
            for crash, (server, at) in sorted(suspect.crashes.items())
        )
        left = max(0.0, suspect.running.get(self._own, 0.0) - self._now)
        cleared = tuple(sorted(suspect.cleared))
        return CrashReport(fingerprint, self._own, crashes, cleared, left)

    def _trim(self) -> None:
        while len(self._suspects) > self._settings.most_fingerprints:
            self._suspects.popitem(last=False)
