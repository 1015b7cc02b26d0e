"""How accepted changes of contracts and backend servers reach every node."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import logbook

from fireflyquay.contracts._store_call import StoreAnswer, StoredValue, StoreListing
from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.membership._membership import Membership
from fireflyquay.membership._message import Message
from fireflyquay.membership._rendezvous import rank
from fireflyquay.world import FireflyquayError, Incarnation, ZoneId

from ._backend_book import BackendBook
from ._book_message import (
    BookBuckets,
    BookDigest,
    BookPull,
    BookPush,
    BookRevisions,
    PushedValue,
)
from ._book_settings import BookSettings
from ._contract_book import ContractBook
from ._store_feed import StoreFeed
from ._versioned_book import VersionedBook

_log = logbook.Logger("books")


class BookSync:
    """Watch the store on few nodes, push changes to peers, compare by digests."""

    def __init__(
        self,
        own: Incarnation,
        membership: Membership,
        contracts: ContractBook,
        backends: BackendBook,
        settings: BookSettings,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._membership = membership
        self._books: tuple[VersionedBook, ...] = (contracts, backends)
        self._settings = settings
        self._rng = rng
        self._feeds = [StoreFeed(book.prefix, settings, rng) for book in self._books]
        self._copied_from_peer = False
        self._is_watcher = False
        # Members for which the duty was found.
        self._duty_names: tuple[Incarnation, ...] = ()
        self._heard_at = 0.0
        self._list_from = 0.0
        self._next_duty = 0.0
        self._next_digest = 0.0

    @property
    def ready(self) -> bool:
        """Tell whether a full copy came from the store or from a ready peer."""
        return self._copied_from_peer or all(feed.is_listed for feed in self._feeds)

    @property
    def is_watcher(self) -> bool:
        """Tell whether this node watches the store for others."""
        return self._is_watcher

    def measure_silence(self, now: float) -> float:
        """Return seconds since the store or any peer was last heard."""
        return max(0.0, now - self._heard_at)

    def start(self, now: float) -> list[Action]:
        """Begin to ask peers, and the store when they don't answer."""
        self._heard_at = now
        jitter = 0.5 + self._rng.random()
        self._list_from = now + self._settings.peer_grace * jitter
        self._next_duty = now + self._settings.duty_period
        self._next_digest = now
        return self.advance(now)

    def advance(self, now: float) -> list[Action]:
        """Run what is due by now."""
        if now >= self._next_duty:
            self._next_duty = now + self._settings.duty_period
            self._update_duty()
        needs_list = not self.ready and now >= self._list_from
        actions: list[Action] = []
        for feed in self._feeds:
            missing = needs_list and not feed.is_listed
            actions += feed.advance(now, self._is_watcher, missing)
        if now >= self._next_digest:
            self._next_digest = now + self._settings.digest_period
            actions += self._send_digest()
        return actions

    def publish(self, now: float, stored: StoredValue) -> list[Action]:
        """Put in force and push a value that the store has just accepted."""
        return self._push_fresh(self._apply([stored]))

    def receive_store_answer(
        self, now: float, tag: str, answer: StoreAnswer
    ) -> list[Action]:
        """Take in the answer to one of our calls to the store."""
        was_ready = self.ready
        applied: list[str] = []
        if isinstance(answer, StoreListing):
            self._heard_at = now
            applied = self._apply(answer.values)
        for feed in self._feeds:
            feed.receive(now, tag, answer)
        return self._push_fresh(applied) if was_ready else []

    def receive(
        self, now: float, sender: Incarnation, message: Message
    ) -> list[Action]:
        """Take in a message of this protocol and answer it."""
        self._heard_at = now
        match message:
            case BookDigest():
                return self._compare(sender, message)
            case BookBuckets():
                return self._send_revisions(sender, message)
            case BookRevisions():
                return self._settle(sender, message)
            case BookPull():
                return self._send_values(sender, message.paths)
            case BookPush():
                applied = self._apply(v.build_stored() for v in message.values)
                return self._push_fresh(applied) if message.is_fresh else []
        return []

    def _update_duty(self) -> None:
        names = self._membership.live_names()
        if names is not self._duty_names:
            self._duty_names = names
            self._is_watcher = self._own in self._find_watchers()

    def _find_watchers(self) -> set[Incarnation]:
        zones: dict[ZoneId, list[Incarnation]] = {}
        for record in self._membership.live():
            zones.setdefault(record.vm.zone, []).append(record.vm.incarnation)
        count = self._settings.watchers_per_zone
        watchers: set[Incarnation] = set()
        for zone, members in zones.items():
            watchers.update(rank(f"books:{zone}", members)[:count])
        rest = [m for members in zones.values() for m in members if m not in watchers]
        missing = max(0, self._settings.min_watchers - len(watchers))
        return watchers.union(rank("books", rest)[:missing])

    def _choose_peers(self, count: int) -> list[Incarnation]:
        live = self._membership.live_names()
        drawn = self._rng.sample(live, min(count + 1, len(live)))
        return [peer for peer in drawn if peer != self._own][:count]

    def _apply(self, values: Iterable[StoredValue]) -> list[str]:
        """Put newer values in force and return their paths."""
        applied = []
        for stored in values:
            book = self._find_book(stored.path)
            if book is not None and _try_apply(book, stored):
                applied.append(stored.path)
        return applied

    def _find_book(self, path: str) -> VersionedBook | None:
        books = (book for book in self._books if path.startswith(book.prefix))
        return next(books, None)

    def _push_fresh(self, paths: Sequence[str]) -> list[Action]:
        if not paths:
            return []
        messages = self._build_pushes(paths[: self._settings.max_pushed], True)
        peers = self._choose_peers(self._settings.fanout)
        return [Send(peer, message) for peer in peers for message in messages]

    def _build_pushes(self, paths: Iterable[str], is_fresh: bool) -> list[BookPush]:
        pushes: list[BookPush] = []
        values: list[PushedValue] = []
        size = 0
        for path in paths:
            book = self._find_book(path)
            stored = None if book is None else book.export(path)
            if stored is None:
                continue
            if values and size + len(stored.value) > self._settings.max_push_bytes:
                pushes.append(BookPush(tuple(values), is_fresh))
                values, size = [], 0
            values.append(_build_pushed(stored))
            size += len(stored.value)
        if values:
            pushes.append(BookPush(tuple(values), is_fresh))
        return pushes

    def _send_digest(self) -> list[Action]:
        digest = self._build_digest(is_answer=False)
        return [Send(peer, digest) for peer in self._choose_peers(1)]

    def _build_digest(self, is_answer: bool) -> BookDigest:
        summaries = tuple(book.summary for book in self._books)
        return BookDigest(summaries, self.ready, is_answer)

    def _compare(self, sender: Incarnation, digest: BookDigest) -> list[Action]:
        if len(digest.summaries) != len(self._books):
            return []
        pairs = zip(self._books, digest.summaries, strict=True)
        differing = [book for book, theirs in pairs if book.summary != theirs]
        if not differing and digest.is_ready and not self.ready:
            self._copied_from_peer = True
        if digest.is_answer:
            return []
        actions: list[Action] = [
            Send(sender, BookBuckets(book.prefix, tuple(book.hashes)))
            for book in differing
        ]
        if not digest.is_ready and not differing:
            actions.append(Send(sender, self._build_digest(is_answer=True)))
        return actions

    def _send_revisions(
        self, sender: Incarnation, message: BookBuckets
    ) -> list[Action]:
        book = self._find_book(message.prefix)
        if book is None:
            return []
        pairs = enumerate(zip(book.hashes, message.hashes, strict=False))
        indices = tuple(index for index, (ours, theirs) in pairs if ours != theirs)
        if not indices:
            return []
        revisions = book.list_revisions(indices)
        return [Send(sender, BookRevisions(book.prefix, indices, revisions))]

    def _settle(self, sender: Incarnation, message: BookRevisions) -> list[Action]:
        """Send what is newer here and ask for what is newer there."""
        book = self._find_book(message.prefix)
        if book is None:
            return []
        ours = book.list_revisions(message.indices)
        theirs = message.revisions
        newer = [path for path, rev in ours.items() if rev > theirs.get(path, 0)]
        older = [
            path
            for path, rev in theirs.items()
            if rev > ours.get(path, 0) and not book.is_rejected(path, rev)
        ]
        actions = self._send_values(sender, newer)
        if older:
            actions.append(Send(sender, BookPull(tuple(older))))
        return actions

    def _send_values(self, sender: Incarnation, paths: Iterable[str]) -> list[Action]:
        return [Send(sender, push) for push in self._build_pushes(paths, False)]


def _build_pushed(stored: StoredValue) -> PushedValue:
    return PushedValue(stored.path, stored.value, stored.version, stored.revision)


def _try_apply(book: VersionedBook, stored: StoredValue) -> bool:
    try:
        return book.apply(stored)
    except FireflyquayError as error:
        _log.warning(
            "Rejected {} at revision {}: {}", stored.path, stored.revision, error
        )
        return False
