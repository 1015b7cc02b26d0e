"""Partial view: the few peers that a member probes."""

from __future__ import annotations

import random

from xxhash import xxh64_intdigest

from fireflyquay.world import Incarnation

from ._member_table import MemberTable
from ._membership_settings import MembershipSettings


class PartialView:
    """Successors of a member in hash order, and some members selected at random."""

    def __init__(
        self, own: Incarnation, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._own_incarnation = own
        self._settings = settings
        self._rng = rng
        self._peers: list[Incarnation] = []
        self._probe_order: list[Incarnation] = []
        self._selected_at = float("-inf")
        self._selected_join_and_loss_count = -1

    def get_peers(self, now: float, table: MemberTable) -> list[Incarnation]:
        """Return the peers, selected again when members change or the period ends."""
        stale = now - self._selected_at >= self._settings.view_refresh_period
        if stale or self._selected_join_and_loss_count != table.join_and_loss_count:
            self._select_peers(now, table)
        return self._peers

    def select_target(self, now: float, table: MemberTable) -> Incarnation | None:
        """Return the next peer to probe, in random order."""
        peers = self.get_peers(now, table)
        if not peers:
            return None
        self._probe_order = [peer for peer in self._probe_order if peer in peers]
        if not self._probe_order:
            self._probe_order = list(peers)
            self._rng.shuffle(self._probe_order)
        return self._probe_order.pop()

    def sample_live_members(
        self, target: Incarnation, table: MemberTable
    ) -> list[Incarnation]:
        """Return a random sample of live members without the target and this member."""
        live = table.live_incarnations()
        count = min(self._settings.relays_per_probe + 2, len(live))
        sample = self._rng.sample(live, count)
        helpers = [
            incarnation
            for incarnation in sample
            if incarnation not in (self._own_incarnation, target)
        ]
        return helpers[: self._settings.relays_per_probe]

    def _select_peers(self, now: float, table: MemberTable) -> None:
        present = [member.record for member in table.list_running()]
        incarnations = [record.vm.incarnation for record in present]
        others = [
            incarnation
            for incarnation in incarnations
            if incarnation != self._own_incarnation
        ]
        successors = self._find_successors(others)
        rest = [incarnation for incarnation in others if incarnation not in successors]
        kept = [incarnation for incarnation in self._peers if incarnation in set(rest)]
        if now - self._selected_at >= self._settings.view_refresh_period:
            kept = kept[1:]
        kept = kept[: self._settings.random_peer_count]
        pool = [incarnation for incarnation in rest if incarnation not in kept]
        missing = min(self._settings.random_peer_count - len(kept), len(pool))
        # Random peers are in order of age, so that the oldest is dropped first.
        self._peers = kept + self._rng.sample(pool, missing) + successors
        self._selected_at = now
        self._selected_join_and_loss_count = table.join_and_loss_count

    def _find_successors(self, others: list[Incarnation]) -> list[Incarnation]:
        own = _hash_incarnation(self._own_incarnation)
        ring = sorted(
            others,
            key=lambda incarnation: (_hash_incarnation(incarnation) - own) % 2**64,
        )
        return ring[: self._settings.successor_count]


def _hash_incarnation(incarnation: Incarnation) -> int:
    return xxh64_intdigest(incarnation.encode())
