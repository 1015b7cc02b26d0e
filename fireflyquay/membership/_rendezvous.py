"""Rendezvous hashing of entry VMs."""

from __future__ import annotations

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from fireflyquay.world import Incarnation


def rank_members(name: str, members: Sequence[Incarnation]) -> tuple[Incarnation, ...]:
    """Return the members in descending order of their hash weight for a name."""
    return tuple(
        sorted(
            members, key=lambda member: _compute_sort_key(name, member), reverse=True
        )
    )


def _compute_sort_key(name: str, member: Incarnation) -> tuple[int, Incarnation]:
    return xxh64_intdigest(f"{name}\0{member}".encode()), member
