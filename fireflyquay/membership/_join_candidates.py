"""Addresses without a member to which join requests are sent."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from fireflyquay.world import EntryVm, VmListing, VmListingState

from ._member_table import MemberTable
from ._membership_settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class JoinAttempts:
    """Number of join requests to an address, and the time of the next one."""

    sent_count: int
    # Loop time in seconds.
    next_at: float


_NO_ATTEMPTS = JoinAttempts(0, float("-inf"))


class JoinCandidates:
    """Addresses from the platform's list of VMs, and of members that were lost.

    The list may be out of date, so it neither adds nor removes members by itself.
    """

    def __init__(
        self, own: EntryVm, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._own_address = (own.host, own.peer_port)
        self._settings = settings
        self._rng = rng
        self._listed_states: dict[tuple[str, int], VmListingState] = {}
        self._attempts: dict[tuple[str, int], JoinAttempts] = {}

    def update(self, listings: Sequence[VmListing]) -> None:
        """Replace the platform's list by a newer one."""
        self._listed_states = {(v.host, v.peer_port): v.state for v in listings}

    def select_addresses(self, now: float, table: MemberTable) -> list[tuple[str, int]]:
        """Sample addresses that are due for a join request, and back them off."""
        listed = [a for a, s in self._listed_states.items() if s is VmListingState.LIVE]
        lost = [m.record.vm for m in table.list_dead() if not m.is_end_confirmed]
        addresses = dict.fromkeys(listed + [(vm.host, vm.peer_port) for vm in lost])
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
        count = self._attempts.get(address, _NO_ATTEMPTS).sent_count + 1
        backoff = self._settings.join_period * 2 ** min(count - 1, 8)
        backoff = min(backoff, self._settings.max_join_backoff)
        next_at = now + backoff * (0.5 + self._rng.random() / 2)
        self._attempts[address] = JoinAttempts(count, next_at)
