"""Book of stored records of which the newest per path is in force."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic

from xxhash import xxh64_intdigest

from fireflyquay.contracts._record_codec import RecordCodec, RecordT
from fireflyquay.contracts._store_call import StoredValue
from fireflyquay.world import FireflyquayError

BOOK_BUCKETS = 16


@dataclass(frozen=True, slots=True)
class BookEntry(Generic[RecordT]):
    """Hold one record in force and where it stands in the store's history."""

    record: RecordT
    version: int
    # Orders the writes of a path, also after it was deleted and created again.
    revision: int


class VersionedBook(ABC, Generic[RecordT]):
    """Hold the newest record per path; nothing older ever replaces it."""

    # Start of the paths that belong here.
    prefix: str
    _codec: RecordCodec[RecordT]

    def __init__(self) -> None:
        self._entries: dict[str, BookEntry[RecordT]] = {}
        # Newest revision that could not be read, by path.
        self._rejected: dict[str, int] = {}
        self.hashes = [0] * BOOK_BUCKETS
        self.rejected_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def summary(self) -> int:
        """Return a hash of all paths and their revisions in force."""
        total = 0
        for value in self.hashes:
            total ^= value
        return total

    def apply(self, stored: StoredValue) -> bool:
        """Put a value in force if it is newer, and tell whether it was.

        Raise FireflyquayError when it is newer but unreadable.
        """
        held = self._entries.get(stored.path)
        if held is not None and stored.revision <= held.revision:
            return False
        if self.is_rejected(stored.path, stored.revision):
            return False
        try:
            record = self._read(stored)
        except FireflyquayError:
            self.rejected_count += 1
            self._rejected[stored.path] = stored.revision
            raise
        before = self.get_revision(stored.path)
        entry = BookEntry(self._strip(record), stored.version, stored.revision)
        self._entries[stored.path] = entry
        self._change_hash(stored.path, before)
        self._index(None if held is None else held.record, entry.record)
        return True

    def export(self, path: str) -> StoredValue | None:
        """Return a record in force as peers apply it, without its past changes."""
        entry = self._entries.get(path)
        if entry is None:
            return None
        value = self._codec.encode(entry.record)
        return StoredValue(path, value, entry.version, entry.revision)

    def get_revision(self, path: str) -> int:
        """Return the revision in force at a path, 0 when there is none."""
        entry = self._entries.get(path)
        return 0 if entry is None else entry.revision

    def is_rejected(self, path: str, revision: int) -> bool:
        """Tell whether this or a newer revision could not be read."""
        return revision <= self._rejected.get(path, 0)

    def list_revisions(self, buckets: Iterable[int]) -> dict[str, int]:
        """Return the revisions in force of the paths in some buckets."""
        wanted = set(buckets)
        chosen = (path for path in self._entries if _find_bucket(path) in wanted)
        return {path: self.get_revision(path) for path in sorted(chosen)}

    @abstractmethod
    def _check(self, path: str, record: RecordT) -> None:
        """Raise FireflyquayError when the record makes no sense at this path."""

    @abstractmethod
    def _strip(self, record: RecordT) -> RecordT:
        """Return the record without what only operators read."""

    @abstractmethod
    def _index(self, before: RecordT | None, after: RecordT) -> None:
        """Keep indices in step with a changed record."""

    def _find(self, path: str) -> RecordT | None:
        entry = self._entries.get(path)
        return None if entry is None else entry.record

    def _read(self, stored: StoredValue) -> RecordT:
        record = self._codec.decode(stored.value)
        self._check(stored.path, record)
        return record

    def _change_hash(self, path: str, before: int) -> None:
        bucket = _find_bucket(path)
        if before:
            self.hashes[bucket] ^= _hash(f"{path}:{before}")
        self.hashes[bucket] ^= _hash(f"{path}:{self.get_revision(path)}")


def _find_bucket(path: str) -> int:
    return _hash(path) % BOOK_BUCKETS


def _hash(text: str) -> int:
    return xxh64_intdigest(text.encode())
