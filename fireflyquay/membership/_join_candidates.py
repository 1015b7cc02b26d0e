"""Selection of the addresses to which join requests are sent."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from fireflyquay.world import EntryVm, VmListing, VmListingState

from ._member_table import MemberTable
from ._membership_settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class JoinAttempts:
    """Hold the number of join requests to an address, and the time of the next one."""

    sent_count: int
    # Loop time in seconds.
    next_at: float


_NO_ATTEMPTS = JoinAttempts(0, float("-inf"))


class JoinCandidates:
    """Select addresses at which no member is known, to send join requests to them.

    They come from the platform's list of VMs and from dead members. The list may be out
    of date, so it neither adds nor removes members by itself.
    """

    def __init__(
        self, own_vm: EntryVm, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._own_address = (own_vm.host, own_vm.peer_port)
        self._settings = settings
        self._rng = rng
        self._listed_states: dict[tuple[str, int], VmListingState] = {}
        self._attempts: dict[tuple[str, int], JoinAttempts] = {}

    def update(self, listings: Sequence[VmListing]) -> None:
        """Replace the platform's list of VMs."""
        self._listed_states = {(v.host, v.peer_port): v.state for v in listings}

    def select_addresses(self, now: float, table: MemberTable) -> list[tuple[str, int]]:
        """Return a sample of the due addresses, and schedule their next requests."""
        listed_live = [
            address
            for address, state in self._listed_states.items()
            if state is VmListingState.LIVE
        ]
        # Members that were declared dead may run behind a network partition.
        possibly_running = [
            member.record.vm
            for member in table.list_dead()
            if not member.is_end_confirmed
        ]
        addresses = dict.fromkeys(
            listed_live + [(vm.host, vm.peer_port) for vm in possibly_running]
        )
        addresses.pop(self._own_address, None)
        unknown = [a for a in addresses if table.find_by_address(*a) is None]
        self._attempts = {a: self._attempts[a] for a in unknown if a in self._attempts}
        due = [a for a in unknown if now >= self._attempts.get(a, _NO_ATTEMPTS).next_at]
        chosen = self._rng.sample(
            due, min(self._settings.max_joins_per_period, len(due))
        )
        for address in chosen:
            self._record_attempt(now, address)
        return chosen

    def _record_attempt(self, now: float, address: tuple[str, int]) -> None:
        sent_count = self._attempts.get(address, _NO_ATTEMPTS).sent_count + 1
        # The exponent is bounded because a large power would not fit into a float.
        backoff = self._settings.join_period * 2 ** min(sent_count - 1, 8)
        backoff = min(backoff, self._settings.max_join_backoff)
        next_at = now + backoff * (0.5 + self._rng.random() / 2)
        self._attempts[address] = JoinAttempts(sent_count, next_at)
