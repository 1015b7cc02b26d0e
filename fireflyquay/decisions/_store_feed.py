"""Feed of one book from the store: listings, and watches re-armed in turn."""

from __future__ import annotations

import random

from fireflyquay.contracts._store_call import (
    StoreAnswer,
    StoreCall,
    StoreList,
    StoreListing,
    StoreWatch,
)

from ._action import (
    CallStore,
)
from ._book_settings import BookSettings

TAG_PREFIX = "books:"


class StoreFeed:
    """Keep one call to the store under way while it is wanted."""

    def __init__(self, prefix: str, settings: BookSettings, rng: random.Random) -> None:
        self.prefix = prefix
        # Whether a full listing has come.
        self.is_listed = False
        self._settings = settings
        self._rng = rng
        self._sequence = 0
        self._pending = False
        self._pending_until = 0.0
        self._listing = False
        self._revision: int | None = None
        self._failures = 0
        self._next_at = 0.0
        self._relist_at = 0.0

    def advance(
        self, now: float, is_watcher: bool, needs_list: bool
    ) -> list[CallStore]:
        """Return the call that is due, if any."""
        if self._pending and now >= self._pending_until:
            self._fail(now)
        if self._pending or now < self._next_at:
            return []
        if not is_watcher and not needs_list:
            return []
        stale = self._revision is None or now >= self._relist_at
        return [self._list(now) if stale else self._watch(now)]

    def receive(self, now: float, tag: str, answer: StoreAnswer) -> bool:
        """Take in the answer to a call and tell whether it belongs here."""
        prefix, _, sequence = tag.removeprefix(TAG_PREFIX).rpartition(":")
        if prefix != self.prefix:
            return False
        if not self._pending or sequence != str(self._sequence):
            return True
        if not isinstance(answer, StoreListing):
            self._fail(now)
            return True
        if self._revision is not None and answer.revision < self._revision:
            self._fail(now)
            return True
        self._succeed(now, answer.revision)
        return True

    def _list(self, now: float) -> CallStore:
        self._listing = True
        return self._call(now, StoreList(self.prefix), self._settings.list_timeout)

    def _watch(self, now: float) -> CallStore:
        self._listing = False
        wait = self._settings.watch_wait
        after = self._revision or 0
        timeout = wait + self._settings.answer_grace
        return self._call(now, StoreWatch(self.prefix, after, wait), timeout)

    def _call(self, now: float, call: StoreCall, timeout: float) -> CallStore:
        self._sequence += 1
        self._pending = True
        self._pending_until = now + timeout
        self._next_at = now + self._settings.call_spacing
        return CallStore(f"{TAG_PREFIX}{self.prefix}:{self._sequence}", call)

    def _succeed(self, now: float, revision: int) -> None:
        self._pending = False
        self._failures = 0
        self._revision = revision
        if not self._listing:
            return
        self.is_listed = True
        jitter = 0.75 + self._rng.random() / 2
        self._relist_at = now + self._settings.relist_period * jitter

    def _fail(self, now: float) -> None:
        self._pending = False
        self._failures += 1
        if self._failures >= self._settings.failures_before_listing:
            self._revision = None
        backoff = self._settings.min_backoff * 2 ** min(self._failures - 1, 8)
        backoff = min(backoff, self._settings.max_backoff)
        self._next_at = now + backoff * (0.5 + self._rng.random() / 2)
