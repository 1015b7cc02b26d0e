"""The backend servers that are registered, with the age of that knowledge."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from xxhash import xxh64_intdigest

from fireflyquay.world import BackendEntry, BackendPhase, BackendServerId

from ._proof import Proof

# Seconds in which a live backend server registers again after the store was away,
# as the platform states.
RETURN_SECONDS = 2.0


class BackendBook:
    """Keep the registered backend servers; older lists change nothing."""

    def __init__(self) -> None:
        self._entries: dict[BackendServerId, BackendEntry] = {}
        self._lapsed: dict[BackendServerId, float] = {}
        self._digest: int | None = None
        self.proof = Proof(0, float("-inf"))

    def replace_all(
        self, entries: Iterable[BackendEntry], proof: Proof, after_outage: bool = False
    ) -> list[str]:
        """Take a whole list and describe the changes.

        After an outage of the store, entries that are missing stay for as long as a
        live backend server may need to register again.
        """
        if proof.revision < self.proof.revision:
            return []
        fresh = {entry.id: entry for entry in entries}
        changes = self._keep_lapsed(fresh, proof, after_outage)
        changes += _compare(self._entries, fresh)
        self._entries = fresh
        self._digest = None
        self.proof = proof
        return changes

    @property
    def digest(self) -> int:
        """Return a hash of all entries."""
        if self._digest is None:
            ordered = sorted(self._entries.items())
            self._digest = xxh64_intdigest(msgspec.msgpack.encode(ordered)) >> 1
        return self._digest

    def prove(self, proof: Proof) -> None:
        """Note that the entries were current at a later moment."""
        if proof.proven_at > self.proof.proven_at:
            revision = max(proof.revision, self.proof.revision)
            self.proof = Proof(revision, proof.proven_at)

    def get(self, name: BackendServerId) -> BackendEntry | None:
        """Return an entry, None if the backend server is gone."""
        return self._entries.get(name)

    def takes_requests(self, name: BackendServerId) -> bool:
        """Tell whether a backend server may be given new requests."""
        entry = self._entries.get(name)
        return entry is not None and entry.phase is BackendPhase.READY

    def list_all(self) -> list[BackendEntry]:
        """Return all registered backend servers."""
        return list(self._entries.values())

    def _keep_lapsed(
        self,
        fresh: dict[BackendServerId, BackendEntry],
        proof: Proof,
        after_outage: bool,
    ) -> list[str]:
        now = proof.proven_at
        if after_outage:
            for name in self._entries.keys() - fresh.keys() - self._lapsed.keys():
                self._lapsed[name] = now + RETURN_SECONDS
        changes = []
        for name, until in list(self._lapsed.items()):
            known = self._entries.get(name)
            if name in fresh or known is None or now >= until:
                del self._lapsed[name]
                continue
            fresh[name] = known
            changes.append(f"{name} is missing since the outage and kept a while")
        return changes


def _compare(
    old: dict[BackendServerId, BackendEntry], new: dict[BackendServerId, BackendEntry]
) -> list[str]:
    changes = [f"{name} gone" for name in old.keys() - new.keys()]
    for name, entry in new.items():
        before = old.get(name)
        if before is None or before.phase is not entry.phase:
            changes.append(f"{name} {entry.phase.value}")
        elif before.address != entry.address:
            changes.append(f"{name} moved")
    return changes
