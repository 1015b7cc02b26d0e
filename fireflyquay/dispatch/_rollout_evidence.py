"""Statistics of a version on trial, beside the version that it replaces.

Guards against versions that fail or answer several times slower, at once or later, only
under load or on one route, beside bursts and single grey or crashed backend servers.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from fireflyquay.world import BackendServerId, SoftwareVersion

from ._rollout_messages import ServerEvidence

# Responses that take longer than this multiple of the old version's median are slow.
SLOW_FACTOR = 2.5
# The same where the old version has no responses under the same load.
UNMATCHED_SLOW_FACTOR = 4.0
# Number of the old version's latest times that the median is taken from, the least, and
# the most of the target's times that wait for it.
MAX_TIMES = 200
MIN_TIMES = 10
MAX_PENDING = 500
# Least share of bad responses that is assumed of the old version.
MIN_FAILURE_SHARE = 0.005
MIN_SLOW_SHARE = 0.05
# Responses of the old version that are assumed before any are seen.
PRIOR_RESPONSES = 20
# Least difference of the shares that makes a version bad.
MIN_FAILURE_EXCESS = 0.02
MIN_SLOW_EXCESS = 0.1
# The same for slow responses while the target has all the load: higher, since even a
# sound version answers more slowly then.
SWITCH_SLOW_EXCESS = 0.3
# Least number of bad responses that make a version bad.
MIN_BAD_RESPONSES = 4
# Natural logarithm of the improbability of as many bad responses by chance: for a
# verdict, which is considered many times a second, for holding back a switch, and for
# leaving out one backend server.
SIGNIFICANCE = math.log(1e5)
DOUBT_SIGNIFICANCE = math.log(1e3)
OUTLIER_SIGNIFICANCE = math.log(1e2)
# Seconds of the window in which a version that was sound at first is judged.
WINDOW_SECONDS = 6.0
BUCKET_SECONDS = 1.0
# Seconds after a crash in which further broken responses belong to it.
CRASH_SECONDS = 2.0
# Bounds the stored record.
MAX_STORED_CELLS = 512


class TimeKind(Enum):
    """Name a time that responses are compared by."""

    FIRST_OUTPUT = "FIRST_OUTPUT"
    EVENT = "EVENT"


class Finding(Enum):
    """State what the evidence proves of a version."""

    SOUND = "SOUND"
    # One backend server is bad, and no other has been tried enough.
    SUSPECT = "SUSPECT"
    BAD = "BAD"


CellKey = tuple[SoftwareVersion, str, BackendServerId]


@dataclass(slots=True)
class Response:
    """Hold what a response is compared by."""

    version: SoftwareVersion
    route: str
    backend: BackendServerId
    # Whether the backend server had many other runs.
    is_busy: bool
    is_slow: bool = False
    has_begun: bool = False
    # Whether it is counted among the recent responses.
    is_settled: bool = False


@dataclass(slots=True)
class Tally:
    """Count responses, and those that are bad."""

    responses: int = 0
    failures: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Add the counts of another tally."""
        self.responses += other.responses
        self.failures += other.failures
        self.slow += other.slow

    @property
    def bad(self) -> int:
        """Return the number of bad responses."""
        return self.failures + self.slow


Cells = dict[CellKey, Tally]


@dataclass(slots=True)
class Assessment:
    """Hold the finding on a version and what it rests on."""

    finding: Finding
    # Target's responses, and backend servers that sent any.
    responses: int = 0
    backends: int = 0
    # Backend servers whose own responses are bad.
    suspects: frozenset[BackendServerId] = frozenset()
    reason: str = ""
    # Why the target may be bad though that is not proven; empty if it seems sound.
    doubt: str = ""


