"""The share of every limit that a member owns without asking anyone."""

from __future__ import annotations

import math

import xxhash

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import Incarnation

from ._allowance_message import Counted, CountMe

COUNT_INTERVAL = 1.0  # Seconds.


class AllowanceFloor:
    """Own 1/N of every limit once all of N members count this one."""

    def __init__(self, own: Incarnation, longest_run: float) -> None:
        self._own = own
        self._longest_run = longest_run
        # Loop time at which each was seen to be confirmed gone.
        self._gone_at: dict[Incarnation, float] = {}
        self._members: frozenset[Incarnation] = frozenset()
        self._counted_by: set[Incarnation] = set()
        self._rates_from = 0.0
        self._in_flight_from: dict[Incarnation, float] = {}
        # Those that handed their floors back.
        self._left: set[Incarnation] = set()
        self._next_ask = 0.0
        self._is_counted = False
        # Shares of the limits, from 0 to 1.
        self.rates = 0.0
        self.in_flight = 0.0
        self.has_left = False

    def advance(self, now: float, members: frozenset[Incarnation]) -> list[Action]:
        """Take the members that may hold a floor, this one included."""
        self._note_gone(now, members)
        self._members = members | {self._own}
        missing = self._members - self._counted_by - {self._own}
        self._is_counted = self._is_counted or not missing
        self._update(now)
        if now < self._next_ask:
            return []
        self._next_ask = now + COUNT_INTERVAL
        asked = set() if self._is_counted else set(missing)
        asked |= self._members & self._list_settling(now)
        message = CountMe(_hash_members(self._members))
        return [Send(peer, message) for peer in sorted(asked)]

    def counts(self, sender: Incarnation, message: CountMe) -> bool:
        """Say whether this node counts the sender and all that it counts."""
        return sender in self._members and message.digest == _hash_members(
            self._members
        )

    def note_left(self, sender: Incarnation) -> None:
        """Note that a member uses its floor no more, nor has lent any of it."""
        self._left.add(sender)

    def compute_gone_wait(self, now: float) -> float:
        """Return the seconds until requests of members that are gone have ended."""
        ends = [at + self._longest_run - now for at in self._gone_at.values()]
        return max(ends, default=0.0)

    def leave(self) -> None:
        """Give up the floors for good."""
        self.has_left = True
        self.rates = self.in_flight = 0.0

    def note_counted(self, now: float, sender: Incarnation, message: Counted) -> None:
        """Note that a member counts this node."""
        self._counted_by.add(sender)
        # Bounds what a member with a wrong clock can do.
        longest = 2 * self._longest_run
        rates_wait = min(message.rates_wait, longest)
        in_flight_wait = min(message.in_flight_wait, longest)
        self._rates_from = max(self._rates_from, now + rates_wait)
        # Nothing more is in use at a member whose wait is over.
        until = min(self._in_flight_from.get(sender, math.inf), now + in_flight_wait)
        self._in_flight_from[sender] = until

    def _update(self, now: float) -> None:
        self.rates = self.in_flight = 0.0
        if self.has_left or not self._is_counted:
            return
        if now >= self._rates_from:
            self.rates = 1.0 / len(self._members)
        if not self._list_settling(now):
            # Requests of a member that is gone may still run.
            self.in_flight = 1.0 / (len(self._members) + len(self._gone_at))

    def _list_settling(self, now: float) -> set[Incarnation]:
        return {peer for peer, at in self._in_flight_from.items() if now < at}

    def _note_gone(self, now: float, members: frozenset[Incarnation]) -> None:
        for peer in self._members - members - {self._own} - self._left:
            self._gone_at[peer] = now
            if not self._is_counted and peer not in self._counted_by:
                # It may have used a larger floor than one that counted this node.
                self._in_flight_from[peer] = now + self._longest_run
        self._gone_at = {
            peer: at
            for peer, at in self._gone_at.items()
            if now < at + self._longest_run and peer not in members
        }


def _hash_members(members: frozenset[Incarnation]) -> int:
    return xxhash.xxh64_intdigest(" ".join(sorted(members)).encode())
