"""Evidence of what crashes backend servers, and the quarantine that follows from it."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from fireflyquay.world import (
    MAX_COUNT,
    BackendServerId,
    Fingerprint,
    PromptPartId,
    SuspectId,
)

from ._control_message import CrashNews, CrashRecord, QuarantineRecord

# Crashes without a sound run after which a suspect is quarantined: for one of which no
# sound run is known, and for one that has had sound runs.
CRASH_LIMIT = 3
CRASH_LIMIT_AFTER_SOUND_RUNS = 6
# Number of crashes from which a suspect with sound runs is close to its limit, so that
# all VMs tell of newer ones.
CRASHES_NEAR_LIMIT = 4
# Seconds after its first output for which a run counts as just begun.
BEGINNING_SECONDS = 1.0
# Seconds for which crashes count.
EVIDENCE_SECONDS = 600.0
# Seconds from the last crash until a quarantined suspect may be tried, doubled with
# each crash beyond the limit, up to a maximum.
MIN_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 3600.0
# Seconds that a trial may take; no other one starts before.
TRIAL_SECONDS = 10.0
# Reports of a crash of one backend server within these seconds are of the same crash.
SAME_CRASH_SECONDS = 1.0
# Most by which the clocks of two VMs differ.
MAX_CLOCK_SKEW_SECONDS = 5.0
# Bounds of the memory.
MAX_CRASHES = 256
MAX_SUSPECTS_PER_CRASH = 512
MAX_SOUND_SUSPECTS = 4096
MAX_QUARANTINED_SUSPECTS = 1024

REQUEST_SUSPECT = "request "
PART_SUSPECT = "part "


class SuspicionChange(StrEnum):
    """Name a change of what is held against a suspect."""

    QUARANTINED = "QUARANTINED"
    # Sound after all.
    CLEARED = "CLEARED"
    # Not requested again for a long time.
    EXPIRED = "EXPIRED"


@dataclass(frozen=True, slots=True)
class QuarantineRefusal:
    """Hold why a request is refused, and after how many seconds to retry."""

    suspect: SuspectId
    crash_count: int
    retry_after: float


@dataclass(slots=True)
class _Crash:
    backend: BackendServerId
    born_ms: int
    at: float
    suspects: set[SuspectId]
    # Whether its time comes from the store.
    is_stored: bool = False

    def make_record(self, suspects: Iterable[SuspectId], now: float) -> CrashRecord:
        """Return the crash as sent to other VMs, with some of its suspects."""
        return CrashRecord(
            self.backend,
            self.born_ms,
            now - self.at,
            tuple(suspects),
            self.is_stored,
        )


@dataclass(slots=True)
class _Quarantine:
    crash_count: int
    last_crash_at: float
    # Time until which a trial is in progress.
    trial_until: float = -math.inf

    @property
    def interval(self) -> float:
        """Return the seconds from the last crash to the next trial."""
        doublings = min(self.crash_count - CRASH_LIMIT, 16)
        return min(MAX_QUARANTINE_SECONDS, MIN_QUARANTINE_SECONDS * 2.0**doublings)

    @property
    def retry_at(self) -> float:
        """Return the time from which a trial may start."""
        return max(self.last_crash_at + self.interval, self.trial_until)

    @property
    def expires_at(self) -> float:
        """Return the time at which the suspect is forgotten unless it crashes again."""
        return self.last_crash_at + 2 * self.interval

    def is_recent(self, now: float) -> bool:
        """Return whether it lasts long enough to be adopted from other VMs.

        Otherwise news in transit would renew what has just been forgotten.
        """
        return now + TRIAL_SECONDS <= self.expires_at


def list_suspects(
    fingerprint: Fingerprint, shared_parts: Iterable[PromptPartId]
) -> tuple[SuspectId, ...]:
    """Return what may make a request crash servers: itself, or a shared part."""
    parts = dict.fromkeys(SuspectId(PART_SUSPECT + it) for it in shared_parts)
    return SuspectId(REQUEST_SUSPECT + fingerprint), *parts


class CrashTracker:
    """Find out what requests that crash backend servers have in common.

    A crash ends all runs of its backend server, so all that had just begun are
    suspected. A suspect is quarantined after several crashes if no run with it has
    begun well since the first of them. A crash that a quarantined suspect explains
    counts against no other. Evidence is merged in any order, and all VMs that have the
    same evidence hold the same beliefs. Times are in seconds on the suspend-aware
    clock.
    """

    def __init__(self) -> None:
        # Oldest first.
        self._crashes: deque[_Crash] = deque()
        # Number of crashes by suspect since its last sound run, without those that a
        # quarantined suspect explains.
        self._crash_counts: Counter[SuspectId] = Counter()
        self._quarantined: dict[SuspectId, _Quarantine] = {}
        # Latest begin of a sound run, as all VMs know it, and as this one has seen it.
        self._sound_at: OrderedDict[SuspectId, float] = OrderedDict()
        self._own_sound_at: OrderedDict[SuspectId, float] = OrderedDict()
        self._changes: list[tuple[SuspicionChange, SuspectId, int]] = []
        # Number of changes of the evidence so far.
        self.revision = 0

    @property
    def has_evidence(self) -> bool:
        """Return whether any crash or quarantine is remembered."""
        return bool(self._crashes or self._quarantined)

    def record_crash(
        self,
        backend: BackendServerId,
        born_ms: int,
        suspects: tuple[SuspectId, ...],
        now: float,
    ) -> CrashNews:
        """Record what had just begun at a crash; return the news for other VMs."""
        record = CrashRecord(backend, born_ms, 0.0, suspects)
        self._merge_crash(record, now)
        for suspect in suspects:
            self._share_own_sound(suspect)
        self._update(now)
        return CrashNews((record,), self._make_sound_records(suspects, now), ())

    def record_sound(
        self, suspects: Iterable[SuspectId], began_at: float, now: float
    ) -> CrashNews | None:
        """Record a run that began well; return news if they may clear a suspect."""
        # Few requests come twice, so a request is remembered only under suspicion.
        remembered = [
            suspect
            for suspect in suspects
            if suspect.startswith(PART_SUSPECT) or self._is_suspected(suspect)
        ]
        for suspect in remembered:
            _raise_time(self._own_sound_at, suspect, began_at)
        return self._share_useful_sound(remembered, now)

    def merge(self, news: CrashNews, now: float) -> CrashNews | None:
        """Merge news of another VM; return what this one can add for all."""
        for suspect, age in news.sound:
            _raise_time(self._sound_at, suspect, now - age)
        for record in news.crashes:
            self._merge_crash(record, now)
        for quarantine in news.quarantined:
            self._merge_quarantine(quarantine, now)
        self._update(now)
        suspects = {it for record in news.crashes for it in record.suspects}
        return self._share_useful_sound(suspects, now)

    def make_snapshot(self, now: float) -> CrashNews:
        """Return all evidence for a VM that may lack some."""
        open_suspects = {
            id(crash): self._list_open_suspects(crash) for crash in self._crashes
        }
        crashes = tuple(
            crash.make_record(open_suspects[id(crash)], now)
            for crash in self._crashes
            if open_suspects[id(crash)]
        )
        suspects = {it for record in crashes for it in record.suspects}
        quarantined = tuple(
            QuarantineRecord(suspect, it.crash_count, now - it.last_crash_at)
            for suspect, it in self._quarantined.items()
        )
        return CrashNews(crashes, self._make_sound_records(suspects, now), quarantined)

    def find_refusal(
        self, suspects: Iterable[SuspectId], may_try: bool, now: float
    ) -> QuarantineRefusal | None:
        """Return why a request must not run, or None if it may."""
        for suspect in suspects:
            quarantine = self._quarantined.get(suspect)
            if quarantine is None or (may_try and now >= quarantine.retry_at):
                continue
            retry_after = max(TRIAL_SECONDS, quarantine.retry_at - now)
            return QuarantineRefusal(suspect, quarantine.crash_count, retry_after)
        return None

    def start_trials(
        self, suspects: Iterable[SuspectId], now: float
    ) -> tuple[SuspectId, ...]:
        """Let one request with quarantined suspects run; return these suspects."""
        tried = tuple(it for it in suspects if it in self._quarantined)
        for suspect in tried:
            self._quarantined[suspect].trial_until = now + TRIAL_SECONDS
        return tried

    def expire(self, now: float) -> None:
        """Forget old evidence."""
        while self._crashes and now - self._crashes[0].at > EVIDENCE_SECONDS:
            self._crashes.popleft()
        for suspect, quarantine in list(self._quarantined.items()):
            if now > quarantine.expires_at:
                self._release(suspect, SuspicionChange.EXPIRED)
                self._forget(suspect)

    def drain_changes(self) -> list[tuple[SuspicionChange, SuspectId, int]]:
        """Return and clear the changes of belief, with the numbers of crashes."""
        changes, self._changes = self._changes, []
        return changes

    def _merge_crash(self, record: CrashRecord, now: float) -> None:
        if record.age_seconds > EVIDENCE_SECONDS:
            return
        crash = self._find_or_add_crash(record, now - record.age_seconds)
        room = MAX_SUSPECTS_PER_CRASH - len(crash.suspects)
        crash.suspects.update(record.suspects[: max(0, room)])

    def _find_or_add_crash(self, record: CrashRecord, at: float) -> _Crash:
        for crash in reversed(self._crashes):
            is_same_run = (crash.backend, crash.born_ms) == (
                record.backend,
                record.born_ms,
            )
            has_stored_time = record.is_stored or crash.is_stored
            error = MAX_CLOCK_SKEW_SECONDS if has_stored_time else 0.0
            if is_same_run and abs(crash.at - at) < SAME_CRASH_SECONDS + error:
                return crash
        new = _Crash(record.backend, record.born_ms, at, set(), record.is_stored)
        self.revision += 1
        self._crashes.append(new)
        self._crashes = deque(sorted(self._crashes, key=lambda it: it.at))
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popleft()
        return new

    def _merge_quarantine(self, record: QuarantineRecord, now: float) -> None:
        last_crash_at = now - record.age_seconds
        if self._sound_at.get(record.suspect, -math.inf) > last_crash_at:
            return
        known = self._quarantined.get(record.suspect)
        if known is None:
            new = _Quarantine(record.crash_count, last_crash_at)
            if new.is_recent(now):
                self._quarantine(record.suspect, new)
            return
        known.crash_count = max(known.crash_count, record.crash_count)
        # Time in transit makes a crash that is known seem a little later.
        if last_crash_at - known.last_crash_at > SAME_CRASH_SECONDS:
            known.last_crash_at = last_crash_at

    def _update(self, now: float) -> None:
        """Recompute the quarantine from the evidence."""
        self.expire(now)
        for suspect, quarantine in list(self._quarantined.items()):
            crashed_at = self._list_crash_times(suspect)
            quarantine.crash_count = max(quarantine.crash_count, len(crashed_at))
            quarantine.last_crash_at = max([quarantine.last_crash_at, *crashed_at])
            if self._sound_at.get(suspect, -math.inf) > quarantine.last_crash_at:
                self._release(suspect, SuspicionChange.CLEARED)
        while culprits := self._find_culprits():
            for suspect, count in culprits.items():
                last_crash_at = max(self._list_crash_times(suspect))
                quarantine = _Quarantine(count, last_crash_at)
                if quarantine.is_recent(now):
                    self._quarantine(suspect, quarantine)
                else:
                    self._forget(suspect)

    def _find_culprits(self) -> dict[SuspectId, int]:
        """Return the suspects in most unexplained crashes if these are enough.

        Those that have had sound runs come last.
        """
        self._crash_counts = self._count_unexplained_crashes()
        over_limit = {
            suspect: count
            for suspect, count in self._crash_counts.items()
            if count >= self._get_limit(suspect)
        }
        if not over_limit:
            return {}
        ranks = {
            suspect: (suspect not in self._sound_at, count)
            for suspect, count in over_limit.items()
        }
        highest = max(ranks.values())
        return {it: over_limit[it] for it, rank in ranks.items() if rank == highest}

    def _count_unexplained_crashes(self) -> Counter[SuspectId]:
        """Count crashes since the last sound run that no quarantine explains."""
        counts: Counter[SuspectId] = Counter()
        for crash in self._crashes:
            if crash.suspects.isdisjoint(self._quarantined):
                counts.update(self._list_open_suspects(crash))
        return counts

    def _list_open_suspects(self, crash: _Crash) -> list[SuspectId]:
        """Return those that may have caused a crash as far as is known."""
        culprits = crash.suspects & self._quarantined.keys()
        return [
            suspect
            for suspect in culprits or crash.suspects
            if self._sound_at.get(suspect, -math.inf) < crash.at
        ]

    def _list_crash_times(self, suspect: SuspectId) -> list[float]:
        return [crash.at for crash in self._crashes if suspect in crash.suspects]

    def _is_suspected(self, suspect: SuspectId) -> bool:
        return suspect in self._quarantined or bool(self._crash_counts[suspect])

    def _get_limit(self, suspect: SuspectId) -> int:
        is_known_sound = suspect in self._sound_at
        return CRASH_LIMIT_AFTER_SOUND_RUNS if is_known_sound else CRASH_LIMIT

    def _share_useful_sound(
        self, suspects: Iterable[SuspectId], now: float
    ) -> CrashNews | None:
        """Return sound runs that others lack and that may clear one of the suspects."""
        shared = [
            suspect
            for suspect in suspects
            if self._is_useful_to_clear(suspect) and self._share_own_sound(suspect)
        ]
        if not shared:
            return None
        self._update(now)
        return CrashNews((), self._make_sound_records(shared, now), ())

    def _is_useful_to_clear(self, suspect: SuspectId) -> bool:
        if not self._is_suspected(suspect):
            return False
        is_close = self._crash_counts[suspect] >= CRASHES_NEAR_LIMIT
        return is_close or suspect in self._quarantined or suspect not in self._sound_at

    def _share_own_sound(self, suspect: SuspectId) -> bool:
        """Adopt the sound run that this VM has seen; return whether it is news."""
        began_at = self._own_sound_at.get(suspect, -math.inf)
        if began_at <= self._sound_at.get(suspect, -math.inf):
            return False
        _raise_time(self._sound_at, suspect, began_at)
        return True

    def _make_sound_records(
        self, suspects: Iterable[SuspectId], now: float
    ) -> tuple[tuple[SuspectId, float], ...]:
        return tuple(
            (suspect, now - self._sound_at[suspect])
            for suspect in suspects
            if suspect in self._sound_at
        )

    def _forget(self, suspect: SuspectId) -> None:
        for crash in self._crashes:
            crash.suspects.discard(suspect)

    def _quarantine(self, suspect: SuspectId, quarantine: _Quarantine) -> None:
        self._quarantined[suspect] = quarantine
        self.revision += 1
        change = (SuspicionChange.QUARANTINED, suspect, quarantine.crash_count)
        self._changes.append(change)

    def _release(self, suspect: SuspectId, reason: SuspicionChange) -> None:
        quarantine = self._quarantined.pop(suspect)
        self.revision += 1
        self._changes.append((reason, suspect, quarantine.crash_count))


class EvidenceRecord(msgspec.Struct, frozen=True):
    """Hold evidence as stored; its ages count from the time of day it was written."""

    written_ms: float = 0.0
    news: CrashNews = CrashNews((), (), ())


def make_stored_news(news: CrashNews, age_seconds: float) -> CrashNews:
    """Return evidence that was stored some seconds ago, with its present ages.

    What the store holds is bounded here, since anybody may have written it.
    """
    return CrashNews(
        tuple(
            CrashRecord(
                it.backend,
                it.born_ms,
                max(0.0, it.age_seconds) + age_seconds,
                it.suspects[:MAX_SUSPECTS_PER_CRASH],
                True,
            )
            for it in news.crashes[-MAX_CRASHES:]
            if 0 <= it.born_ms <= MAX_COUNT
        ),
        tuple(
            (suspect, max(0.0, age) + age_seconds)
            for suspect, age in news.sound[:MAX_SOUND_SUSPECTS]
        ),
        tuple(
            QuarantineRecord(
                it.suspect, it.crash_count, max(0.0, it.age_seconds) + age_seconds
            )
            for it in news.quarantined[:MAX_QUARANTINED_SUSPECTS]
            if 0 <= it.crash_count <= MAX_COUNT
        ),
    )


def _raise_time(
    times: OrderedDict[SuspectId, float], suspect: SuspectId, at: float
) -> None:
    """Raise the time of a suspect; forget those that were raised longest ago."""
    times[suspect] = max(at, times.get(suspect, -math.inf))
    times.move_to_end(suspect)
    while len(times) > MAX_SOUND_SUSPECTS:
        times.popitem(last=False)
