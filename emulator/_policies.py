"""Alternative scheduling policies to compare with the gateway's own."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from fireflyquay.dispatch import SlotScheduler
from fireflyquay.dispatch._backend_load import BackendLoad
from fireflyquay.dispatch._placement import Placement
from fireflyquay.dispatch._slot_queue import QueuedRequest, SlotQueue
from fireflyquay.gateway._fleet import Fleet
from fireflyquay.world import BackendEntry, Incarnation

from ._backend_client import EmulatedBackendClient
from ._loop import CURRENT_MACHINE
from ._servers import EmulatedServer

# Class, name of a method, and the function that replaces it.
Replacement = tuple[type, str, Callable[..., Any]]
# Number of groups, each with its own coordinator. A coordinator that half of the fleet
# follows grants all slots, so with two groups each slot would be granted twice.
GROUP_COUNT = 3
# Number of random candidates, of which the least loaded backend server is chosen.
CHOICE_COUNT = 2


class SchedulingPolicy(ABC):
    """Replace scheduling methods of the gateway during emulations."""

    @abstractmethod
    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""

    @contextmanager
    def install(self) -> Iterator[None]:
        """Use this policy within the context."""
        with ExitStack() as stack:
            for owner, name, function in self.list_replacements():
                stack.enter_context(patch.object(owner, name, function))
            yield


class LocalCoordinators(SchedulingPolicy):
    """Make each VM the coordinator of its own share of the slots."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""
        return [(Fleet, "choose_coordinator", _choose_own_vm)]


class LeastLocalRequests(SchedulingPolicy):
    """Send requests immediately to the server with the fewest from the same VM."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""
        return [
            (Fleet, "choose_coordinator", _choose_own_vm),
            (Placement, "choose", self._choose_backend),
        ]

    @staticmethod
    def _choose_backend(
        placement: Placement,
        loads: Sequence[BackendLoad],
        item: QueuedRequest,
        now: float,
    ) -> BackendLoad | None:
        candidates = [it for it in loads if it.entry.id not in item.request.excluded]
        return min(
            candidates,
            key=lambda it: (len(it.runs), placement._rng.random()),
            default=None,
        )


class PowerOfTwoChoices(SchedulingPolicy):
    """Send requests immediately to the less loaded of two random servers."""

    def __init__(self) -> None:
        # Requests at a backend server when it last responded to a VM, by VM and server.
        self._reported_loads: dict[tuple[str, str], int] = {}

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""

        def record_load(client: EmulatedBackendClient, server: EmulatedServer) -> None:
            count = len(server.running) + len(server.queued)
            self._reported_loads[CURRENT_MACHINE.get(), server.entry.id] = count

        def choose_backend(
            placement: Placement,
            loads: Sequence[BackendLoad],
            item: QueuedRequest,
            now: float,
        ) -> BackendLoad | None:
            candidates = [
                load for load in loads if load.entry.id not in item.request.excluded
            ]
            drawn = placement._rng.sample(
                candidates, min(CHOICE_COUNT, len(candidates))
            )
            return min(drawn, key=self._estimate_load, default=None)

        self._reported_loads.clear()
        return [
            (Fleet, "choose_coordinator", _choose_own_vm),
            (Placement, "choose", choose_backend),
            (EmulatedBackendClient, "record_load", record_load),
        ]

    def _estimate_load(self, load: BackendLoad) -> int:
        reported = self._reported_loads.get((CURRENT_MACHINE.get(), load.entry.id), 0)
        return max(reported, len(load.runs))


class GroupCoordinators(SchedulingPolicy):
    """Give each group of VMs a coordinator and a share of the slots of all servers."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""
        original_choose = Fleet.choose_coordinator

        def choose_in_group(fleet: Fleet) -> Incarnation:
            # Updates the ranking and the share of the slots.
            original_choose(fleet)
            group = _find_group(fleet.get_own_vm().host)
            for name in fleet._ranking:
                record = fleet._membership.get(name)
                if record is not None and _find_group(record.vm.host) == group:
                    return name
            return fleet.get_own_vm().incarnation

        return [(Fleet, "choose_coordinator", choose_in_group)]


class PartitionedServers(GroupCoordinators):
    """Give each group of VMs a coordinator and its own part of the servers."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""
        original_update_share, original_set_backends = (
            Fleet._update_share,
            SlotScheduler.set_backends,
        )

        def update_share(fleet: Fleet) -> None:
            original_update_share(fleet)
            fleet._coordinator._scheduler.share = 1.0

        def set_group_backends(
            scheduler: SlotScheduler, entries: Iterable[BackendEntry]
        ) -> None:
            ordered = sorted(entries, key=lambda it: (it.service, it.id))
            group = _find_group(CURRENT_MACHINE.get())
            original_set_backends(scheduler, ordered[group::GROUP_COUNT])

        return [
            *super().list_replacements(),
            (Fleet, "_update_share", update_share),
            (SlotScheduler, "set_backends", set_group_backends),
        ]


class ArrivalOrder(SchedulingPolicy):
    """Order queued requests by arrival, regardless of rank."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""
        return [
            (
                SlotQueue,
                "iter_candidates",
                _make_sorted_iterator(lambda item: item.queued_at),
            )
        ]


class LatestStartOrder(SchedulingPolicy):
    """Order queued requests by the latest start that is on time, ignoring ranks."""

    def list_replacements(self) -> Sequence[Replacement]:
        """Return the methods to replace, with their replacements."""
        return [
            (
                SlotQueue,
                "iter_candidates",
                _make_sorted_iterator(lambda item: item.latest_start),
            )
        ]


def _choose_own_vm(fleet: Fleet) -> Incarnation:
    # The share of the slots is computed from the ranking.
    fleet._ranking = tuple(fleet._membership.live_incarnations())
    fleet._update_share()
    return fleet._own.incarnation


def _find_group(host: str) -> int:
    return int(host.rpartition(".")[2]) % GROUP_COUNT


def _make_sorted_iterator(
    key: Callable[[QueuedRequest], float],
) -> Callable[..., Iterator[QueuedRequest]]:
    def iter_candidates(
        queue: SlotQueue, now: float, first: tuple[int, int] | None = None
    ) -> Iterator[QueuedRequest]:
        return iter(sorted(queue._by_key.values(), key=key))

    return iter_candidates
