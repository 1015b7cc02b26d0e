"""Scheduler that assigns slots on backend servers to requests."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec.structs import replace

from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    Incarnation,
    ServiceId,
    SoftwareVersion,
)

from ._backend_beliefs import BackendBeliefs
from ._backend_load import FAILING_BACKEND_PAUSE_SECONDS, BackendLoad, SlotRequestKey
from ._control_message import BackendNews, BackendPause, RunEnded
from ._machine_load import MachineLoads, MachineReading
from ._placement import Placement, PlacementSettings
from ._refusal_policy import (
    RefusalCause,
    RefusalPolicy,
    make_failure_refusal,
    make_no_backend_refusal,
    make_room_refusal,
    make_version_refusal,
)
from ._refused_requests import RefusedRequests
from ._rollout_placement import RolloutPlacement
from ._rollouts import Rollouts
from ._service_state import ServiceState
from ._slot_messages import Decision, Grant, Refusal, SlotRequest
from ._slot_queue import QueuedRequest
from ._stream_origins import StreamOrigin, StreamOrigins
from ._zone_preference import ZonePreference

# Time within which a grant reaches the requesting VM, even if a lost packet delays it
# by 200 ms.
MAX_GRANT_DELIVERY_SECONDS = 0.5
# Time within which a backend server that refused connections has registered its new
# process, or has lost its registration.
DOUBT_SECONDS = 4.0
# Seconds for which a backend server gets nothing from any VM after it has requested a
# rest from one.
MAX_SHARED_REST_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class SlotSchedulerSettings:
    """Hold the parameters of queueing, refusal and placement."""

    # Runs granted per slot of a backend server.
    runs_per_slot: float = 1.0
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    # Fractions of the time until the client gives up, and until the deadline, for which
    # a request may wait for a slot: a client with little time left is better refused at
    # once.
    max_give_up_wait_share: float = 0.8
    max_deadline_wait_share: float = 0.3
    # If a rank's granted share is below this fraction of the best served rank's, one
    # request of it precedes all others in each pass: each rank must be served at least
    # a quarter as often as others.
    min_grant_share: float = 0.2
    # A request is refused on arrival if its forecast wait exceeds this fraction of its
    # latency objective.
    max_forecast_wait_share: float = 1.0


class SlotScheduler:
    """Assign slots on backend servers to the requests of several entry VMs.

    Guards against load beyond the slots: engines serve requests in order of arrival, so
    requests beyond the slots wait here instead, ordered by rank, lateness, weighted
    usage and arrival.
    """

    def __init__(
        self,
        settings: SlotSchedulerSettings,
        rng: random.Random,
        rollouts: Rollouts | None = None,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._settings = settings
        self.errors = errors or UnexpectedErrors()
        # Software versions that may be granted.
        self.rollouts = rollouts or Rollouts(Incarnation(""))
        self._rng = rng
        self._placement = Placement(settings.placement, rng, self._list_service_loads)
        self._states: dict[ServiceId, ServiceState] = {}
        self._services_by_backend: dict[BackendServerId, ServiceId] = {}
        # Includes those that were refused for the quota of their client account.
        self.refused_requests = RefusedRequests()
        self._refusals = RefusalPolicy(
            self.refused_requests, settings.max_forecast_wait_share
        )
        # Fraction of the slots of each backend server that this scheduler may grant.
        self.share = 1.0
        # Fraction of each stated request limit that it may grant.
        self.limit_share = 1.0
        # Where the streams began whose runs are known here.
        self.origins = StreamOrigins()
        # What responses of backend servers state.
        self.beliefs = BackendBeliefs(rng)
        # How slow responses state their machines to be.
        self.machines = MachineLoads()

    def set_backends(self, entries: Iterable[BackendEntry]) -> None:
        """Replace the backend servers that may receive requests, if they have slots."""
        entries_by_id = {entry.id: entry for entry in entries if entry.slots > 0}
        self.rollouts.set_backends(entries_by_id.values())
        for backend_id, service in tuple(self._services_by_backend.items()):
            entry = entries_by_id.get(backend_id)
            if entry is not None and entry.service == service:
                continue
            # A process may start again under its id for another service.
            del self._services_by_backend[backend_id]
            state = self._states[service]
            state.loads.pop(backend_id, None)
            state.has_lost_backends = True
        for backend_id, entry in entries_by_id.items():
            state = self._states.setdefault(entry.service, ServiceState(self._rng))
            load = state.loads.get(backend_id)
            if load is None or load.entry.born_ms != entry.born_ms:
                others = [it.entry for it in state.loads.values()]
                if load is not None and load.runs:
                    granted_at = max(it.granted_at for it in load.runs.values())
                    state.room.record_crash(load, granted_at)
                self.beliefs.inherit(entry, others)
                machine = self.machines.track_machine(entry.service)
                state.loads[backend_id] = BackendLoad(entry, machine=machine)
                self._apply_beliefs(state.loads[backend_id])
                state.has_lost_backends = True
            else:
                load.entry = entry
            self._services_by_backend[backend_id] = entry.service

    def submit(
        self,
        request: SlotRequest,
        now: float,
        weight: float | None = None,
        memory_tokens: float = math.inf,
    ) -> list[Decision]:
        """Enqueue a request; return all new decisions.

        ``weight`` is the weight of its client account within its rank, and
        ``memory_tokens`` what each backend server of its service holds.
        """
        state = self._states.get(request.service)
        if state is None or not state.loads:
            return [make_no_backend_refusal(request)]
        if state.is_version_gone(request):
            return [make_version_refusal(request)]
        state.room.stated_tokens = memory_tokens
        if request.total_tokens > memory_tokens:
            return [make_room_refusal(request, memory_tokens)]
        was_refused = self.refused_requests.was_refused_recently(
            request.fingerprint, now
        )
        request, first_arrived_at = self._recognize_retry(request, now)
        max_wait = self._compute_max_wait(request)
        statistics = state.ranks[request.rank]
        if first_arrived_at is None:
            statistics.record_arrival(now, request.latency_objective)
        latest_start = now + statistics.compute_on_time_wait(
            request.seconds_to_objective
        )
        arrived_at = now - request.age if first_arrived_at is None else first_arrived_at
        item = QueuedRequest(
            request, now, now + max_wait, latest_start, weight, arrived_at
        )
        state.queue.add(item)
        decisions = self._assign_slots(state, now)
        cause = None
        # The client of a request that was refused before treats another refusal as
        # final.
        if not item.is_done and not was_refused:
            with self.errors.contain("forecast of a wait", id=request.attempt_id):
                cause = self._refusals.find_cause(state, request, self.limit_share, now)
        if cause is not None:
            state.queue.remove(item.key)
            decisions.append(self._refuse(state, item, cause, now))
        return decisions

    def _compute_max_wait(self, request: SlotRequest) -> float:
        """Return the seconds after which a request that still waits is refused.

        A refusal costs the client of a stream that has begun what it has received, and
        can't be told by a status, so such a stream waits for as long as it may run.
        """
        if request.has_begun:
            return request.seconds_of_use
        return min(
            self._settings.max_give_up_wait_share * request.seconds_of_use,
            self._settings.max_deadline_wait_share * request.seconds_to_deadline,
        )

    def _recognize_retry(
        self, request: SlotRequest, now: float
    ) -> tuple[SlotRequest, float | None]:
        """Return the request with what its client has left of its objective.

        Also returns the loop time of the client's first attempt if this is a retry.
        """
        first_arrived_at = self.refused_requests.match_retry(request.fingerprint, now)
        if first_arrived_at is None:
            return request, None
        missed = now - request.age - first_arrived_at
        seconds = request.seconds_to_objective - missed
        return replace(request, seconds_to_objective=seconds), first_arrived_at

    def cancel(self, key: SlotRequestKey, now: float) -> list[Decision]:
        """Cancel a waiting or running request."""
        with self.errors.contain("roll-outs after a cancellation"):
            self.rollouts.discard(key)
        for state in self._states.values():
            state.queue.remove(key)
            for load in state.loads.values():
                if load.discard_run(key, now):
                    return self._assign_slots(state, now)
        return []

    def record_first_output(
        self,
        key: SlotRequestKey,
        backend: BackendServerId,
        now: float,
        version: SoftwareVersion | None = None,
        reading: MachineReading | None = None,
    ) -> None:
        """Record that a run has produced its first output, and so where it began.

        A grant alone tells nothing: it may come too late for its VM to use it.
        """
        with self.errors.contain("roll-outs after a first output"):
            self.rollouts.record_first_output(key, now)
        load = self._find_load(backend)
        run = None if load is None else load.runs.get(key)
        if load is None or run is None:
            return
        is_first = run.first_output_at is None
        with self.errors.contain("speed after a first output", backend=backend):
            load.record_first_output(key, now, reading)
        if is_first:
            self._record_origin(run.request, version or load.entry.version, now)
            self.origins.record_begin(run.request.stream, now)
            state = self._states[run.request.service]
            state.ranks[run.request.rank].record_first_output(now - run.granted_at)

    def end_run(
        self, owner: Incarnation, ended: RunEnded, now: float
    ) -> list[Decision]:
        """End a run and grant its slot to the next request."""
        key = (owner, ended.number)
        with self.errors.contain("roll-outs after a run"):
            self.rollouts.record_end(key, ended, now)
        load = self._find_load(ended.backend)
        if load is None:
            return []
        state = self._states[self._services_by_backend[ended.backend]]
        with self.errors.contain("speed after a run", backend=ended.backend):
            self._learn_from_end(state, load, key, ended, now)
        load.discard_run(key, now)
        return self._assign_slots(state, now)

    def _learn_from_end(
        self,
        state: ServiceState,
        load: BackendLoad,
        key: SlotRequestKey,
        ended: RunEnded,
        now: float,
    ) -> None:
        """Update what is known of a backend server and a rank from the end of a run."""
        if not (ended.has_run or ended.failed):
            # The time to a refusal is no run's.
            return
        run = load.runs.get(key)
        if run is not None and not ended.failed:
            state.room.record_success(load.held_tokens)
        load.record_end(
            key,
            now,
            ended.event_count,
            ended.longest_gap,
            ended.failed,
            ended.reading,
        )
        if run is not None and run.first_output_at is None and not ended.failed:
            # A plain response reports no first output.
            state.ranks[run.request.rank].record_first_output(now - run.granted_at)
        if ended.failed and load.is_failing(state.compute_median_failure_rate()):
            load.pause(now + FAILING_BACKEND_PAUSE_SECONDS)

    def pause(
        self, backend: BackendServerId, until: float, may_restart: bool, now: float
    ) -> None:
        """Suspend grants on a backend server until the given loop time.

        If it may restart, no stream continues there until its registration is surely
        that of the process that answers.
        """
        load = self._find_load(backend)
        if load is not None:
            load.pause(until)
            if may_restart:
                state = self._states[load.entry.service]
                state.room.record_crash(load, now)
                load.doubted_until = now + DOUBT_SECONDS

    def record_rejection(
        self, backend: BackendServerId, key: SlotRequestKey, now: float
    ) -> None:
        """Record that a backend server had no free slot for a granted request.

        A brittle one may hold fewer runs than it has slots; its occupancy limit
        follows rejections itself.
        """
        load = self._find_load(backend)
        if load is not None and load.occupancy_limit is None:
            load.record_rejection(key, now)

    def count_unknown_runs(self, now: float) -> int:
        """Return the slots that are occupied by runs not known here."""
        return sum(load.unknown_runs.count(now) for load in self._list_loads())

    def get_most_held_tokens(self) -> int:
        """Return the most tokens that the runs of one backend server hold."""
        return max((load.held_tokens for load in self._list_loads()), default=0)

    def count_reduced_rooms(self, now: float) -> int:
        """Return the services whose room was learned to be less than stated."""
        rooms = [state.room for state in self._states.values()]
        return sum(it.get_limit(now) < it.stated_tokens for it in rooms)

    def rest(
        self, backend: BackendServerId, vm: Incarnation, seconds: float, now: float
    ) -> None:
        """Suspend grants on a backend server to one VM, and shortly to all others.

        Others try one after the other, since it may want nothing from any of them.
        """
        load = self._find_load(backend)
        if load is not None:
            load.rest(vm, now + seconds, now)
            load.pause(now + min(seconds, MAX_SHARED_REST_SECONDS))

    def list_doubts(self, now: float) -> tuple[BackendPause, ...]:
        """Return the pauses of backend servers that may have restarted unnoticed."""
        return tuple(
            BackendPause(load.entry.id, 0.0, True)
            for state in self._states.values()
            for load in state.loads.values()
            if now < load.doubted_until
        )

    def list_rests(self, vm: Incarnation, now: float) -> tuple[BackendPause, ...]:
        """Return the rests that backend servers requested from a VM."""
        return tuple(
            BackendPause(load.entry.id, load.rests[vm] - now, False, vm)
            for load in self._list_loads()
            if load.is_resting(vm, now)
        )

    def is_resting(self, backend: BackendServerId, vm: Incarnation, now: float) -> bool:
        """Return whether a backend server wants nothing from a VM at present."""
        load = self._find_load(backend)
        return load is not None and load.is_resting(vm, now)

    def merge_news(self, news: BackendNews, now: float) -> bool:
        """Follow what a response states; return whether that is new."""
        load = self._find_load(news.backend)
        if load is not None and load.entry.born_ms != news.born_ms:
            load = None
        if load is None:
            loads = self._list_loads()
            registered = {(it.entry.id, it.entry.born_ms) for it in loads}
            self.beliefs.forget(registered, now)
        slots = None if load is None else load.entry.slots
        is_new = self.beliefs.merge(news, slots, now)
        if load is not None:
            self._apply_beliefs(load)
        return is_new

    def _apply_beliefs(self, load: BackendLoad) -> None:
        belief = self.beliefs.get(load.entry.id, load.entry.born_ms)
        if belief is not None:
            load.limit = belief.request_limit
            load.occupancy_limit = belief.occupancy_limit

    @property
    def zones(self) -> ZonePreference:
        """Return when requests leave their availability zone."""
        return self._placement.zones

    def _list_service_loads(self, service: ServiceId) -> Iterable[BackendLoad]:
        state = self._states.get(service)
        return () if state is None else state.loads.values()

    def _list_loads(self) -> list[BackendLoad]:
        return [it for state in self._states.values() for it in state.loads.values()]

    def register_run(
        self, backend: BackendServerId, request: SlotRequest, granted_at: float
    ) -> None:
        """Register a run that another coordinator granted.

        It names no origin: it may not have had output yet.
        """
        load = self._find_load(backend)
        if load is not None and load.entry.service == request.service:
            load.add_run((request.owner, request.number), request, granted_at)

    def drop_unreported_runs(
        self, owner: Incarnation, reported: set[SlotRequestKey], now: float
    ) -> list[Decision]:
        """Remove runs missing from their VM's report, except for recent grants."""
        recent_since = now - MAX_GRANT_DELIVERY_SECONDS
        decisions: list[Decision] = []
        for state in self._states.values():
            for load in state.loads.values():
                for key, run in list(load.runs.items()):
                    is_older = run.granted_at < recent_since
                    if key[0] == owner and key not in reported and is_older:
                        load.discard_run(key, now)
                        self.rollouts.discard(key)
            decisions += self._assign_slots(state, now)
        return decisions

    def remove_vm(self, owner: Incarnation, now: float) -> list[Decision]:
        """Remove all requests and runs of an entry VM."""
        decisions: list[Decision] = []
        for state in self._states.values():
            state.queue.remove_vm(owner)
            for load in state.loads.values():
                for key in [key for key in load.runs if key[0] == owner]:
                    load.discard_run(key, now)
                    self.rollouts.discard(key)
            decisions += self._assign_slots(state, now)
        return decisions

    def advance(self, now: float) -> list[Decision]:
        """Grant free slots; refuse expired requests and late ones under overload."""
        decisions: list[Decision] = []
        for state in self._states.values():
            decisions += self._assign_slots(state, now)
            with self.errors.contain("refusals of late requests"):
                self._refuse_late(state, now, decisions)
        return decisions

    def count_waiting(self, service: ServiceId) -> int:
        """Return the number of requests waiting for a service."""
        state = self._states.get(service)
        return 0 if state is None else len(state.queue)

    def count_runs(self, service: ServiceId, now: float) -> dict[BackendServerId, int]:
        """Return the number of runs on each backend server before their deadlines."""
        state = self._states.get(service)
        if state is None:
            return {}
        return {
            it: load.count_runs_before_deadline(now) for it, load in state.loads.items()
        }

    def count_in_flight(self, account: ClientAccountId) -> int:
        """Return the number of waiting and running requests of a client account."""
        return sum(
            state.queue.count_queued(account)
            + sum(load.count_active_runs(account) for load in state.loads.values())
            for state in self._states.values()
        )

    def _find_load(self, backend: BackendServerId) -> BackendLoad | None:
        service = self._services_by_backend.get(backend)
        return None if service is None else self._states[service].loads.get(backend)

    def _assign_slots(self, state: ServiceState, now: float) -> list[Decision]:
        if not state.queue:
            return []
        if not state.loads:
            return [
                make_no_backend_refusal(item.request) for item in state.queue.pop_all()
            ]
        decisions = self._refuse_gone_versions(state)
        with self.errors.contain("assignment of slots"):
            self._grant_free_slots(state, now, decisions)
        for item in state.queue.pop_expired(now):
            decisions.append(self._refuse(state, item, RefusalCause.WAIT_EXPIRED, now))
        return decisions

    def _grant_free_slots(
        self, state: ServiceState, now: float, decisions: list[Decision]
    ) -> None:
        median_failure_rate = state.compute_median_failure_rate()
        available_loads = [
            load
            for load in state.loads.values()
            if self._can_grant(load, now)
            and self.rollouts.may_continue(load.entry, now)
            # A failing backend server is tested with one request at a time.
            and not (load.runs and load.is_failing(median_failure_rate))
        ]
        placement = RolloutPlacement(self.rollouts, self._placement)
        room_limit = state.room.get_limit(now) * self.share
        starved_rank = state.find_starved_rank(self._settings.min_grant_share)
        for item in state.queue.iter_candidates(now, starved_rank):
            if not available_loads:
                break
            fitting_loads = [
                load
                for load in available_loads
                if state.room.fits(load, item.request, room_limit)
            ]
            if not fitting_loads:
                # Otherwise smaller requests would use up the room that becomes free.
                emptiest = min(available_loads, key=lambda load: load.held_tokens)
                available_loads.remove(emptiest)
                continue
            load = None
            try:
                load = placement.choose(fitting_loads, item, now)
                if load is None:
                    continue
                state.queue.remove(item.key)
                state.queue.record_grant(item)
                decisions.append(self._make_grant(state, load, item, now))
            except Exception as error:
                # Otherwise it would hold up all requests behind it.
                self.errors.record("grant", error, id=item.request.attempt_id)
                decisions.append(self._withdraw(state, load, item, now))
                continue
            if not self._can_grant(load, now):
                available_loads.remove(load)

    def _withdraw(
        self,
        state: ServiceState,
        load: BackendLoad | None,
        item: QueuedRequest,
        now: float,
    ) -> Refusal:
        """Remove a request that can't be granted because of an unexpected error."""
        state.queue.remove(item.key)
        if load is not None:
            load.discard_run(item.key, now)
        return make_failure_refusal(item.request)

    def _refuse_gone_versions(self, state: ServiceState) -> list[Decision]:
        """Refuse the streams whose software version has left."""
        if not state.has_lost_backends:
            return []
        state.has_lost_backends = False
        decisions: list[Decision] = []
        for item in state.queue.list_all():
            if state.is_version_gone(item.request):
                state.queue.remove(item.key)
                decisions.append(make_version_refusal(item.request))
        return decisions

    def _refuse_late(
        self, state: ServiceState, now: float, decisions: list[Decision]
    ) -> None:
        """Refuse the late requests of overloaded ranks.

        Guards against sustained overload: requests still on time take all slots, and
        late ones would only wait until they are refused. When a burst is over, those
        wait that get the slots which arriving requests leave.
        """
        for rank, statistics in state.ranks.items():
            if not state.queue.count_on_time(rank, now):
                statistics.record_room(now)
        for rank, items in state.queue.group_late_by_rank(now).items():
            statistics = state.ranks[rank]
            waiting = state.queue.count_on_time(rank, now)
            if not statistics.is_overloaded(now):
                continue
            for item in items:
                wait = statistics.estimate_late_wait(waiting + 1, now)
                if now + wait <= item.expires_at:
                    waiting += 1
                    continue
                state.queue.remove(item.key)
                decisions.append(self._refuse(state, item, RefusalCause.LATE, now))

    def _can_grant(self, load: BackendLoad, now: float) -> bool:
        slots = load.entry.slots * self._settings.runs_per_slot * self.share
        return load.can_grant(max(1.0, slots), self.limit_share, now)

    def _make_grant(
        self, state: ServiceState, load: BackendLoad, item: QueuedRequest, now: float
    ) -> Grant:
        request = item.request
        forecast = load.forecast_first_output(request, now)
        occupancy = len(load.runs)
        load.add_run(item.key, request, now)
        self.rollouts.record_grant(load.entry, request, occupancy, now)
        if load.limit is not None:
            load.limit.charge(self.limit_share, now)
        if load.occupancy_limit is not None:
            load.occupancy_limit.record_grant(occupancy, now)
        state.ranks[request.rank].record_grant(now)
        waited = now - item.queued_at
        return Grant(
            request.owner, request.number, load.entry.id, waited, forecast, occupancy
        )

    def _record_origin(
        self, request: SlotRequest, version: SoftwareVersion, now: float
    ) -> None:
        """Record where a stream begins; continuing it changes nothing."""
        if not request.stream:
            return
        if request.version is not None:
            version = request.version
        origin = StreamOrigin(request.service, version)
        self.origins.record(request.stream, origin, now, request.owner)

    def _refuse(
        self,
        state: ServiceState,
        item: QueuedRequest,
        cause: RefusalCause,
        now: float,
    ) -> Refusal:
        try:
            return self._make_refusal(state, item, cause, now)
        except Exception as error:
            self.errors.record("refusal", error, id=item.request.attempt_id)
            return make_failure_refusal(item.request)

    def _make_refusal(
        self,
        state: ServiceState,
        item: QueuedRequest,
        cause: RefusalCause,
        now: float,
    ) -> Refusal:
        loads = list(state.loads.values())
        slots = sum(
            load.count_usable_slots(item.request, self.share, self.limit_share)
            # All may be held back until the orders of roll-outs are read.
            for load in [it for it in loads if self.rollouts.may_grant(it.entry, now)]
            or loads
        )
        return self._refusals.refuse(state, item, cause, slots, now)
