"""Operators: conditional writes to the store, repeated until they are certain."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fireflyquay.contracts import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    StoreAnswer,
    StoredValue,
    StoreMissing,
    StoreRead,
    StoreWrite,
    encode_backend_change,
    encode_contract_change,
    is_applied,
)
from fireflyquay.world import (
    BackendServer,
    BackendState,
    ChangeId,
    Contract,
)

from ._clock import Clock
from ._evidence import Accepted, Evidence, Marked
from ._store import Store

RETRY_S = 0.5
MAX_TRIES = 6


class Operators:
    """Make changes; each ends as applied, conflicting or unknown."""

    def __init__(self, clock: Clock, store: Store, evidence: Evidence) -> None:
        # How each change ended, by its id.
        self.outcomes: dict[ChangeId, str] = {}
        self._clock = clock
        self._store = store
        self._evidence = evidence
        self._count = 0
        store.on_written.append(self._note_written)

    def change_contract(
        self, customer: str, build: Callable[[Contract | None], Contract], who: str
    ) -> ChangeId:
        """Read, change and write back a contract."""

        def encode(current: StoredValue | None, change_id: ChangeId) -> bytes:
            old = CONTRACT_CODEC.decode(current.value).contract if current else None
            contract = build(old)
            return encode_contract_change(current, contract, change_id, who, 0.0)

        return self._change(CONTRACTS_PREFIX + customer, encode, CONTRACT_CODEC)

    def register(self, server: BackendServer) -> ChangeId:
        """Register a backend server."""

        def encode(current: StoredValue | None, change_id: ChangeId) -> bytes:
            return encode_backend_change(current, server, change_id, "anna", 0.0)

        return self._change(BACKENDS_PREFIX + server.server, encode, BACKEND_CODEC)

    def mark(self, server: str, state: BackendState) -> ChangeId:
        """Mark a backend server as joining, serving, leaving or stopping."""

        def encode(current: StoredValue | None, change_id: ChangeId) -> bytes:
            old = BACKEND_CODEC.decode(current.value).backend
            new = replace(old, state=state)
            return encode_backend_change(current, new, change_id, "anna", 0.0)

        return self._change(BACKENDS_PREFIX + server, encode, BACKEND_CODEC)

    def _change(self, path: str, encode, codec) -> ChangeId:
        self._count += 1
        change_id = ChangeId(f"change-{self._count}")
        tries = [0]

        def read() -> None:
            tries[0] += 1
            if tries[0] > MAX_TRIES:
                self.outcomes.setdefault(change_id, "unknown")
                return
            self._store.call(StoreRead(path), take_read)

        def take_read(answer: StoreAnswer) -> None:
            if isinstance(answer, StoredValue):
                if is_applied(codec.decode(answer.value), change_id):
                    self.outcomes[change_id] = "applied"
                    return
            elif not isinstance(answer, StoreMissing):
                self._clock.call_in(RETRY_S, read)
                return
            current = answer if isinstance(answer, StoredValue) else None
            version = current.version if current else 0
            write = StoreWrite(path, encode(current, change_id), version)
            self._store.call(write, take_written)

        def take_written(answer: StoreAnswer) -> None:
            if isinstance(answer, StoredValue):
                self.outcomes[change_id] = "applied"
                return
            self._clock.call_in(RETRY_S, read)

        read()
        return change_id

    def _note_written(self, value: StoredValue) -> None:
        now = self._clock.now
        if value.path.startswith(CONTRACTS_PREFIX):
            record = CONTRACT_CODEC.decode(value.value)
            contract = record.contract
            self._evidence.accepted.append(
                Accepted(now, contract.customer, record.version, contract.limits)
            )
        if value.path.startswith(BACKENDS_PREFIX):
            backend = BACKEND_CODEC.decode(value.value).backend
            self._evidence.marked.append(Marked(now, backend.server, backend.state))