@dataclass(slots=True)
class _Times:
    values: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_TIMES))
    median: float = 0.0

    def add(self, value: float) -> None:
        self.values.append(value)
        ordered = sorted(self.values)
        self.median = ordered[len(ordered) // 2]


class RolloutEvidence:
    """Record responses by version, route and backend server, and compare versions."""

    def __init__(self, target: SoftwareVersion) -> None:
        self._target = target
        # All that this coordinator recorded, and what of it is recent.
        self._cells: Cells = {}
        self._buckets: deque[tuple[float, Cells]] = deque()
        # Recorded by other coordinators.
        self._other_cells: Cells = {}
        self._times: defaultdict[tuple[TimeKind, str, bool], _Times] = defaultdict(
            _Times
        )
        # Times of the target that can't be compared yet.
        self._pending: deque[tuple[Response, TimeKind, float]] = deque(
            maxlen=MAX_PENDING
        )
        self._other_responses = 0
        self._crashed_at: dict[BackendServerId, float] = {}

    def record_time(
        self, response: Response, kind: TimeKind, seconds: float, now: float
    ) -> None:
        """Count a response as slow if its time is far above the old version's.

        Without times of the old version to compare with, that is decided later.
        """
        if not self._judge(response, kind, seconds, now):
            self._pending.append((response, kind, seconds))
        if response.version != self._target:
            self._times[kind, response.route, response.is_busy].add(seconds)

    def _judge(
        self, response: Response, kind: TimeKind, seconds: float, now: float
    ) -> bool:
        """Return whether times of the old version to compare with are known."""
        route = response.route
        factor, times = SLOW_FACTOR, self._times[kind, route, response.is_busy]
        if len(times.values) < MIN_TIMES:
            factor = UNMATCHED_SLOW_FACTOR
            times = self._times[kind, route, not response.is_busy]
        if len(times.values) < MIN_TIMES:
            return response.version != self._target
        if seconds > factor * times.median and not response.is_slow:
            response.is_slow = True
            self.record_begin(response, now)
            self._cells[self._make_key(response)].slow += 1
            self._settle(response, Tally(1, slow=1), now)
        return True

    def _judge_pending(self, now: float) -> None:
        pending, self._pending = self._pending, deque(maxlen=MAX_PENDING)
        for response, kind, seconds in pending:
            if not self._judge(response, kind, seconds, now):
                self._pending.append((response, kind, seconds))

    @property
    def has_comparison(self) -> bool:
        """Return whether enough responses of other versions were recorded here."""
        return self._other_responses >= MIN_TIMES

    def record_begin(self, response: Response, now: float) -> None:
        """Count a response that has begun."""
        if response.has_begun:
            return
        response.has_begun = True
        self._other_responses += response.version != self._target
        self._cells.setdefault(self._make_key(response), Tally()).responses += 1

    def record_end(self, response: Response, has_failed: bool, now: float) -> None:
        """Count a response that has ended, perhaps by a failure of the server."""
        self.record_begin(response, now)
        if has_failed and not response.is_slow:
            self._cells[self._make_key(response)].failures += 1
        self._settle(response, Tally(1, int(has_failed)), now)

    def record_crash(self, response: Response, now: float) -> None:
        """Count the crash of a server as one failure, however many responses broke."""
        crashed_at = self._crashed_at.get(response.backend, -math.inf)
        is_first = now - crashed_at >= CRASH_SECONDS
        if is_first:
            self._crashed_at[response.backend] = now
        self.record_end(response, is_first, now)

    def adopt(self, parts: Iterable[tuple[ServerEvidence, ...]]) -> None:
        """Replace what other coordinators recorded."""
        self._other_cells = {}
        for part in parts:
            for it in part:
                key = (it.version, it.route, it.backend)
                tally = Tally(it.responses, it.failures, it.slow)
                self._other_cells.setdefault(key, Tally()).add(tally)

    def make_stored(self) -> tuple[ServerEvidence, ...]:
        """Return what this coordinator recorded; the most frequent cells first."""
        cells = sorted(self._cells.items(), key=lambda it: -it[1].responses)
        return tuple(
            ServerEvidence(*key, it.responses, it.failures, it.slow)
            for key, it in cells[:MAX_STORED_CELLS]
        )

    def count_target(self, excluded: Collection[BackendServerId] = ()) -> Tally:
        """Return the counts of the target on all routes; without some servers."""
        return _sum(
            tally
            for key, tally in self._merge_all().items()
            if key[0] == self._target and key[2] not in excluded
        )

    def count_fresh(self, since: float) -> int:
        """Return the target's responses that were recorded here since a loop time."""
        return _sum(
            tally
            for at, cells in self._buckets
            if at >= since
            for key, tally in cells.items()
            if key[0] == self._target
        ).responses

    def assess(
        self, target_servers: int, now: float, slow_excess: float = MIN_SLOW_EXCESS
    ) -> Assessment:
        """Compare the target with the old version, as a whole and recently.

        ``target_servers`` is the number of its backend servers that accept requests,
        ``slow_excess`` the least difference of the shares of slow responses.
        """
        self._judge_pending(now)
        whole = self._merge_all()
        recent = self._merge_recent(now)
        assessment = self._assess_cells(whole, target_servers, slow_excess)
        if assessment.finding is Finding.BAD:
            return assessment
        latest = self._assess_cells(recent, target_servers, slow_excess)
        if latest.finding is not Finding.SOUND:
            assessment.finding, assessment.reason = latest.finding, latest.reason
        assessment.suspects |= latest.suspects
        assessment.doubt = assessment.doubt or latest.doubt
        return assessment

    def _assess_cells(
        self, cells: Cells, target_servers: int, slow_excess: float
    ) -> Assessment:
        old: defaultdict[str, Tally] = defaultdict(Tally)
        by_server: defaultdict[BackendServerId, dict[str, Tally]] = defaultdict(dict)
        for (version, route, backend), tally in cells.items():
            if version == self._target:
                by_server[backend][route] = tally
            else:
                old[route].add(tally)
        sums = {it: _sum(routes.values()) for it, routes in by_server.items()}
        result = Assessment(
            Finding.SOUND, sum(it.responses for it in sums.values()), len(sums)
        )
        reasons = {
            it: _find_fault(routes, old, SIGNIFICANCE, slow_excess)
            for it, routes in by_server.items()
        }
        result.suspects = frozenset(it for it, reason in reasons.items() if reason)
        if not sums:
            return result
        worst = max(sums, key=lambda it: (sums[it].bad, it))
        is_left_out = _is_outlier(
            sums[worst], _sum(it for name, it in sums.items() if name != worst)
        )
        others: dict[str, Tally] = {}
        for backend, routes in by_server.items():
            if backend == worst and is_left_out:
                continue
            for route, tally in routes.items():
                others.setdefault(route, Tally()).add(tally)
        fault = _find_fault(others, old, SIGNIFICANCE, slow_excess)
        result.doubt = _find_fault(others, old, DOUBT_SIGNIFICANCE, slow_excess)
        if not fault and result.suspects and target_servers <= 1:
            fault = reasons[worst]
        if fault:
            result.finding, result.reason = Finding.BAD, fault
        elif result.suspects:
            result.finding = Finding.SUSPECT
            result.reason = f"{worst}: {reasons[worst]}"
        return result

    def _make_key(self, response: Response) -> CellKey:
        is_target = response.version == self._target
        # Servers of other versions are compared as a whole.
        backend = response.backend if is_target else BackendServerId("")
        return response.version, response.route, backend

    def _settle(self, response: Response, tally: Tally, now: float) -> None:
        """Count a response among the recent ones, together with what it proves."""
        if response.is_settled:
            return
        response.is_settled = True
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_SECONDS:
            self._buckets.append((now, {}))
        cells = self._buckets[-1][1]
        cells.setdefault(self._make_key(response), Tally()).add(tally)
        while now - self._buckets[0][0] > WINDOW_SECONDS:
            self._buckets.popleft()

    def _merge_all(self) -> Cells:
        return _merge_cells([self._cells, self._other_cells])

    def _merge_recent(self, now: float) -> Cells:
        return _merge_cells(
            cells for at, cells in self._buckets if now - at <= WINDOW_SECONDS
        )


def _merge_cells(groups: Iterable[Cells]) -> Cells:
    merged: Cells = {}
    for cells in groups:
        for key, tally in cells.items():
            merged.setdefault(key, Tally()).add(tally)
    return merged


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for it in tallies:
        total.add(it)
    return total


def _find_fault(
    routes: dict[str, Tally],
    old: dict[str, Tally],
    significance: float,
    slow_excess: float,
) -> str:
    """Return on which route responses are worse than the old ones; empty if on none."""
    for kind, floor, excess in (
        ("failures", MIN_FAILURE_SHARE, MIN_FAILURE_EXCESS),
        ("slow", MIN_SLOW_SHARE, slow_excess),
    ):
        usual_count, total = 0.0, _sum(routes.values())
        for route, tally in routes.items():
            usual = _compute_usual_share(old.get(route, Tally()), kind, floor)
            usual_count += usual * tally.responses
            bad = getattr(tally, kind)
            if _is_worse(bad, tally.responses, usual, excess, significance):
                return f"{bad} of {tally.responses} {kind} on route {route}"
        bad, usual = getattr(total, kind), usual_count / max(1, total.responses)
        if _is_worse(bad, total.responses, usual, excess, significance):
            return f"{bad} of {total.responses} {kind} on all routes"
    return ""


def _is_outlier(worst: Tally, others: Tally) -> bool:
    """Return whether one server's responses may be bad though the others' are not."""
    if others.responses < max(MIN_TIMES, worst.responses / 2):
        return True
    usual = (others.bad + 1) / (others.responses + PRIOR_RESPONSES)
    return _is_worse(worst.bad, worst.responses, usual, 0.0, OUTLIER_SIGNIFICANCE)


def _compute_usual_share(old: Tally, kind: str, floor: float) -> float:
    bad = getattr(old, kind)
    return max(floor, (bad + 1) / (old.responses + PRIOR_RESPONSES))


def _is_worse(
    bad: int, count: int, usual: float, min_excess: float, significance: float
) -> bool:
    """Return whether bad responses are surely more frequent than with the old version.

    Uses the Chernoff bound of a binomial distribution.
    """
    if bad < MIN_BAD_RESPONSES:
        return False
    share = min(1.0, bad / max(1, count))
    if usual >= 1.0 or share < usual + min_excess:
        return False
    divergence = share * math.log(share / usual)
    if share < 1.0:
        divergence += (1 - share) * math.log((1 - share) / (1 - usual))
    return count * divergence >= significance
