"""Baseline: claims of plain keys batched into one stored value per key shard."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import xxhash

from fireflyquay.contracts import (
    StoreAnswer,
    StoreConflict,
    StoredValue,
    StoreFailed,
    StoreMissing,
    StoreRead,
    StoreWrite,
)
from fireflyquay.decisions import (
    CallStore,
)

from ._identity_world import TICK_S, EntryHost, World

SHARDS = 16
CLAIM_TAG = "claim:"


class StoredClaim(msgspec.Struct, frozen=True, array_like=True):
    """Hold one claim within a shard's value."""

    version: int
    value: str


@dataclass(slots=True)
class _Shard:
    version: int = 0
    claims: dict[str, StoredClaim] = field(default_factory=dict)
    waiting: dict[str, CallStore] = field(default_factory=dict)
    is_asking: bool = False


class ClaimBatcher:
    """Collect the claims of one node and write each shard's once a tick."""

    def __init__(self, world: World, host: EntryHost, shards: int) -> None:
        self._world = world
        self._host = host
        self._shards = [_Shard() for _ in range(shards)]
        self.conflicts = 0
        world.clock.call_in(world.rng.random() * TICK_S, self._flush)

    def take(self, action: CallStore) -> None:
        """Keep a claim, or the read of one, until the next tick."""
        path = action.call.path
        number = xxhash.xxh3_64_intdigest(path.encode()) % len(self._shards)
        self._shards[number].waiting[path] = action

    def _flush(self) -> None:
        if not self._host.is_alive:
            return
        for number, shard in enumerate(self._shards):
            if shard.waiting and not shard.is_asking and not self._host.is_frozen:
                self._ask(number, shard)
        self._world.clock.call_in(TICK_S, self._flush)

    def _ask(self, number: int, shard: _Shard) -> None:
        shard.is_asking = True
        path = f"shards/{number}"
        batch, shard.waiting = shard.waiting, {}
        writes = [a for a in batch.values() if isinstance(a.call, StoreWrite)]
        merged = dict(shard.claims)
        for action in writes:
            call = action.call
            if self._find_version(shard, call.path) == call.expected_version:
                version = call.expected_version + 1
                merged[call.path] = StoredClaim(version, call.value.decode())
        call = StoreRead(path)
        if merged != shard.claims:
            value = msgspec.json.encode(merged)
            call = StoreWrite(path, value, shard.version)

        def meet(answer: StoreAnswer) -> None:
            self._host.call(lambda: self._meet(number, shard, batch, answer))

        self._world.store.call(call, meet)

    def _meet(
        self,
        number: int,
        shard: _Shard,
        batch: dict[str, CallStore],
        answer: StoreAnswer,
    ) -> None:
        if isinstance(answer, StoreConflict):
            self.conflicts += 1
            self._reread(number, shard, batch)
            return
        shard.is_asking = False
        if isinstance(answer, StoreFailed):
            for path, action in batch.items():
                failed = StoreFailed(path, answer.may_have_applied)
                self._host.take_store_answer(action.tag, failed)
            return
        self._learn(shard, answer)
        for path, action in batch.items():
            self._answer(shard, path, action)

    def _reread(self, number: int, shard: _Shard, batch: dict[str, CallStore]) -> None:
        """Read the shard again; the batch is written anew with the next tick."""

        def meet(answer: StoreAnswer) -> None:
            self._host.call(lambda: self._retry(shard, batch, answer))

        self._world.store.call(StoreRead(f"shards/{number}"), meet)

    def _retry(
        self, shard: _Shard, batch: dict[str, CallStore], answer: StoreAnswer
    ) -> None:
        shard.is_asking = False
        self._learn(shard, answer)
        shard.waiting = {**batch, **shard.waiting}

    def _learn(self, shard: _Shard, answer: StoreAnswer) -> None:
        if isinstance(answer, StoredValue):
            shard.version = answer.version
            shard.claims = msgspec.json.decode(
                answer.value, type=dict[str, StoredClaim]
            )

    def _answer(self, shard: _Shard, path: str, action: CallStore) -> None:
        claim = shard.claims.get(path)
        answer: StoreAnswer = StoreMissing(path)
        if claim is not None:
            answer = StoredValue(path, claim.value.encode(), claim.version, 0)
            call = action.call
            is_own = isinstance(call, StoreRead) or call.value == answer.value
            if not is_own:
                answer = StoreConflict(path, claim.version)
        self._host.take_store_answer(action.tag, answer)

    def _find_version(self, shard: _Shard, path: str) -> int:
        claim = shard.claims.get(path)
        return 0 if claim is None else claim.version


def batch_claims(world: World, shards: int = SHARDS) -> list[ClaimBatcher]:
    """Carry the claims of all nodes in batches; return the batchers."""
    batchers = {
        host: ClaimBatcher(world, host, shards) for host in world.hosts.values()
    }

    def carry(host: EntryHost, action: CallStore) -> None:
        if action.tag.startswith(CLAIM_TAG):
            batchers[host].take(action)
            return
        world.call_store(host, action)

    world.carry_store_call = carry
    return list(batchers.values())
