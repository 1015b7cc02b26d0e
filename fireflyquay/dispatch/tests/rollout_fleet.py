"""Replay of roll-outs over several VMs, a store and two versions, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from fireflyquay.dispatch import (
    ActiveRun,
    ConfigReplica,
    Coordinator,
    FirstOutput,
    Freshness,
    Grant,
    QuotaLimiter,
    ReadProgress,
    ReserveExposure,
    RetryBudget,
    RolloutBounds,
    RolloutPhase,
    RolloutProgress,
    Rollouts,
    RunEnded,
    SlotRequest,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.dispatch._control_message import ActiveRunsReport
from fireflyquay.world import (
    BackendEntry,
    Incarnation,
    RolloutOrder,
    RolloutState,
    SoftwareVersion,
)

from .builders import SERVICE, make_backend_entry, make_config, make_request

OLD, NEW = SoftwareVersion("old"), SoftwareVersion("new")
THIRD = SoftwareVersion("third")
ROUTES = ("reports", "captions")
BOUNDS = RolloutBounds(0.1, 50, 5.0)
TICK_SECONDS = 0.02
KEEPER_SECONDS = 0.1
ORDERS_SECONDS = 0.5
REGISTRY_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 1.0
# Bad responses after which the time for a rollback counts.
COUNTED_BAD_RESPONSES = 50
UNIX_MS = 1.7e12


@dataclass
class Behavior:
    """Describe the responses of one version; times since the order in seconds."""

    failure_share: float = 0.0
    # Factor of the times, and the share of the responses that it holds for.
    slow_factor: float = 1.0
    slow_share: float = 1.0
    since: float = 0.0
    route: str = ""
    # Runs on the same server from which the fault shows.
    min_runs: int = 0

    def is_faulty(self, route: str, runs: int, age: float) -> bool:
        """Return whether a request meets the conditions of the fault."""
        is_route = not self.route or route == self.route
        return is_route and runs >= self.min_runs and age >= self.since

    @property
    def is_bad(self) -> bool:
        """Return whether the version has a fault at all."""
        return self.failure_share > 0 or self.slow_factor > 1


@dataclass
class Scenario:
    """Describe a roll-out, its versions and the faults around it."""

    seed: int = 1
    old: Behavior = field(default_factory=Behavior)
    new: Behavior = field(default_factory=Behavior)
    third: Behavior = field(default_factory=Behavior)
    duration: float = 30.0
    rate: float = 60.0
    vms: int = 4
    servers: int = 8
    new_servers: int = 8
    third_servers: int = 0
    slots: int = 4
    run_seconds: float = 0.3
    # Grey servers, with the behavior of each.
    grey: dict[str, Behavior] = field(default_factory=dict)
    # Seconds between the order and the moment when the store is down.
    outages: tuple[tuple[float, float], ...] = ()
    # Share of the answers of the store that are lost.
    lost_answers: float = 0.0
    # Moments at which the coordinator, or all VMs, are killed and started again.
    coordinator_kills: tuple[float, ...] = ()
    fleet_kills: tuple[float, ...] = ()
    # Phases at whose first write the coordinator is killed before it knows of it, and
    # the number of reservations at which it is.
    phase_kills: tuple[RolloutPhase, ...] = ()
    reservation_kills: int = 0
    # Moments at which VMs are cut off from the others, and until when.
    cuts: tuple[tuple[float, float, int], ...] = ()
    # Whether the VMs that are cut off reach the store.
    cut_reach_store: bool = True
    # Moments at which a server crashes, and for how long it is gone.
    crashes: tuple[tuple[float, str, float], ...] = ()
    # Moments of further changes by an operator.
    changes: tuple[tuple[float, Callable[[Replay], None]], ...] = ()
    # Multiples of the load from and until some moments.
    bursts: tuple[tuple[float, float, float], ...] = ()


class Store:
    """Hold orders and records; writes are conditional on the revision."""

    def __init__(self) -> None:
        self.orders: dict[str, RolloutOrder] = {}
        self.progress: dict[str, tuple[RolloutProgress, int]] = {}
        self.revision = 1
        self.restore_count = 0
        self.verdicts: list[tuple[SoftwareVersion, RolloutState]] = []
        self.on_write: Callable[[], None] = lambda: None

    def write_progress(
        self, service: str, progress: RolloutProgress, revision: int
    ) -> int | None:
        if self.progress.get(service, (None, 0))[1] != revision:
            return None
        self.revision += 1
        self.progress[service] = (progress, self.revision)
        self.on_write()
        return self.revision

    def write_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        stored = self.orders.get(order.service)
        if stored is None or stored.revision != order.revision:
            return None
        self.revision += 1
        written = replace(
            stored, revision=self.revision, state=state, stated_target=stored.target
        )
        self.orders[order.service] = written
        if state is not RolloutState.ACTIVE:
            self.verdicts.append((stored.target, state))
        return written


class Vm:
    """Run one coordinator and the keeper of its roll-outs."""

    def __init__(self, name: str, fleet: Replay) -> None:
        self.name = Incarnation(name)
        self.slot = name.partition("-")[0]
        self.fleet = fleet
        self.is_alive = True
        config = ConfigReplica()
        config.apply_config(make_config(), Freshness(1, 0.0))
        self.rollouts = Rollouts(self.name, BOUNDS)
        self.scheduler = SlotScheduler(
            SlotSchedulerSettings(), random.Random(name), self.rollouts
        )
        self.coordinator = Coordinator(
            self.name, config, self.scheduler, RetryBudget(0.2, 50, 10), QuotaLimiter()
        )
        self.is_reading_orders = False
        self.orders_read_at = -math.inf

    def keep(self, now: float) -> None:
        """Read the orders and make the calls that are due."""
        is_due = now - self.orders_read_at >= ORDERS_SECONDS
        leads = self.fleet.choose_coordinator(self) is self
        is_wanted = self.rollouts.has_unknown_versions or (leads and is_due)
        if is_wanted and not self.is_reading_orders:
            self._read_orders(now)
        if not leads:
            return
        for action in self.rollouts.plan(now, self.scheduler.count_runs):
            self._execute(action, now)
        self.rollouts.drain_events()

    def _read_orders(self, now: float) -> None:
        clears, store = self.rollouts.begin_read(), self.fleet.store
        self.is_reading_orders = True

        def finish(orders: tuple[RolloutOrder, ...] | None, at: float) -> None:
            self.is_reading_orders = False
            if orders is None:
                return
            self.orders_read_at = now
            unix_ms = UNIX_MS + at * 1000
            self.rollouts.apply_orders(orders, clears, now, at, unix_ms)

        self.fleet.call(self, lambda: tuple(store.orders.values()), finish)

    def _execute(self, action: object, now: float) -> None:
        store, service = self.fleet.store, action.service
        rollouts = self.rollouts

        def adopt(found: tuple | None, at: float) -> None:
            if found is None or found[1] is None:
                rollouts.apply_failure(service, at, 0.25 if found is None else 0.0)
                return
            progress, revision = found
            restores = store.restore_count
            rollouts.apply_progress(service, progress, revision, restores, now, at)

        def adopt_order(found: tuple | None, at: float) -> None:
            if found is None or found[0] is None:
                self.orders_read_at = -math.inf
                rollouts.apply_failure(service, at, 0.25)
                return
            rollouts.apply_status(found[0])

        if isinstance(action, ReadProgress):
            empty = (RolloutProgress(), 0)
            self.fleet.call(self, lambda: store.progress.get(service, empty), adopt)
        elif isinstance(action, ReserveExposure):
            progress, revision = action.progress, action.revision
            self.fleet.call(
                self,
                lambda: (progress, store.write_progress(service, progress, revision)),
                adopt,
            )
        else:
            order, state = action.order, action.state
            self.fleet.call(
                self, lambda: (store.write_status(order, state),), adopt_order
            )


@dataclass
class Sent:
    """Record a request that was sent to a server."""

    request: SlotRequest
    entry: BackendEntry
    granter: Vm
    owner: Vm
    started_at: float
    has_ended: bool = False


@dataclass
class Exposure:
    """Count what reached a version since it was ordered."""

    ordered_at: float
    deadline: float
    # Requests that reached the service, and those that reached the version.
    reached: int = 0
    exposed: int = 0
    # Exposures beyond the bound, at the worst moment.
    excess: float = -math.inf
    by_server: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    bad_at: list[float] = field(default_factory=list)
    exposed_at: list[float] = field(default_factory=list)
    switched_at: float | None = None
    completed_at: float | None = None
    is_withdrawn: bool = False

    def count(self, server: str, is_bad_version: bool, now: float) -> None:
        """Count a request to the version."""
        if now > self.deadline or self.is_withdrawn:
            return
        self.exposed += 1
        self.by_server[server] += 1
        self.exposed_at.append(now)
        if self.switched_at is None or is_bad_version:
            allowed = BOUNDS.exposure_share * self.reached + BOUNDS.exposure_slack
            self.excess = max(self.excess, self.exposed - allowed)

    @property
    def last_exposed_at(self) -> float:
        """Return when the version got its last request."""
        return max(self.exposed_at, default=0.0)

    @property
    def rollback_due_at(self) -> float | None:
        """Return when the version must get nothing more; None if that is open."""
        if len(self.bad_at) < COUNTED_BAD_RESPONSES:
            return None
        return self.bad_at[COUNTED_BAD_RESPONSES - 1] + BOUNDS.rollback


class Replay:
    """Send requests to a fleet, and count what reaches each version."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.store = Store()
        self.store.on_write = self._note_write
        self.killed_at_phases: set[RolloutPhase] = set()
        self._reserved = self._reservation_kills = 0
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._generations = itertools.count(1)
        self.vms = [Vm(f"vm{it}-0", self) for it in range(scenario.vms)]
        self._cut_off: set[str] = set()
        self.entries = {
            it.id: it
            for it in (
                *self._make_servers(OLD, scenario.servers),
                *self._make_servers(NEW, scenario.new_servers),
                *self._make_servers(THIRD, scenario.third_servers),
            )
        }
        self.gone: set[str] = set()
        self.running: dict[str, list[Sent]] = defaultdict(list)
        self.pending: dict[tuple[Incarnation, int], tuple[SlotRequest, Vm, Vm]] = {}
        self.ordered_at = 2.0
        self.deadline = self.ordered_at + scenario.duration
        self.behaviors = {OLD: scenario.old, NEW: scenario.new, THIRD: scenario.third}
        # What reached each version since its last order.
        self.counts: dict[SoftwareVersion, Exposure] = {}
        self.cut_runs = 0
        self.answered = self.refused = self.failed = 0
        self.late_old_grants = 0

    def _make_servers(self, version: SoftwareVersion, count: int) -> list[BackendEntry]:
        return [
            replace(
                make_backend_entry(f"{version}-{it}", slots=self.scenario.slots),
                version=version,
            )
            for it in range(count)
        ]

    def run(self, seconds: float = 0.0) -> Replay:
        """Replay until some seconds after the time limit."""
        scenario, start = self.scenario, self.ordered_at
        end = self.deadline + 2.0 + seconds
        old = [it for it in self.entries.values() if it.version == OLD]
        for vm in self.vms:
            vm.coordinator.set_backends(old)
        self._schedule(start, self._place_order)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, self._keep)
        self._schedule(0.0, self._arrive)
        for at in scenario.coordinator_kills:
            self._schedule(start + at, self._kill_coordinator)
        for at in scenario.fleet_kills:
            self._schedule(start + at, self._kill_all)
        for since, until, count in scenario.cuts:
            names = {vm.slot for vm in self.vms[:count]}
            self._schedule(start + since, lambda at, n=names: self._cut(n))
            self._schedule(start + until, lambda at: self._cut(set()))
        for at, name, seconds_gone in scenario.crashes:
            self._schedule(start + at, lambda at, n=name: self._crash(n))
            self._schedule(
                start + at + seconds_gone, lambda at, n=name: self._return(n)
            )
        for at, change in scenario.changes:
            self._schedule(start + at, lambda at, c=change: c(self))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > end:
                break
            self.now = at
            action(at)
        return self

    @property
    def new(self) -> Exposure:
        """Return what reached the new version."""
        return self.counts[NEW]

    @property
    def state(self) -> RolloutState | None:
        """Return the state that the order has."""
        order = self.store.orders.get(SERVICE)
        return None if order is None else order.state

    def order(self, target: SoftwareVersion, duration: float | None = None) -> None:
        """Write an order, as an operator does."""
        self.store.revision += 1
        before = self.store.orders.get(SERVICE)
        deadline = self.now + (duration or self.scenario.duration)
        self.counts[target] = Exposure(self.now, deadline)
        self.store.orders[SERVICE] = RolloutOrder(
            SERVICE,
            target,
            duration or self.scenario.duration,
            self.store.revision,
            None if before is None else before.state,
            None if before is None else before.stated_target,
        )

    def order_third(self) -> None:
        """Order the third version in place of the new one."""
        self.order(THIRD, self.scenario.duration / 2)
        self._update_registries()

    def withdraw(self) -> None:
        """Remove the order, as an operator does."""
        order = self.store.orders.pop(SERVICE, None)
        if order is not None:
            self.counts[order.target].is_withdrawn = True

    def lose_progress(self) -> None:
        """Lose the stored record, as after a restore of the store."""
        self.store.progress.pop(SERVICE, None)

    def choose_coordinator(self, vm: Vm) -> Vm:
        """Return the first VM on the same side of a partition."""
        side = vm.slot in self._cut_off
        return next(
            (
                it
                for it in self.vms
                if it.is_alive and (it.slot in self._cut_off) == side
            ),
            vm,
        )

    def call(
        self,
        vm: Vm,
        execute: Callable[[], object],
        finish: Callable[[object, float], None],
    ) -> None:
        """Call the store; the answer is None if the call or its answer is lost."""
        latency = self.rng.uniform(0.002, 0.03)

        def reach(at: float) -> None:
            if not self._reaches_store(vm, at):
                answer(None, at + STORE_TIMEOUT_SECONDS)
                return
            result = execute()
            if self.rng.random() < self.scenario.lost_answers:
                answer(None, at + STORE_TIMEOUT_SECONDS)
                return
            answer(result, at + latency)

        def answer(result: object, at: float) -> None:
            self._schedule(at, lambda at: finish(result, at) if vm.is_alive else None)

        self._schedule(self.now + latency, reach)

    def _reaches_store(self, vm: Vm, now: float) -> bool:
        if vm.slot in self._cut_off and not self.scenario.cut_reach_store:
            return False
        age = now - self.ordered_at
        return not any(since <= age < until for since, until in self.scenario.outages)

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _place_order(self, now: float) -> None:
        self.order(NEW)
        self._update_registries()

    def _list_registered(self) -> list[BackendEntry]:
        return [
            it
            for it in self.entries.values()
            if it.id not in self.gone
            and (it.version == OLD or it.version in self.counts)
        ]

    def _update_registries(self) -> None:
        for vm in self.vms:
            if vm.is_alive:
                vm.coordinator.set_backends(self._list_registered())

    def _tick(self, now: float) -> None:
        for vm in self.vms:
            if vm.is_alive:
                self._act(vm, vm.coordinator.advance(now), now)
        self._schedule(now + TICK_SECONDS, self._tick)

    def _keep(self, now: float) -> None:
        for vm in self.vms:
            if vm.is_alive:
                vm.keep(now)
        self._note_phase(now)
        self._schedule(now + KEEPER_SECONDS, self._keep)

    def _note_write(self) -> None:
        progress, scenario = self.store.progress[SERVICE][0], self.scenario
        self._note_phase(self.now)
        is_reservation = progress.reserved > self._reserved
        self._reserved = progress.reserved
        if is_reservation and self._reservation_kills < scenario.reservation_kills:
            self._reservation_kills += 1
            self._kill_coordinator(self.now)
        phase = progress.phase
        if phase in scenario.phase_kills and phase not in self.killed_at_phases:
            self.killed_at_phases.add(phase)
            self._kill_coordinator(self.now)

    def _note_phase(self, now: float) -> None:
        stored = self.store.progress.get(SERVICE)
        count = None if stored is None else self.counts.get(stored[0].target)
        if stored is not None and count is not None and count.switched_at is None:
            if stored[0].phase in ("SWITCH", "COMPLETED"):
                count.switched_at = now
        order = self.store.orders.get(SERVICE)
        if order is None or order.state is not RolloutState.COMPLETED:
            return
        if order.stated_target != order.target:
            return
        count = self.counts[order.target]
        if count.completed_at is None:
            count.completed_at = now
            # The platform stops the old servers at once.
            for name, entry in list(self.entries.items()):
                if entry.version != order.target:
                    self.cut_runs += len(self.running.pop(name, []))
                    self.gone.add(name)
            self._update_registries()

    def _arrive(self, now: float) -> None:
        rate = self.scenario.rate
        age = now - self.ordered_at
        for since, until, factor in self.scenario.bursts:
            if since <= age < until:
                rate *= factor
        self._schedule(now + self.rng.expovariate(rate), self._arrive)
        alive = [it for it in self.vms if it.is_alive]
        if not alive:
            return
        owner = self.rng.choice(alive)
        route = ROUTES[self.rng.random() < 0.3]
        self._submit(owner, route, False, (), now)

    def _submit(
        self, owner: Vm, route: str, is_retry: bool, excluded: tuple, now: float
    ) -> None:
        number = next(self._numbers)
        request = make_request(
            number,
            owner.name,
            prompt_tokens=200,
            output_tokens=20,
            seconds_to_deadline=8.0,
            latency_objective=1.0,
            is_retry=is_retry,
            excluded=excluded,
            route=route,
        )
        target = self.choose_coordinator(owner)
        self.pending[owner.name, number] = (request, owner, target)
        self._act(target, target.coordinator.submit(request, now), now)

    def _act(self, granter: Vm, decisions: list, now: float) -> None:
        for decision in decisions:
            key = (decision.owner, decision.number)
            found = self.pending.get(key)
            if found is None or found[2] is not granter:
                continue
            del self.pending[key]
            request, owner, _ = found
            if isinstance(decision, Grant):
                self._start(Sent(request, self._find(decision), granter, owner, now))
            else:
                self.refused += 1

    def _find(self, grant: Grant) -> BackendEntry:
        return self.entries[grant.backend]

    def _start(self, sent: Sent) -> None:
        now, entry, scenario = self.now, sent.entry, self.scenario
        behavior = scenario.grey.get(entry.id, self.behaviors[entry.version])
        runs = self.running[entry.id]
        self._count_sent(entry, sent.request, now)
        is_faulty = behavior.is_faulty(
            sent.request.route, len(runs), now - self.ordered_at
        )
        fails = is_faulty and self.rng.random() < behavior.failure_share
        is_slow = is_faulty and self.rng.random() < behavior.slow_share
        factor = behavior.slow_factor if is_slow else 1.0
        total = scenario.run_seconds * self.rng.lognormvariate(0, 0.2) * factor
        total *= 1 + 0.5 * len(runs) / scenario.slots
        count = self.counts.get(entry.version)
        if count is not None and (fails or (is_slow and factor > 1)):
            self._schedule(now + total, count.bad_at.append)
        runs.append(sent)
        self._schedule(now + 0.2 * total, lambda at: self._send_first(sent, at))
        self._schedule(now + total, lambda at: self._end(sent, fails, False, at))

    def _count_sent(
        self, entry: BackendEntry, request: SlotRequest, now: float
    ) -> None:
        for count in self.counts.values():
            count.reached += not request.is_retry
        if entry.id in self.gone:
            self.late_old_grants += 1
        count = self.counts.get(entry.version)
        if count is not None:
            count.count(entry.id, self.behaviors[entry.version].is_bad, now)

    def _send_first(self, sent: Sent, now: float) -> None:
        if sent.has_ended or not sent.owner.is_alive:
            return
        message = FirstOutput(sent.request.number, sent.entry.id, sent.entry.version)
        self._tell(sent, message, now)

    def _end(self, sent: Sent, fails: bool, crashed: bool, now: float) -> None:
        if sent.has_ended:
            return
        sent.has_ended = True
        runs = self.running[sent.entry.id]
        if sent in runs:
            runs.remove(sent)
        if not sent.owner.is_alive:
            return
        is_broken = fails or crashed
        message = RunEnded(
            sent.request.number,
            sent.entry.id,
            10,
            0.0,
            is_broken,
            not is_broken,
            fails and not crashed,
            crashed,
            now - sent.started_at,
        )
        self._tell(sent, message, now)
        if not is_broken:
            self.answered += 1
        elif sent.request.is_retry:
            self.failed += 1
        else:
            excluded = (sent.entry.id,)
            self._submit(sent.owner, sent.request.route, True, excluded, now)

    def _tell(self, sent: Sent, message: FirstOutput | RunEnded, now: float) -> None:
        """Send a message to the owner's own coordinator and the one it follows."""
        owner = sent.owner
        for vm in {owner.name: owner, **self._name(owner)}.values():
            decisions = vm.coordinator.handle_message(owner.name, message, now)
            self._act(vm, decisions, now)

    def _name(self, owner: Vm) -> dict[Incarnation, Vm]:
        target = self.choose_coordinator(owner)
        return {target.name: target}

    def _kill_coordinator(self, now: float) -> None:
        alive = [it for it in self.vms if it.is_alive]
        if alive:
            self._kill(alive[0], now)
            self._hand_over(now)

    def _kill_all(self, now: float) -> None:
        for vm in [it for it in self.vms if it.is_alive]:
            self._kill(vm, now)

    def _kill(self, vm: Vm, now: float) -> None:
        vm.is_alive = False
        for key, (_, owner, _) in list(self.pending.items()):
            if owner is vm:
                del self.pending[key]
        for name, runs in self.running.items():
            self.running[name] = [it for it in runs if it.owner is not vm]
        self._schedule(now + 1.0, lambda at: self._restart(vm, at))

    def _restart(self, vm: Vm, now: float) -> None:
        index = self.vms.index(vm)
        new = Vm(f"{vm.slot}-{next(self._generations)}", self)
        new.coordinator.set_backends(self._list_registered())
        self.vms[index] = new
        self._hand_over(now)

    def _cut(self, names: set[str]) -> None:
        self._cut_off = names
        self._hand_over(self.now)

    def _hand_over(self, now: float) -> None:
        """Tell the chosen coordinators of all runs, and submit what waits again."""
        for owner in self.vms:
            if not owner.is_alive:
                continue
            target = self.choose_coordinator(owner)
            runs = tuple(
                ActiveRun(it.request, it.entry.id, now - it.started_at)
                for sent in self.running.values()
                for it in sent
                if it.owner is owner
            )
            report = ActiveRunsReport(runs)
            decisions = target.coordinator.handle_message(owner.name, report, now)
            self._act(target, decisions, now)
        for key, (request, owner, before) in list(self.pending.items()):
            target = self.choose_coordinator(owner)
            if target is not before:
                self.pending[key] = (request, owner, target)
                self._act(target, target.coordinator.submit(request, now), now)

    def _return(self, name: str) -> None:
        self.gone.discard(name)
        self._update_registries()

    def _crash(self, name: str) -> None:
        now = self.now
        self.gone.add(name)
        for sent in list(self.running.get(name, ())):
            self._end(sent, False, True, now)
        self._schedule(now + REGISTRY_SECONDS, lambda at: self._update_registries())


