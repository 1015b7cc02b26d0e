"""Rendezvous hashing of entry VMs."""

from __future__ import annotations

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from fireflyquay.world import Incarnation


def rank_members(
    hash_key: str, incarnations: Sequence[Incarnation]
) -> tuple[Incarnation, ...]:
    """Return the members in descending order of their hash with a key."""
    return tuple(
        sorted(
            incarnations,
            key=lambda incarnation: _compute_sort_key(hash_key, incarnation),
            reverse=True,
        )
    )


def _compute_sort_key(
    hash_key: str, incarnation: Incarnation
) -> tuple[int, Incarnation]:
    return xxh64_intdigest(f"{hash_key}\0{incarnation}".encode()), incarnation
