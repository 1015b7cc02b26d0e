"""Gives requests places at backend servers, urgent ones first."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    Code,
    Incarnation,
    ServiceId,
)

from ._backend_load import TRIAL_SECONDS, BackendLoad, SlotRequestKey
from ._control_message import RunEnded
from ._grant import Decision, Grant, Refusal, SlotRequest
from ._rank_record import RankRecord
from ._return_schedule import HONOURED_SHARE, ReturnSchedule
from ._waiting_line import WaitingAsk, WaitingLine

# Seconds in which a grant reaches its owner; a lost packet takes 200 ms more.
DELIVERY_SECONDS = 0.5
# Backend servers that are compared for one request: a grant costs the same however many
# there are, and the best of so many is nearly the best of all.
MAX_CANDIDATES = 24
# Seconds after which a service without backend servers may have one again.
UNSERVED_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class GrantorSettings:
    """Tune how requests wait."""

    # Runs granted per slot of a backend server.
    window: float = 1.0
    # Weight of the time that a run holds its place, against that to its first output.
    run_weight: float = 0.2
    # Part of its objective for which a request waits for a backend server that is on
    # time while only late ones are open.
    hope_share: float = 0.3
    # Parts of its patience and of its whole time that a request may wait for a place:
    # a client that has little time left is better told at once.
    wait_share: float = 0.8
    end_share: float = 0.3
    # Part of the best served rank's share of places below which a rank goes first: all
    # kinds of requests must be served at least a quarter as often as others.
    least_share: float = 0.2
    # Part of the objective for which a request waits at most by the forecast.
    forecast_share: float = 1.0


class _ServiceQueue:
    """Hold the backend servers and waiting requests of one service."""

    def __init__(self, rng: random.Random) -> None:
        self.returns = ReturnSchedule(rng)
        self.records: defaultdict[tuple[int, int], RankRecord] = defaultdict(RankRecord)
        self.loads: dict[BackendServerId, BackendLoad] = {}
        self.waiting = WaitingLine()

    def find_starving(self, least_share: float) -> tuple[int, int] | None:
        """Return the rank that gets far less than the best served one, if any."""
        if len(self.records) < 2:
            return None
        best = max(record.granted_share for record in self.records.values())
        rank = min(self.records, key=lambda rank: self.records[rank].granted_share)
        if self.records[rank].granted_share < least_share * best:
            return rank
        return None

    def measure_failures(self) -> float:
        """Return the usual share of failures, that of the middle backend server."""
        shares = sorted(load.failure_share for load in self.loads.values())
        return shares[(len(shares) - 1) // 2]


class Grantor:
    """Decide who runs where, for all entry VMs that ask it.

    Answers load beyond the slots: engines admit in order of arrival, so requests wait
    here, in order of rank, then of those still on time, then of arrival.
    """

    def __init__(self, settings: GrantorSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._services: dict[ServiceId, _ServiceQueue] = {}
        self._where: dict[BackendServerId, ServiceId] = {}
        # Part of each backend server's slots that this grantor may give out.
        self.share = 1.0

    def set_backends(self, entries: Iterable[BackendEntry]) -> None:
        """Take the backend servers that may be given requests."""
        fresh = {entry.id: entry for entry in entries}
        for name in self._where.keys() - fresh.keys():
            service = self._services[self._where.pop(name)]
            service.loads.pop(name, None)
        for name, entry in fresh.items():
            queue = self._services.setdefault(entry.service, _ServiceQueue(self._rng))
            load = queue.loads.get(name)
            if load is None or load.entry.born_ms != entry.born_ms:
                queue.loads[name] = BackendLoad(entry)
            else:
                load.entry = entry
            self._where[name] = entry.service

    def submit(
        self, request: SlotRequest, now: float, share: float | None = None
    ) -> list[Decision]:
        """Let a request wait for a place; return all decisions that follow.

        The share is its client account's weight within its rank.
        """
        queue = self._services.get(request.service)
        if queue is None or not queue.loads:
            return [self._refuse_unserved(request)]
        settings = self._settings
        patience = min(
            settings.wait_share * request.to_give_up,
            settings.end_share * request.to_end,
        )
        latest_start = now + request.to_objective - self._forecast_least(queue, request)
        item = WaitingAsk(request, now, now + patience, latest_start, share)
        queue.waiting.add(item)
        queue.records[request.rank].note_arrival(now)
        decisions = self._advance(queue, now)
        if not item.is_over and self._is_hopeless(queue, request, now):
            queue.waiting.remove(item.key)
            decisions.append(self._give_up(queue, item, now))
        return decisions

    def withdraw(self, key: SlotRequestKey, now: float) -> list[Decision]:
        """Drop a request whose client left, waiting or running."""
        for queue in self._services.values():
            queue.waiting.remove(key)
            for load in queue.loads.values():
                if load.drop(key, now):
                    return self._advance(queue, now)
        return []

    def note_first_output(
        self, key: SlotRequestKey, backend: BackendServerId, now: float
    ):
        """Learn that a run has begun to give output."""
        load = self._find(backend)
        if load is not None:
            load.note_first_output(key, now)

    def release(
        self, owner: Incarnation, ended: RunEnded, now: float
    ) -> list[Decision]:
        """End a run and give its place to the next."""
        load = self._find(ended.backend)
        if load is None:
            return []
        load.note_end(
            (owner, ended.number),
            now,
            ended.output_tokens,
            ended.longest_gap,
            ended.failed,
        )
        queue = self._services[self._where[ended.backend]]
        if ended.failed and load.fails_more_than(queue.measure_failures()):
            load.pause(now + TRIAL_SECONDS)
        return self._advance(queue, now)

    def pause(self, backend: BackendServerId, until: float) -> None:
        """Grant nothing at a backend server for a while."""
        load = self._find(backend)
        if load is not None:
            load.pause(until)

    def adopt(
        self, backend: BackendServerId, request: SlotRequest, granted_at: float
    ) -> None:
        """Count a run that was granted elsewhere."""
        load = self._find(backend)
        if load is not None:
            load.start((request.owner, request.number), request, granted_at)

    def drop_unheld(
        self, owner: Incarnation, held: set[SlotRequestKey], now: float
    ) -> list[Decision]:
        """Drop runs that their owner does not hold, unless it may not know yet."""
        latest = now - DELIVERY_SECONDS
        decisions: list[Decision] = []
        for queue in self._services.values():
            for load in queue.loads.values():
                for key, run in list(load.runs.items()):
                    is_old = run.granted_at < latest
                    if key[0] == owner and key not in held and is_old:
                        load.drop(key, now)
            decisions += self._advance(queue, now)
        return decisions

    def forget(self, owner: Incarnation, now: float) -> list[Decision]:
        """Drop all requests of an entry VM that is gone."""
        decisions: list[Decision] = []
        for queue in self._services.values():
            queue.waiting.remove_owner(owner)
            for load in queue.loads.values():
                for key in [key for key in load.runs if key[0] == owner]:
                    load.drop(key, now)
            decisions += self._advance(queue, now)
        return decisions

    def advance(self, now: float) -> list[Decision]:
        """Grant what fits and refuse what waits in vain."""
        decisions: list[Decision] = []
        for queue in self._services.values():
            decisions += self._advance(queue, now)
            decisions += self._give_up_late(queue, now)
        return decisions

    def count_waiting(self, service: ServiceId) -> int:
        """Return how many requests wait for a service."""
        queue = self._services.get(service)
        return 0 if queue is None else len(queue.waiting)

    def count_account(self, account: ClientAccountId) -> int:
        """Return how many requests of a client account wait or run."""
        return sum(
            queue.waiting.count_account(account)
            + sum(load.count_account(account) for load in queue.loads.values())
            for queue in self._services.values()
        )

    def _find(self, backend: BackendServerId) -> BackendLoad | None:
        service = self._where.get(backend)
        return None if service is None else self._services[service].loads.get(backend)

    def _advance(self, queue: _ServiceQueue, now: float) -> list[Decision]:
        if not queue.waiting:
            return []
        usual = queue.measure_failures()
        open_loads = [
            load
            for load in queue.loads.values()
            if load.is_open(self._count_places(load), now)
            # One request at a time tries a backend server that fails.
            and not (load.runs and load.fails_more_than(usual))
        ]
        decisions: list[Decision] = []
        starving = queue.find_starving(self._settings.least_share)
        for item in queue.waiting.list_next(now, starving):
            if not open_loads:
                break
            load = self._place(open_loads, item, now)
            if load is None:
                continue
            queue.waiting.remove(item.key)
            queue.waiting.note_grant(item)
            decisions.append(self._grant(queue, load, item, now))
            if not load.is_open(self._count_places(load), now):
                open_loads.remove(load)
        for item in queue.waiting.take_expired(now):
            decisions.append(self._give_up(queue, item, now))
        return decisions

    def _give_up_late(self, queue: _ServiceQueue, now: float) -> list[Decision]:
        """Refuse the late asks of ranks that get far fewer places than they ask for.

        Answers sustained overload: those still on time take all places, and who is
        late would only wait to be refused.
        """
        decisions: list[Decision] = []
        for rank, items in queue.waiting.list_late(now).items():
            if not queue.records[rank].is_overrun(now):
                continue
            for item in items:
                queue.waiting.remove(item.key)
                decisions.append(self._give_up(queue, item, now))
        return decisions

    def _count_places(self, load: BackendLoad) -> float:
        return max(1.0, load.entry.slots * self._settings.window * self.share)

    def _place(
        self, open_loads: Sequence[BackendLoad], item: WaitingAsk, now: float
    ) -> BackendLoad | None:
        """Choose an open backend server, or none if waiting for another is better."""
        request, waited = item.request, now - item.asked_at
        candidates = open_loads
        if len(candidates) > MAX_CANDIDATES:
            candidates = self._rng.sample(open_loads, MAX_CANDIDATES)
        best: BackendLoad | None = None
        best_score = (False, 0.0, False, 0.0)
        for load in candidates:
            if load.entry.id in request.excluded:
                continue
            run_cost = self._settings.run_weight * load.forecast_run(request)
            score = (
                not load.is_on_time(request, waited, now),
                round(load.forecast_first_output(request, now) + run_cost, 3),
                load.entry.zone != request.zone,
                self._rng.random(),
            )
            if best is None or score < best_score:
                best, best_score = load, score
        is_late = best_score[0]
        if is_late and waited < self._settings.hope_share * request.to_objective:
            return None
        return best

    def _grant(
        self, queue: _ServiceQueue, load: BackendLoad, item: WaitingAsk, now: float
    ) -> Grant:
        request = item.request
        forecast = load.forecast_first_output(request, now)
        load.start(item.key, request, now)
        queue.records[request.rank].note_grant(now)
        waited = now - item.asked_at
        return Grant(request.owner, request.number, load.entry.id, waited, forecast)

    def _forecast_least(self, queue: _ServiceQueue, request: SlotRequest) -> float:
        """Return the seconds to the first output at an idle backend server."""
        load = next(iter(queue.loads.values()))
        return load.forecast_work(1, request.prompt_tokens, 0)

    def _is_hopeless(
        self, queue: _ServiceQueue, request: SlotRequest, now: float
    ) -> bool:
        """Tell whether those before the ask keep it from its objective.

        One that was refused before waits all the same: another refusal is final.
        """
        if queue.returns.is_return(request.fingerprint, now):
            return False
        waiting = queue.waiting.count(request.rank, now)
        wait = queue.records[request.rank].estimate_wait(waiting, now)
        return wait > self._settings.forecast_share * max(0.0, request.to_objective)

    def _give_up(self, queue: _ServiceQueue, item: WaitingAsk, now: float) -> Refusal:
        request = item.request
        record = queue.records[request.rank]
        record.note_refusal()
        places = sum(load.entry.slots for load in queue.loads.values()) * self.share
        average = next(iter(queue.loads.values()))
        backlog = average.forecast_work(
            len(queue.waiting), queue.waiting.prompt_tokens, queue.waiting.output_tokens
        )
        backlog, work = backlog / places, average.forecast_run(request) / places
        fingerprint = request.fingerprint
        seconds = queue.returns.book(
            fingerprint, backlog, work, request.to_end, now, record.is_overrun(now)
        )
        waited = now - item.asked_at
        reason = f"waited {waited:.2f} s among {len(queue.waiting)}"
        return Refusal(request.owner, request.number, Code.OVERLOADED, seconds, reason)

    def _refuse_unserved(self, request: SlotRequest) -> Refusal:
        seconds = min(UNSERVED_RETRY_SECONDS, HONOURED_SHARE * request.to_end)
        code, reason = Code.NO_BACKEND_SERVER, "no backend server is registered"
        return Refusal(request.owner, request.number, code, seconds, reason)
