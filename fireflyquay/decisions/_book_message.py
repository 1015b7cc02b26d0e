"""Messages that bring the books of entry VMs in step."""

from __future__ import annotations

import msgspec

from fireflyquay.contracts._store_call import StoredValue
from fireflyquay.membership._bounds import Count
from fireflyquay.membership._message import Message


class PushedValue(msgspec.Struct, frozen=True, array_like=True):
    """Carry one value of a book."""

    path: str
    value: bytes
    version: Count
    revision: Count

    def build_stored(self) -> StoredValue:
        """Return it as the store would have given it."""
        return StoredValue(self.path, self.value, self.version, self.revision)


class BookDigest(Message):
    """Carry a hash per book, in the fixed order of the books."""

    summaries: tuple[int, ...]
    # Whether the sender has a full copy.
    is_ready: bool
    is_answer: bool


class BookBuckets(Message):
    """Carry a hash per bucket of a book that differs."""

    prefix: str
    hashes: tuple[int, ...]


class BookRevisions(Message):
    """Carry newest revisions by path of the buckets that differ."""

    prefix: str
    indices: tuple[Count, ...]
    revisions: dict[str, Count]


class BookPull(Message):
    """Ask for the values at some paths."""

    paths: tuple[str, ...]


class BookPush(Message):
    """Carry values; a fresh change is passed on by whom it is new to."""

    values: tuple[PushedValue, ...]
    is_fresh: bool
