"""Selection of the entry VMs that clients may use."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from fireflyquay.world import EntryVm

from ._fleet import Fleet
from ._settings import VmSettings

# With fewer entry VMs in the client's own availability zone, all zones are used. With
# fewer left after sampling by strength, all candidates are returned.
MIN_ENTRY_VMS = 2
# CPU cores and network link of the reference VM, whose strength of 100 gives it a full
# share of the clients. 8 streamed requests per second take 0.05 cores and up to
# 2 Mbit/s; bursts take several times as much.
REFERENCE_CORES = 1.0
REFERENCE_LINK_MBPS = 20.0
# Maximum number of addresses in one response, which is what clients accept.
MAX_ADDRESSES = 64


class EntrySelector:
    """Select entry VMs near a client; stronger VMs are selected more often."""

    def __init__(
        self, fleet: Fleet, is_ready: Callable[[], bool], rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._own = fleet.get_own_vm().incarnation
        self._is_ready = is_ready
        self._rng = rng

    def list_entry_addresses(self, zone: str) -> Sequence[str]:
        """Return addresses of entry VMs for clients of an availability zone."""
        short = self._fleet.list_short_of_memory()
        available = [
            vm for vm in self._fleet.list_entry_vms() if self._is_available(vm)
        ]
        with_room = [vm for vm in available if vm.incarnation not in short]
        entry_vms = with_room or available
        in_zone = [vm for vm in entry_vms if vm.zone == zone]
        candidates = in_zone if len(in_zone) >= MIN_ENTRY_VMS else entry_vms
        sampled = [vm for vm in candidates if self._rng.randrange(100) < vm.strength]
        if len(sampled) < MIN_ENTRY_VMS:
            sampled = candidates
        return [f"{vm.host}:{vm.http_port}" for vm in sampled[:MAX_ADDRESSES]]

    def _is_available(self, vm: EntryVm) -> bool:
        # The fleet has already excluded other VMs that report themselves unready.
        return vm.incarnation != self._own or self._is_ready()


def compute_strength(vm: VmSettings) -> int:
    """Return a VM's strength: its capacity in percent of the reference, 1 to 100."""
    cpu_ratio = vm.cpu_share * vm.cpu_speed / REFERENCE_CORES
    link_ratio = vm.link_mbps / REFERENCE_LINK_MBPS
    return max(1, min(100, round(100 * min(cpu_ratio, link_ratio))))
