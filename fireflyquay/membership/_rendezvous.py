"""Rendezvous hashing: which entry VM has a duty."""

from __future__ import annotations

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from fireflyquay.world import Incarnation


def choose_one(name: str, members: Sequence[Incarnation]) -> Incarnation | None:
    """Return the member with the highest weight for the name, None if none."""
    return max(members, key=lambda member: _weigh(name, member), default=None)


def rank(name: str, members: Sequence[Incarnation]) -> tuple[Incarnation, ...]:
    """Order members by falling weight for the name."""
    return tuple(sorted(members, key=lambda member: _weigh(name, member), reverse=True))


def _weigh(name: str, member: Incarnation) -> tuple[int, Incarnation]:
    return xxh64_intdigest(f"{name}\0{member}".encode()), member