def make_walk(seed: int) -> Scenario:
    """Return a random sequence of versions, faults and orders."""
    rng = random.Random(seed)

    def choose(*values: object) -> object:
        return rng.choice(values)

    def make_behavior() -> Behavior:
        return choose(
            Behavior(),
            Behavior(rng.uniform(0.2, 1.0)),
            Behavior(rng.uniform(0.3, 1.0), since=rng.uniform(0.0, 8.0)),
            Behavior(rng.uniform(0.4, 1.0), route=ROUTES[0]),
            Behavior(rng.uniform(0.5, 1.0), min_runs=2),
            Behavior(slow_factor=rng.uniform(4.0, 8.0), slow_share=0.6),
        )

    def make_times(chance: float, most: int) -> tuple[float, ...]:
        if rng.random() >= chance:
            return ()
        return tuple(rng.uniform(0.0, 28.0) for _ in range(rng.randint(1, most)))

    outages = []
    for at in make_times(0.4, 2):
        outages.append((at, min(24.0, at + rng.uniform(3.0, 8.0))))
    cuts = [
        (at, at + rng.uniform(1.0, 8.0), rng.randint(1, 3)) for at in make_times(0.4, 1)
    ]
    changes = []
    if rng.random() < 0.2:
        at = rng.uniform(0.0, 15.0)
        changes.append((at, choose(Replay.withdraw, Replay.order_third)))
        if rng.random() < 0.5:
            changes.append((at + rng.uniform(0.1, 3.0), lambda it: it.order(NEW, 15.0)))
    if rng.random() < 0.1:
        # What a VM knows outlives the record; a killed fleet knows nothing.
        changes.append((rng.uniform(1.0, 20.0), Replay.lose_progress))
    return Scenario(
        seed,
        old=choose(Behavior(), Behavior(), Behavior(rng.uniform(0.0, 0.1))),
        new=make_behavior(),
        third=make_behavior(),
        third_servers=8,
        vms=rng.randint(2, 6),
        rate=rng.uniform(20.0, 70.0),
        outages=tuple(outages),
        lost_answers=choose(0.0, 0.0, 0.05, 0.2),
        coordinator_kills=make_times(0.5, 6),
        fleet_kills=make_times(0.3, 2),
        cuts=tuple(cuts),
        cut_reach_store=rng.random() < 0.5,
        crashes=tuple(
            (at, f"{choose('old', 'new')}-{rng.randint(0, 7)}", rng.uniform(0.5, 3.0))
            for at in make_times(0.5, 4)
        ),
        bursts=((8.0, 12.0, 2.0),) if rng.random() < 0.3 else (),
    )
