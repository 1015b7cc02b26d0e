"""Ways that the daemon does not have, to compare it with."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from fireflyquay.dispatch import SlotScheduler
from fireflyquay.dispatch._backend_load import BackendLoad
from fireflyquay.dispatch._slot_queue import QueuedRequest, SlotQueue
from fireflyquay.gateway._fleet import Fleet
from fireflyquay.world import BackendEntry, Incarnation

from ._backend_client import EmulatedBackendClient
from ._loop import CURRENT_MACHINE
from ._servers import EmulatedServer

# A function that stands in for a method: whose, of what name, by what.
Replacement = tuple[type, str, Callable[..., Any]]
# Coordinators that share the places of one fleet. A fleet of which half turn to one
# coordinator gives it all places, so two would each give out all.
GROUP_COUNT = 3
# Backend servers of which the less loaded is chosen.
CHOICE_COUNT = 2


class SchedulingPolicy(ABC):
    """Replace a part of the daemon's decisions during plays."""

    @abstractmethod
    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""

    @contextmanager
    def install(self) -> Iterator[None]:
        """Decide by this way within the context."""
        with ExitStack() as stack:
            for owner, name, function in self.list_replacements():
                stack.enter_context(patch.object(owner, name, function))
            yield


class LocalCoordinators(SchedulingPolicy):
    """Each VM gives out its share of the places by itself."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""
        return [(Fleet, "choose_coordinator", _choose_own_vm)]


class LeastOwnRequests(SchedulingPolicy):
    """Each VM sends at once to where it has the fewest requests itself."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""
        return [
            (Fleet, "choose_coordinator", _choose_own_vm),
            (SlotScheduler, "_choose_backend", self._choose_backend),
        ]

    @staticmethod
    def _choose_backend(
        scheduler: SlotScheduler,
        loads: Sequence[BackendLoad],
        item: QueuedRequest,
        now: float,
    ) -> BackendLoad | None:
        fit = [it for it in loads if it.entry.id not in item.request.excluded]
        return min(
            fit, key=lambda it: (len(it.runs), scheduler._rng.random()), default=None
        )


class PowerOfTwoChoices(SchedulingPolicy):
    """Each VM sends at once to the less loaded of two, as their responses told it."""

    def __init__(self) -> None:
        # Requests at a backend server when it last answered a VM, by both.
        self._reported_loads: dict[tuple[str, str], int] = {}

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""

        def record_load(client: EmulatedBackendClient, server: EmulatedServer) -> None:
            told = len(server.running) + len(server.queued)
            self._reported_loads[CURRENT_MACHINE.get(), server.entry.id] = told

        def place(
            scheduler: SlotScheduler,
            loads: Sequence[BackendLoad],
            item: QueuedRequest,
            now: float,
        ) -> BackendLoad | None:
            fit = [it for it in loads if it.entry.id not in item.request.excluded]
            drawn = scheduler._rng.sample(fit, min(CHOICE_COUNT, len(fit)))
            return min(drawn, key=self._estimate_load, default=None)

        self._reported_loads.clear()
        return [
            (Fleet, "choose_coordinator", _choose_own_vm),
            (SlotScheduler, "_choose_backend", place),
            (EmulatedBackendClient, "record_load", record_load),
        ]

    def _estimate_load(self, load: BackendLoad) -> int:
        told = self._reported_loads.get((CURRENT_MACHINE.get(), load.entry.id), 0)
        return max(told, len(load.runs))


class GroupsSharingSlots(SchedulingPolicy):
    """Several VMs coordinate, each for a part of the fleet on a part of all places."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""
        choose = Fleet.choose_coordinator

        def choose_in_group(fleet: Fleet) -> Incarnation:
            choose(fleet)
            group = _find_group(fleet.get_own_vm().host)
            for name in fleet._ranking:
                record = fleet._membership.get(name)
                if record is not None and _find_group(record.vm.host) == group:
                    return name
            return fleet.get_own_vm().incarnation

        return [(Fleet, "choose_coordinator", choose_in_group)]


class GroupsSplittingServers(GroupsSharingSlots):
    """Several VMs coordinate, each for a part of the fleet and of the servers."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""
        update, set_backends = Fleet._update_share, SlotScheduler.set_backends

        def update_share(fleet: Fleet) -> None:
            update(fleet)
            fleet._coordinator._scheduler.share = 1.0

        def set_own(scheduler: SlotScheduler, entries: Iterable[BackendEntry]) -> None:
            ordered = sorted(entries, key=lambda it: (it.service, it.id))
            first = _find_group(CURRENT_MACHINE.get())
            set_backends(scheduler, ordered[first::GROUP_COUNT])

        return [
            *super().list_replacements(),
            (Fleet, "_update_share", update_share),
            (SlotScheduler, "set_backends", set_own),
        ]


class ArrivalOrder(SchedulingPolicy):
    """Whoever came first goes first, whatever the rank."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""
        return [
            (
                SlotQueue,
                "iter_candidates",
                _make_sorted_iterator(lambda item: item.queued_at),
            )
        ]


class LatestStartOrder(SchedulingPolicy):
    """Whoever must start first to be on time goes first, whatever the rank."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return what stands in for what."""
        return [
            (
                SlotQueue,
                "iter_candidates",
                _make_sorted_iterator(lambda item: item.latest_start),
            )
        ]


def _choose_own_vm(fleet: Fleet) -> Incarnation:
    # Keeps the ranking, from which follows the share of the places.
    fleet._ranking = tuple(fleet._membership.live_incarnations())
    fleet._update_share()
    return fleet._own.incarnation


def _find_group(host: str) -> int:
    return int(host.rpartition(".")[2]) % GROUP_COUNT


def _make_sorted_iterator(
    key: Callable[[QueuedRequest], float],
) -> Callable[..., Iterator[QueuedRequest]]:
    def iter_candidates(
        line: SlotQueue, now: float, first: tuple[int, int] | None = None
    ) -> Iterator[QueuedRequest]:
        return iter(sorted(line._by_key.values(), key=key))

    return iter_candidates
