"""Partial view of the membership: the peers that a member probes."""

from __future__ import annotations

import random

from xxhash import xxh64_intdigest

from fireflyquay.world import Incarnation

from ._member_table import MemberTable
from ._membership_settings import MembershipSettings


class PartialView:
    """Select the peers to probe: successors in hash order, and random members."""

    def __init__(
        self,
        own_incarnation: Incarnation,
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._own_incarnation = own_incarnation
        self._settings = settings
        self._rng = rng
        self._peers: list[Incarnation] = []
        self._probe_order: list[Incarnation] = []
        self._selected_at = float("-inf")
        self._selected_join_and_loss_count = -1

    def get_peers(self, now: float, table: MemberTable) -> list[Incarnation]:
        """Return the peers, selected anew after joins and losses and periodically."""
        is_refresh_due = now - self._selected_at >= self._settings.view_refresh_period
        if (
            is_refresh_due
            or self._selected_join_and_loss_count != table.join_and_loss_count
        ):
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
        self, excluded: Incarnation, table: MemberTable
    ) -> list[Incarnation]:
        """Return random live members, other than the excluded one and this one."""
        live = table.live_incarnations()
        # Two more than needed, as two members are excluded from the sample.
        count = min(self._settings.relays_per_probe + 2, len(live))
        sample = self._rng.sample(live, count)
        selected = [
            incarnation
            for incarnation in sample
            if incarnation not in (self._own_incarnation, excluded)
        ]
        return selected[: self._settings.relays_per_probe]

    def _select_peers(self, now: float, table: MemberTable) -> None:
        records = [member.record for member in table.list_running()]
        incarnations = [record.vm.incarnation for record in records]
        others = [
            incarnation
            for incarnation in incarnations
            if incarnation != self._own_incarnation
        ]
        successors = self._find_successors(others)
        non_successors = [
            incarnation for incarnation in others if incarnation not in successors
        ]
        # The oldest random peers come first, as new ones are appended below.
        kept_peers = [
            incarnation
            for incarnation in self._peers
            if incarnation in set(non_successors)
        ]
        if now - self._selected_at >= self._settings.view_refresh_period:
            # Each periodic refresh replaces the oldest random peer.
            kept_peers = kept_peers[1:]
        kept_peers = kept_peers[: self._settings.random_peer_count]
        candidates = [
            incarnation
            for incarnation in non_successors
            if incarnation not in kept_peers
        ]
        missing_count = min(
            self._settings.random_peer_count - len(kept_peers), len(candidates)
        )
        self._peers = (
            kept_peers + self._rng.sample(candidates, missing_count) + successors
        )
        self._selected_at = now
        self._selected_join_and_loss_count = table.join_and_loss_count

    def _find_successors(self, others: list[Incarnation]) -> list[Incarnation]:
        own_hash = _hash_incarnation(self._own_incarnation)
        ring = sorted(
            others,
            key=lambda incarnation: (_hash_incarnation(incarnation) - own_hash) % 2**64,
        )
        return ring[: self._settings.successor_count]


def _hash_incarnation(incarnation: Incarnation) -> int:
    return xxh64_intdigest(incarnation.encode())
