"""Chooses the VMs that clients are told of."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from fireflyquay.world import EntryVm

from ._fleet import Fleet
from ._settings import VmSettings

# VMs of a client's own availability zone that are enough for it.
MIN_ZONE_ENTRIES = 2
# Processor and link that bear a VM's usual part of the clients: 8 requests a second
# with their streams take a twentieth of a core and up to 2 Mbit/s, bursts several times
# as much.
REFERENCE_CORES = 1.0
REFERENCE_LINK_MBPS = 20.0
# Addresses in one answer, as many as clients take.
MAX_ENTRIES = 64


class EntrySelector:
    """List VMs near a client, the strong ones more often than the weak."""

    def __init__(
        self, fleet: Fleet, is_ready: Callable[[], bool], rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._own = fleet.get_own_vm().incarnation
        # Tells whether the own VM takes requests.
        self._is_ready = is_ready
        self._rng = rng

    def list_addresses(self, zone: str) -> Sequence[str]:
        """Return the addresses that clients of an availability zone may use."""
        entries = [vm for vm in self._fleet.list_entries() if self._is_available(vm)]
        near = [vm for vm in entries if vm.zone == zone]
        chosen = near if len(near) >= MIN_ZONE_ENTRIES else entries
        named = [vm for vm in chosen if self._rng.randrange(100) < vm.strength]
        if len(named) < MIN_ZONE_ENTRIES:
            named = chosen
        return [f"{vm.host}:{vm.http_port}" for vm in named[:MAX_ENTRIES]]

    def _is_available(self, vm: EntryVm) -> bool:
        return vm.incarnation != self._own or self._is_ready()


def compute_strength(vm: VmSettings) -> int:
    """Return what a VM bears, in hundredths of a usual one."""
    processor = vm.cpu_share * vm.cpu_speed / REFERENCE_CORES
    link = vm.link_mbps / REFERENCE_LINK_MBPS
    return max(1, min(100, round(100 * min(processor, link))))
