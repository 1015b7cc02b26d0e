"""Quarantine of requests that crash backend servers, shared by all VMs."""

from __future__ import annotations

import asyncio
import random

import logbook

from fireflyquay.dispatch import (
    CrashNews,
    CrashTracker,
    SuspicionChange,
    make_stored_news,
)
from fireflyquay.world import BackendEntry, Code, Incarnation, SuspectId

from ._admission import RejectionError
from ._call import Call
from ._clock import AgeClock
from ._slot_client import Peers

LOG = logbook.Logger("quarantine")

# Seconds between sending all evidence to one other VM, which may have missed some.
SPREAD_INTERVAL_SECONDS = 1.0
_EVENTS_BY_CHANGE = {
    SuspicionChange.QUARANTINED: "suspect quarantined",
    SuspicionChange.CLEARED: "suspect cleared",
    SuspicionChange.EXPIRED: "suspect forgotten",
}


class Quarantine:
    """Keep requests from running that would crash backend servers.

    Each VM tells all others of crashes and of sound runs that clear a suspect, and
    decides by itself. Only the VM that coordinates tries whether a suspect still
    crashes backend servers.
    """

    def __init__(self, clock: AgeClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._tracker = CrashTracker()
        self._peers: Peers | None = None

    def connect(self, peers: Peers) -> None:
        """Exchange evidence with the given peers from now on."""
        self._peers = peers

    def check(self, call: Call) -> None:
        """Raise RejectionError if a request must not run."""
        refusal = self._tracker.find_refusal(
            call.suspects, self._may_try(), self._clock.read()
        )
        if refusal is None:
            return
        LOG.info(
            "refused",
            extra={
                "id": call.metadata.attempt_id,
                "suspect": refusal.suspect,
                "crashes": refusal.crash_count,
                "retry_after": round(refusal.retry_after, 2),
            },
        )
        raise RejectionError(
            Code.QUARANTINED,
            f"Requests with {refusal.suspect} crashed {refusal.crash_count} backend "
            "servers.",
            refusal.retry_after,
        )

    def begin_run(self, call: Call) -> None:
        """Check a request right before it is sent; raise RejectionError."""
        self.check(call)
        tried = self._tracker.start_trials(call.suspects, self._clock.read())
        if tried:
            LOG.info(
                "suspect tried",
                extra={"id": call.metadata.attempt_id, "suspects": tried},
            )

    def record_crash(
        self, backend: BackendEntry, suspects: tuple[SuspectId, ...]
    ) -> None:
        """Record the crash of a backend server and what had just begun there."""
        now = self._clock.read()
        news = self._tracker.record_crash(backend.id, backend.born_ms, suspects, now)
        self._broadcast(news)
        self._log_changes()

    def record_sound(self, call: Call, seconds_since_first_output: float) -> None:
        """Record that a request began well some seconds ago."""
        now = self._clock.read()
        began_at = now - seconds_since_first_output
        self._broadcast(self._tracker.record_sound(call.suspects, began_at, now))
        self._log_changes()

    def handle_news(self, news: CrashNews) -> None:
        """Merge the evidence of another VM."""
        self._broadcast(self._tracker.merge(news, self._clock.read()))
        self._log_changes()

    def send_evidence(self, target: Incarnation) -> None:
        """Send all evidence, if there is any, to another VM."""
        if self._tracker.has_evidence and self._peers is not None:
            self._peers.send(target, self._tracker.make_snapshot(self._clock.read()))

    async def spread_evidence(self) -> None:
        """Forget old evidence, and send all other to some VM, until cancelled."""
        while True:
            await asyncio.sleep(SPREAD_INTERVAL_SECONDS)
            self._tracker.expire(self._clock.read())
            self._log_changes()
            others = [] if self._peers is None else self._peers.list_others()
            if others:
                self.send_evidence(self._rng.choice(others))

    @property
    def revision(self) -> int:
        """Return the number of changes of the evidence so far."""
        return self._tracker.revision

    def make_evidence(self) -> CrashNews:
        """Return all evidence."""
        return self._tracker.make_snapshot(self._clock.read())

    def load_evidence(self, news: CrashNews, age_seconds: float) -> None:
        """Merge evidence that was stored some seconds ago."""
        self._tracker.merge(make_stored_news(news, age_seconds), self._clock.read())
        self._log_changes()

    def _may_try(self) -> bool:
        if self._peers is None:
            return True
        own = self._peers.get_own_vm().incarnation
        return self._peers.choose_coordinator() == own

    def _broadcast(self, news: CrashNews | None) -> None:
        if news is None or self._peers is None:
            return
        for target in self._peers.list_others():
            self._peers.send(target, news)

    def _log_changes(self) -> None:
        for change, suspect, crash_count in self._tracker.drain_changes():
            LOG.warning(
                _EVENTS_BY_CHANGE[change],
                extra={"suspect": suspect, "crashes": crash_count},
            )
