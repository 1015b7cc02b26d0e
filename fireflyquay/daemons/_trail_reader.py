"""Trail records, merged from entry VMs and from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from fireflyquay.contracts import (
    StoreList,
    StoreListing,
)
from fireflyquay.decisions import (
    decode_batch,
    list_prefixes,
)
from fireflyquay.world import (
    NO_WITNESS,
    FireflyquayError,
    Incarnation,
    TrailRecord,
    parse_homed_key,
)

from ._operator import CALL_TIMEOUT_S, make_unavailable
from ._output import format_time

if TYPE_CHECKING:
    from fireflyquay.links import Store

TRAIL = "trail/"
MAX_AT_ONCE = 16


def decode_records(body: bytes) -> tuple[TrailRecord, ...]:
    """Read a JSON list of records; an unreadable one holds none."""
    try:
        return msgspec.json.decode(body, type=tuple[TrailRecord, ...])
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ()


@dataclass(frozen=True, slots=True)
class StoredTrail:
    """Hold what the store has of a request."""

    records: tuple[TrailRecord, ...]
    # Batches that can't be read.
    unreadable: int


async def read_stored_trail(store: Store, key: str, live: Sequence[str]) -> StoredTrail:
    """Read a request's flushed records; raise STORE_UNAVAILABLE.

    A homed key is looked for in the batches of its home, its witness and the
    live entry VMs, a plain one in all.
    """
    gate = asyncio.Semaphore(MAX_AT_ONCE)
    prefixes = choose_prefixes(key, live)
    found = await asyncio.gather(*(_list(store, gate, p) for p in prefixes))
    records: list[TrailRecord] = []
    unreadable = 0
    for value in (value for listing in found for value in listing.values):
        try:
            batch = decode_batch(value.value)
        except FireflyquayError:
            unreadable += 1
            continue
        records += (record for record in batch if is_named(record, key))
    return StoredTrail(tuple(records), unreadable)


def choose_prefixes(key: str, live: Sequence[str]) -> tuple[str, ...]:
    """Return the store's prefixes that may hold a key's records."""
    homed = parse_homed_key(key)
    if homed is None:
        return (TRAIL,)
    deciders = (homed.home, homed.witness, *(Incarnation(name) for name in live))
    return list_prefixes(tuple(name for name in deciders if name != NO_WITNESS))


def is_named(record: TrailRecord, key: str) -> bool:
    """Tell whether a key names a record, with or without the customer before it."""
    if record.key == key:
        return True
    return parse_homed_key(key) is None and record.key == f"{record.customer}/{key}"


async def _list(store: Store, gate: asyncio.Semaphore, prefix: str) -> StoreListing:
    async with gate:
        answer = await store.call(StoreList(prefix), CALL_TIMEOUT_S)
    if not isinstance(answer, StoreListing):
        raise make_unavailable()
    return answer


def merge_records(
    found: Iterable[tuple[TrailRecord, ...]], key: str
) -> list[TrailRecord]:
    """Return a request's records in order, each once."""
    merged = {
        (record.node, record.sequence): record
        for records in found
        for record in records
        if is_named(record, key)
    }
    return sorted(merged.values(), key=lambda r: (r.at, r.node, r.sequence))


def describe_record(record: TrailRecord, names_customer: bool = False) -> str:
    """Write a record for people."""
    parts = [format_time(record.at), record.node, f"attempt {record.attempt}"]
    parts.append(record.step.value)
    if names_customer:
        parts.insert(2, record.customer)
    for text in (record.target, record.why, record.verdict):
        if text:
            parts.append(text)
    return "  ".join(parts)
