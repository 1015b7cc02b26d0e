"""The closing board: closed tiers made known through the store during a split."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from fireflyquay.contracts._store_call import (
    StoreAnswer,
    StoreConflict,
    StoredValue,
    StoreMissing,
    StoreRead,
    StoreWrite,
)
from fireflyquay.membership import (
    Action,
)
from fireflyquay.world import Incarnation, PoolId, Tier

from ._action import (
    CallStore,
)
from ._cell import CellBroker
from ._tier_gate import Closing

CLOSING_PREFIX = "closings/"
CLOSING_TAG = "closing:"
READ_PERIOD_S = 0.5
WRITE_PERIOD_S = 1.0
# Age of a read up to which lower tiers are still granted.
FRESH_S = 1.5
# Time that readers keep a closing in force.
CLOSING_LASTS_S = 6.0
# Time without any answer after which the store counts as out of reach for all.
OUTAGE_AFTER_S = 5.0
# Time after an outage in which every broker must have read the store again.
SETTLE_S = 2.5
# Time from the start of a split in which the first answer shows no outage.
PROMPT_S = 1.0


class ClosingRecord(msgspec.Struct, frozen=True):
    """Hold a closing as stored."""

    broker: Incarnation
    # Lowest tier that is still served.
    below: Tier


@dataclass(slots=True)
class _Pool:
    broker: CellBroker
    since: float
    next_read: float = 0.0
    next_write: float = 0.0
    # Loop time at which the newest answered read was sent, in seconds.
    read_from: float = float("-inf")
    # Loop time since which reads have been fresh without a gap, in seconds.
    fresh_since: float = float("-inf")
    # Whether reads failed for so long that others may have shed meanwhile.
    had_gap: bool = False
    version: int = 0
    seen_version: int = 0
    asked_at: float = 0.0
    is_reading: bool = False
    # Closing of the write under way, and of the last that was taken.
    written: ClosingRecord | None = None
    in_force: ClosingRecord | None = None
    write_sent_at: float = 0.0
    # Loop times between which higher tiers may be shed, in seconds.
    shed_from: float = float("inf")
    shed_until: float = float("-inf")


class ClosingBoard:
    """Let brokers of one pool that can't reach each other know of closings.

    A broker grants lower tiers only on a fresh read. A broker that must shed a
    higher tier writes its closing and waits until every older read is stale.
    """

    def __init__(self, own: Incarnation) -> None:
        self._own = own
        self._pools: dict[PoolId, _Pool] = {}

    def advance(self, now: float, brokers: dict[PoolId, CellBroker]) -> list[Action]:
        """Read and write what the brokers in a split need."""
        actions: list[Action] = []
        for pool, broker in brokers.items():
            if not broker.gate.split:
                self._pools.pop(pool, None)
                continue
            entry = self._pools.get(pool)
            if entry is None or entry.broker is not broker:
                entry = self._pools[pool] = _Pool(broker, now)
            broker.gate.closing_known = self._is_known(now, entry)
            broker.gate.shed_from = self._find_shed_tier(now, entry)
            actions += self._call_store(now, pool, entry)
        return actions

    def receive_store_answer(self, now: float, tag: str, answer: StoreAnswer) -> None:
        """Take the answer to a read or write of a pool's closing."""
        kind, _, pool = tag.removeprefix(CLOSING_TAG).partition(":")
        entry = self._pools.get(PoolId(pool))
        if entry is None:
            return
        if kind == "read":
            entry.is_reading = False
        if isinstance(answer, StoreConflict):
            entry.version = answer.version
            entry.next_read = now
            return
        if isinstance(answer, StoreMissing):
            entry.version = 0
            self._note_fresh(now, entry)
            return
        if not isinstance(answer, StoredValue):
            return
        entry.version = answer.version
        if kind == "write":
            self._note_written(now, entry, answer)
        else:
            self._note_read(now, entry, answer)

    def _call_store(self, now: float, pool: PoolId, entry: _Pool) -> list[Action]:
        actions: list[Action] = []
        path = CLOSING_PREFIX + pool
        if now >= entry.next_read and not entry.is_reading:
            entry.is_reading = True
            entry.next_read = now + READ_PERIOD_S
            entry.asked_at = now
            actions.append(CallStore(f"{CLOSING_TAG}read:{pool}", StoreRead(path)))
        wanted = entry.broker.gate.wanted
        if wanted is None or now < entry.next_write:
            return actions
        entry.next_write = now + WRITE_PERIOD_S
        entry.write_sent_at = now
        if entry.in_force is not None and now < entry.shed_until:
            # Readers replace one closing by the next, so none may be weaker.
            wanted = min(wanted, entry.in_force.below)
        entry.written = ClosingRecord(self._own, wanted)
        value = msgspec.json.encode(entry.written)
        write = StoreWrite(path, value, entry.version)
        actions.append(CallStore(f"{CLOSING_TAG}write:{pool}", write))
        entry.broker.gate.wanted = None
        return actions

    def _is_known(self, now: float, entry: _Pool) -> bool:
        if now - entry.read_from > FRESH_S:
            return False
        return not entry.had_gap or now - entry.fresh_since >= SETTLE_S

    def _note_fresh(self, now: float, entry: _Pool) -> None:
        """Note an answered read, and whether others may have seen an outage."""
        last = max(entry.since + PROMPT_S - FRESH_S, entry.read_from)
        if now - last > FRESH_S:
            entry.had_gap = True
            entry.fresh_since = now
        entry.read_from = entry.asked_at

    def _find_shed_tier(self, now: float, entry: _Pool) -> Tier | None:
        if entry.in_force is not None and entry.shed_from <= now < entry.shed_until:
            return entry.in_force.below
        since = max(entry.since, entry.read_from)
        if now - since > OUTAGE_AFTER_S:
            # Without the store every broker in a split serves the top tier only.
            return min(Tier)
        return None

    def _note_written(self, now: float, entry: _Pool, answer: StoredValue) -> None:
        entry.seen_version = answer.version
        settled = now + FRESH_S
        # A late renewal leaves a moment that no closing covers.
        if settled > entry.shed_until or entry.in_force != entry.written:
            entry.shed_from = settled
        entry.in_force = entry.written
        entry.shed_until = entry.write_sent_at + CLOSING_LASTS_S

    def _note_read(self, now: float, entry: _Pool, answer: StoredValue) -> None:
        self._note_fresh(now, entry)
        if answer.version <= entry.seen_version:
            return
        entry.seen_version = answer.version
        record = _decode_record(answer.value)
        if record is None or record.broker == self._own:
            return
        closing = Closing(record.below, now + CLOSING_LASTS_S)
        entry.broker.gate.note_other(now, closing)


def _decode_record(value: bytes) -> ClosingRecord | None:
    try:
        return msgspec.json.decode(value, type=ClosingRecord)
    except msgspec.DecodeError:
        return None
