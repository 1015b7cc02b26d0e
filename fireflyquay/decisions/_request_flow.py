"""The arrival of requests: known keys, own keys and keys of other homes."""

from __future__ import annotations

from fireflyquay.membership import (
    Action,
)
from fireflyquay.world import (
    Code,
    Incarnation,
    Request,
    Step,
    Verdict,
    parse_homed_key,
)

from ._action import (
    Join,
    Refuse,
)
from ._arbiter_message import NO_OWNER
from ._closer import ASK_AGAIN_S, GIVE_UP_S, Closer, judge_untaken
from ._exchange import Exchange, ExchangeState, Refusal
from ._exchange_table import ExchangeTable
from ._key_ownership import KEY_REUSED_SENTENCE, KeyOwnership
from ._ledger import KeyState, Ledger, LedgerEntry
from ._peer_view import PeerView
from ._recorder import Recorder

MARK_SLACK_S = 5


class RequestFlow:
    """Meet each copy of a request as its key demands."""

    def __init__(
        self,
        own: Incarnation,
        peers: PeerView,
        ledger: Ledger,
        exchanges: ExchangeTable,
        recorder: Recorder,
        closer: Closer,
        owners: KeyOwnership,
    ) -> None:
        self._own = own
        self._peers = peers
        self._ledger = ledger
        self._exchanges = exchanges
        self._recorder = recorder
        self._closer = closer
        self._owners = owners
        # Whether keys that are new here are refused.
        self.is_draining = False

    def receive_request(
        self, now: float, request: Request, is_home_unreachable: bool = False
    ) -> list[Action]:
        """Take a request from a caller."""
        exchange = Exchange(
            request=request,
            homed=parse_homed_key(request.key),
            state=ExchangeState.QUEUED,
            since=now,
            is_sole_copy=request.send_count == 1,
        )
        actions = [self._recorder.record(now, request, Step.RECEIVED)]
        entry = self._ledger.find(request.key)
        if entry is not None:
            return actions + self._meet_known(now, exchange, entry)
        if exchange.homed is None or exchange.homed.home == self._own:
            return actions + self._take_own(now, exchange)
        return actions + self._take_foreign(now, exchange, is_home_unreachable)

    def _meet_known(
        self, now: float, exchange: Exchange, entry: LedgerEntry
    ) -> list[Action]:
        if entry.state is KeyState.MOVED and entry.owner is not None:
            return self._follow(now, exchange, entry.owner)
        request = exchange.request
        is_same = entry.fingerprint == request.fingerprint
        if entry.customer != request.customer or not is_same:
            return self._refuse_reuse(now, exchange)
        if entry.state is KeyState.REFUSED:
            return self._meet_refused(now, exchange, entry)
        runner = self._exchanges.find(entry.exchange)
        if runner is not None:
            runner.is_caller_gone = False
            runner.is_sole_copy = False
        record = self._recorder.record(now, request, Step.JOINED)
        return [record, Join(request.exchange, entry.exchange)]

    def _refuse_reuse(self, now: float, exchange: Exchange) -> list[Action]:
        request = exchange.request
        verdict = self._owners.judge_reuse(exchange)
        record = self._recorder.record(
            now,
            request,
            Step.REFUSED,
            why=Code.KEY_REUSED.value,
            verdict=verdict,
        )
        refuse = Refuse(request.exchange, Code.KEY_REUSED, verdict, KEY_REUSED_SENTENCE)
        return [record, refuse]

    def _meet_refused(
        self, now: float, exchange: Exchange, entry: LedgerEntry
    ) -> list[Action]:
        request = exchange.request
        was_not_run = entry.verdict is Verdict.NOT_RUN
        if was_not_run and request.attempt > entry.attempt:
            entry.attempt = request.attempt
            entry.state = KeyState.HELD
            entry.exchange = request.exchange
            entry.is_closed = False
            self._exchanges.add(exchange)
            record = self._recorder.record(now, request, Step.NEW_ATTEMPT)
            return [record, *self._own_or_fence(now, exchange)]
        refusal = Refusal(
            entry.code or Code.INTERNAL, entry.sentence, entry.retry_after
        )
        if was_not_run and not entry.is_closed:
            entry.exchange = request.exchange
            self._exchanges.add(exchange)
            return self._closer.refuse(now, exchange, refusal)
        exchange.refusal = refusal
        return self._closer.answer(now, exchange, entry.verdict or Verdict.MAY_HAVE_RUN)

    def _own_or_fence(self, now: float, exchange: Exchange) -> list[Action]:
        homed = exchange.homed
        if homed is None or homed.home == self._own:
            return self._owners.start(now, exchange)
        return self._owners.fence(now, exchange, NO_OWNER)

    def _take_own(self, now: float, exchange: Exchange) -> list[Action]:
        homed = exchange.homed
        if homed is not None and homed.mark > self._read_max_mark(now):
            return self._refuse_unseen(
                now, exchange, Code.BAD_KEY, "The key's mark lies in the future."
            )
        if homed is not None and self._owners.is_too_old(now, homed.mark):
            return self._refuse_unseen(
                now, exchange, Code.KEY_EXPIRED, "The key is older than the window."
            )
        self._hold(now, exchange)
        if self.is_draining:
            return self._refuse_draining(now, exchange)
        if self._owners.is_doubtful(exchange):
            return self._owners.give_up(now, exchange, Code.WITNESS_LOST)
        return self._owners.start(now, exchange)

    def _take_foreign(
        self, now: float, exchange: Exchange, is_home_unreachable: bool
    ) -> list[Action]:
        home = exchange.homed.home
        if self._peers.is_live(home) and not is_home_unreachable:
            return self._owners.redirect(now, exchange, home)
        self._hold(now, exchange)
        if not self._peers.is_live(home):
            return self._owners.fence(now, exchange, home)
        exchange.state = ExchangeState.ASKING_HOME
        exchange.ask_again_at = now + ASK_AGAIN_S
        exchange.give_up_at = now + GIVE_UP_S
        return [self._owners.ask_home(exchange)]

    def _follow(
        self, now: float, exchange: Exchange, owner: Incarnation
    ) -> list[Action]:
        if owner != self._own and self._peers.is_live(owner):
            return self._owners.redirect(now, exchange, owner)
        entry = self._ledger.find(exchange.request.key)
        if entry is not None:
            self._take_over_entry(exchange, entry)
        self._exchanges.add(exchange)
        if exchange.homed is None:
            # The store holds the claim, which tells where the request runs.
            return self._owners.start(now, exchange)
        return self._owners.fence(now, exchange, owner)

    def _take_over_entry(self, exchange: Exchange, entry: LedgerEntry) -> None:
        entry.customer = exchange.request.customer
        entry.fingerprint = exchange.request.fingerprint
        entry.state = KeyState.HELD
        entry.exchange = exchange.request.exchange

    def _hold(self, now: float, exchange: Exchange) -> None:
        request = exchange.request
        homed = exchange.homed
        is_home = homed is not None and homed.home == self._own
        self._exchanges.add(exchange)
        self._ledger.add(
            LedgerEntry(
                key=request.key,
                customer=request.customer,
                fingerprint=request.fingerprint,
                attempt=request.attempt,
                state=KeyState.HELD,
                exchange=request.exchange,
                since=now,
                mark=homed.mark if is_home else -1,
            )
        )

    def _refuse_draining(self, now: float, exchange: Exchange) -> list[Action]:
        sentence = "This entry VM is leaving; ask for addresses again."
        return self._closer.refuse(now, exchange, Refusal(Code.DRAINING, sentence, 0.0))

    def _refuse_unseen(
        self, now: float, exchange: Exchange, code: Code, sentence: str
    ) -> list[Action]:
        exchange.refusal = Refusal(code, sentence, None)
        verdict = judge_untaken(code, exchange.is_sole_copy)
        return self._closer.answer(now, exchange, verdict)

    def _read_max_mark(self, now: float) -> int:
        return self._peers.read_uptime(now) + MARK_SLACK_S
