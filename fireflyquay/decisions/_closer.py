"""Refusals: a key is closed at its arbiter before NOT_RUN is told."""

from __future__ import annotations

from collections.abc import Callable

from fireflyquay.membership import (
    Action,
)
from fireflyquay.world import Code, ExchangeId, Step, Verdict

from ._action import (
    Refuse,
)
from ._arbiter_message import WitnessAnswer
from ._arbiter_set import ArbiterSet
from ._exchange import Exchange, ExchangeState, Refusal
from ._exchange_table import ExchangeTable
from ._ledger import KeyState, Ledger
from ._recorder import Recorder

ASK_AGAIN_S = 0.15
GIVE_UP_S = 0.6
NOT_READY_RETRY_S = 0.5
NO_REASON = Refusal(Code.INTERNAL, "No reason is known.", None)
# Codes that every entry VM gives to every copy of a request.
CERTAIN_CODES = frozenset({Code.BAD_REQUEST, Code.BODY_TOO_LARGE})


def judge_untaken(code: Code, is_sole_copy: bool) -> Verdict:
    """Return the verdict on a copy refused before its key was looked at.

    Another copy may have run on an entry VM that took it.
    """
    if is_sole_copy or code in CERTAIN_CODES:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


def refuse_untaken(code: Code, sentence: str, is_sole_copy: bool) -> Refuse:
    """Build the refusal of a copy whose key was not looked at."""
    verdict = judge_untaken(code, is_sole_copy)
    may_retry = code is Code.NOT_READY and verdict is Verdict.NOT_RUN
    retry_after = NOT_READY_RETRY_S if may_retry else None
    return Refuse(ExchangeId(0), code, verdict, sentence, retry_after)


class Closer:
    """End exchanges without an answer, with an honest verdict."""

    def __init__(
        self,
        ledger: Ledger,
        exchanges: ExchangeTable,
        arbiters: ArbiterSet,
        recorder: Recorder,
        end_admission: Callable[[float, Exchange], None],
    ) -> None:
        self._ledger = ledger
        self._exchanges = exchanges
        self._arbiters = arbiters
        self._recorder = recorder
        self._end_admission = end_admission

    def refuse(self, now: float, exchange: Exchange, refusal: Refusal) -> list[Action]:
        """Refuse a request that this entry VM does not run now."""
        exchange.refusal = refusal
        if exchange.is_sole_copy or exchange.is_free_to_run:
            return self.answer(now, exchange, Verdict.NOT_RUN)
        if exchange.homed is None and exchange.request.kind.idempotent:
            # Nothing was claimed that could be closed; another copy may run.
            return self.answer(now, exchange, Verdict.MAY_HAVE_RUN)
        exchange.state = ExchangeState.CLOSING
        exchange.ask_again_at = now + ASK_AGAIN_S
        exchange.give_up_at = now + GIVE_UP_S
        return self._arbiters.choose(exchange).close(now, exchange)

    def receive(
        self, now: float, exchange: Exchange, answer: WitnessAnswer
    ) -> list[Action]:
        """Answer the caller as the arbiter decided."""
        if answer.closed:
            entry = self._ledger.find(exchange.request.key)
            if entry is not None:
                entry.is_closed = True
            return self.answer(now, exchange, Verdict.NOT_RUN)
        if answer.granted:
            # A late answer to an earlier question; the closing is still open.
            return []
        return self.answer(now, exchange, Verdict.MAY_HAVE_RUN)

    def advance(self, now: float, exchange: Exchange) -> list[Action]:
        """Ask the arbiter again, or give up."""
        if exchange.give_up_at <= now:
            return self.answer(now, exchange, Verdict.MAY_HAVE_RUN)
        if exchange.ask_again_at > now:
            return []
        exchange.ask_again_at = now + ASK_AGAIN_S
        return self._arbiters.choose(exchange).close(now, exchange)

    def fail(
        self, now: float, exchange: Exchange, code: Code, sentence: str
    ) -> list[Action]:
        """Tell that the request may have run."""
        exchange.refusal = Refusal(code, sentence, None)
        return self.answer(now, exchange, Verdict.MAY_HAVE_RUN)

    def answer(self, now: float, exchange: Exchange, verdict: Verdict) -> list[Action]:
        """Give the caller the refusal that is pending."""
        refusal = exchange.refusal or NO_REASON
        if exchange.is_free_to_run and verdict is Verdict.NOT_RUN:
            # An earlier run of this attempt may have happened.
            verdict = Verdict.MAY_HAVE_RUN
        may_retry = verdict is Verdict.NOT_RUN or exchange.request.kind.idempotent
        retry_after = refusal.retry_after if may_retry else None
        self._note_in_ledger(exchange, refusal, verdict, retry_after)
        self._end_admission(now, exchange)
        self._arbiters.choose(exchange).forget(exchange)
        self._exchanges.remove(exchange)
        request = exchange.request
        step = Step.REFUSED if verdict is Verdict.NOT_RUN else Step.FAILED
        record = self._recorder.record(
            now, request, step, why=refusal.code.value, verdict=verdict
        )
        refuse = Refuse(
            request.exchange,
            refusal.code,
            verdict,
            refusal.sentence,
            retry_after,
            refusal.new_key,
        )
        return [record, refuse]

    def _note_in_ledger(
        self,
        exchange: Exchange,
        refusal: Refusal,
        verdict: Verdict,
        retry_after: float | None,
    ) -> None:
        entry = self._ledger.find(exchange.request.key)
        if entry is None or entry.exchange != exchange.request.exchange:
            return
        entry.state = KeyState.REFUSED
        entry.code = refusal.code
        entry.verdict = verdict
        entry.sentence = refusal.sentence
        entry.retry_after = retry_after
