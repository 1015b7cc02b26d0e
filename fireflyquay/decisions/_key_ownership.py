"""Ownership of keys: which entry VM may go on with a request."""

from __future__ import annotations

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import (
    NO_WITNESS,
    Code,
    Incarnation,
    Step,
    Verdict,
    parse_homed_key,
)

from ._action import (
    Redirect,
)
from ._admitter import Admitter
from ._arbiter_message import (
    NO_FINGERPRINT,
    NO_OWNER,
    AskHome,
    HomeAnswer,
    WitnessAnswer,
)
from ._arbiter_set import ArbiterSet
from ._closer import ASK_AGAIN_S, GIVE_UP_S, Closer
from ._exchange import Exchange, ExchangeState, Refusal
from ._exchange_table import ExchangeTable
from ._ledger import KeyState, Ledger, LedgerEntry
from ._peer_view import PeerView
from ._recorder import Recorder
from ._run_flow import RunFlow

KEY_AGE_LIMIT_S = 540
KEY_REUSED_SENTENCE = "The key belongs to another request."


class KeyOwnership:
    """Ask homes and arbiters, and go on as they answer."""

    def __init__(
        self,
        own: Incarnation,
        peers: PeerView,
        ledger: Ledger,
        exchanges: ExchangeTable,
        arbiters: ArbiterSet,
        recorder: Recorder,
        closer: Closer,
        admitter: Admitter,
        runs: RunFlow,
    ) -> None:
        self._own = own
        self._peers = peers
        self._ledger = ledger
        self._exchanges = exchanges
        self._arbiters = arbiters
        self._recorder = recorder
        self._closer = closer
        self._admitter = admitter
        self._runs = runs

    def receive_home_question(
        self, now: float, sender: Incarnation, message: AskHome
    ) -> list[Action]:
        """Hand a key over to an entry VM, unless it is held or ended here."""
        entry = self._ledger.find(message.key)
        if entry is not None and self._is_unheard(entry):
            return self._hand_over(now, sender, message, entry)
        if entry is not None:
            handed_over = entry.state is KeyState.MOVED and entry.owner == sender
            answer = HomeAnswer(message.key, message.attempt, handed_over)
            return [Send(sender, answer)]
        homed = parse_homed_key(message.key)
        is_ours = homed is not None and homed.home == self._own
        if not is_ours or self.is_too_old(now, homed.mark):
            return [Send(sender, HomeAnswer(message.key, message.attempt, False))]
        self._ledger.add(
            LedgerEntry(
                key=message.key,
                customer="",
                fingerprint="",
                attempt=message.attempt,
                state=KeyState.MOVED,
                exchange=0,
                since=now,
                mark=homed.mark,
                owner=sender,
            )
        )
        return [Send(sender, HomeAnswer(message.key, message.attempt, True))]

    def receive_home_answer(
        self, now: float, sender: Incarnation, message: HomeAnswer
    ) -> list[Action]:
        """Fence a key that its home handed over, or send the caller there."""
        exchange = self._exchanges.find_key(message.key, message.attempt)
        if exchange is None or exchange.state is not ExchangeState.ASKING_HOME:
            return []
        if exchange.homed is None or exchange.homed.home != sender:
            return []
        if message.handed_over:
            # The home may have fenced the key itself, after its owner was lost.
            return self.fence(now, exchange, sender)
        return self.redirect(now, exchange, sender)

    def receive_arbiter_answer(
        self, now: float, sender: Incarnation, answer: WitnessAnswer
    ) -> list[Action]:
        """Go on as the key's arbiter decided."""
        exchange = self._exchanges.find_any(answer.key)
        if exchange is None or not self._is_arbiter(exchange, sender):
            return []
        if answer.attempt < exchange.request.attempt:
            return []
        if exchange.state is ExchangeState.CLOSING:
            return self._closer.receive(now, exchange, answer)
        if exchange.state is ExchangeState.FENCING and answer.granted:
            return self.start(now, exchange)
        if exchange.state is ExchangeState.CLAIMING and answer.granted:
            return self._meet_leave(now, exchange, answer)
        if exchange.state in (ExchangeState.FENCING, ExchangeState.CLAIMING):
            return self._meet_denial(now, exchange, answer)
        return []

    def advance(self, now: float) -> list[Action]:
        """Ask again, give up and drop what is past its time."""
        self._ledger.advance(now)
        actions: list[Action] = []
        for exchange in self._exchanges:
            is_running = exchange.state is ExchangeState.RUNNING
            if is_running and not exchange.is_caller_gone:
                # It waits for its backend server alone.
                continue
            actions += self._advance_one(now, exchange)
        return actions

    def start(self, now: float, exchange: Exchange) -> list[Action]:
        """Take an owned request to admission and the queue."""
        refusal = self._admitter.admit(now, exchange)
        if refusal is None:
            return self._runs.queue(now, exchange)
        if self._admitter.find_wait(now, exchange, refusal) > 0:
            # The lease is one round trip away; nothing is given up yet.
            exchange.state = ExchangeState.ADMITTING
            return []
        return self._closer.refuse(now, exchange, refusal)

    def fence(
        self, now: float, exchange: Exchange, replaces: Incarnation
    ) -> list[Action]:
        """Ask the witness to make this entry VM the owner of a key."""
        homed = exchange.homed
        if homed is None or not self._peers.is_live(homed.witness):
            return self.give_up(now, exchange, Code.HOME_LOST)
        exchange.state = ExchangeState.FENCING
        exchange.ask_again_at = now + ASK_AGAIN_S
        exchange.give_up_at = now + GIVE_UP_S
        exchange.replaces = replaces
        return self._arbiters.choose(exchange).fence(now, exchange, replaces)

    def redirect(
        self, now: float, exchange: Exchange, owner: Incarnation
    ) -> list[Action]:
        """Send the caller to the entry VM that holds its request."""
        vm = self._peers.find_vm(owner)
        if vm is None:
            return self.give_up(now, exchange, Code.HOME_LOST)
        self._leave(now, exchange, owner)
        request = exchange.request
        record = self._recorder.record(now, request, Step.REDIRECTED, target=owner)
        return [record, Redirect(request.exchange, vm.host, vm.http_port)]

    def give_up(self, now: float, exchange: Exchange, code: Code) -> list[Action]:
        """End a request on which no arbiter's word can be had."""
        if not exchange.is_sole_copy:
            exchange.refusal = Refusal(code, _SENTENCES[code], 0.0)
            return self._closer.answer(now, exchange, Verdict.MAY_HAVE_RUN)
        new_key = self._peers.make_key(now)
        exchange.refusal = Refusal(code, _SENTENCES[code], 0.0, new_key)
        verdict = Verdict.NOT_RUN
        return self._closer.answer(now, exchange, verdict)

    def ask_home(self, exchange: Exchange) -> Action:
        """Ask a key's home to hand the key over."""
        request = exchange.request
        return Send(exchange.homed.home, AskHome(request.key, request.attempt))

    def is_doubtful(self, exchange: Exchange) -> bool:
        """Tell whether a first copy does better with another witness."""
        homed = exchange.homed
        if homed is None or not exchange.is_sole_copy or homed.witness == NO_WITNESS:
            return False
        if exchange.is_free_to_run:
            # It needs no witness any more.
            return False
        return not self._peers.is_trusted(homed.witness)

    def is_too_old(self, now: float, mark: int) -> bool:
        """Tell whether an own key may have been forgotten here."""
        if self._ledger.may_have_forgotten(mark):
            return True
        return mark < self._peers.read_uptime(now) - KEY_AGE_LIMIT_S

    def _is_unheard(self, entry: LedgerEntry) -> bool:
        """Tell whether a key only waits in the queue and its caller has left."""
        exchange = self._exchanges.find(entry.exchange)
        if entry.state is not KeyState.HELD or exchange is None:
            return False
        if exchange.has_claimed:
            # Its arbiter would not let another entry VM fence it.
            return False
        return exchange.is_caller_gone and exchange.state is ExchangeState.QUEUED

    def _hand_over(
        self, now: float, asker: Incarnation, message: AskHome, entry: LedgerEntry
    ) -> list[Action]:
        exchange = self._exchanges.find(entry.exchange)
        if exchange is None:
            return []
        actions = self._runs.let_go(exchange)
        actions += self.redirect(now, exchange, asker)
        return [*actions, Send(asker, HomeAnswer(message.key, message.attempt, True))]

    def _leave(self, now: float, exchange: Exchange, owner: Incarnation) -> None:
        self._admitter.end(now, exchange)
        self._exchanges.remove(exchange)
        entry = self._ledger.find(exchange.request.key)
        if entry is None or entry.exchange != exchange.request.exchange:
            return
        entry.state = KeyState.MOVED
        entry.owner = owner

    def _meet_leave(
        self, now: float, exchange: Exchange, answer: WitnessAnswer
    ) -> list[Action]:
        backend = exchange.backend
        if backend is None or answer.server != backend.server:
            return []
        record = self._recorder.record(
            now, exchange.request, Step.WITNESSED, target=answer.server
        )
        return [record, *self._runs.dispatch(now, exchange)]

    def _meet_denial(
        self, now: float, exchange: Exchange, answer: WitnessAnswer
    ) -> list[Action]:
        actions = self._runs.return_permit(now, exchange)
        if answer.forgotten:
            return actions + self.give_up(now, exchange, Code.KEY_EXPIRED)
        if answer.attempt != exchange.request.attempt:
            return actions + self.give_up(now, exchange, Code.SUPERSEDED)
        if answer.closed:
            exchange.refusal = Refusal(
                Code.SUPERSEDED, "The request was refused elsewhere.", 0.0
            )
            return actions + self._closer.answer(now, exchange, Verdict.NOT_RUN)
        is_other = answer.owner not in (self._own, NO_OWNER)
        if is_other and self._peers.is_live(answer.owner):
            return actions + self.redirect(now, exchange, answer.owner)
        if answer.server and self._is_of_other(exchange, answer):
            return actions + self._refuse_foreign(now, exchange)
        if answer.server:
            return actions + self._runs.resume(now, exchange, answer.server)
        return actions + self.fence(now, exchange, answer.owner)

    def _is_of_other(self, exchange: Exchange, answer: WitnessAnswer) -> bool:
        """Tell whether the key was claimed for another request."""
        own = exchange.request.fingerprint
        return answer.fingerprint not in (NO_FINGERPRINT, own)

    def _refuse_foreign(self, now: float, exchange: Exchange) -> list[Action]:
        """Refuse a copy whose key another request ran under elsewhere."""
        exchange.refusal = Refusal(Code.KEY_REUSED, KEY_REUSED_SENTENCE, None)
        actions = self._closer.answer(now, exchange, self.judge_reuse(exchange))
        # The request that ran may still come here for its answer.
        self._ledger.drop(exchange.request.key)
        return actions

    def judge_reuse(self, exchange: Exchange) -> Verdict:
        """Say whether a copy may have run before another request took its key."""
        homed = exchange.homed
        is_home = homed is not None and homed.home == self._own
        if exchange.is_sole_copy or is_home:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def _advance_one(self, now: float, exchange: Exchange) -> list[Action]:
        if exchange.state is ExchangeState.CLOSING:
            return self._closer.advance(now, exchange)
        if exchange.state is ExchangeState.ADMITTING:
            return self.start(now, exchange)
        if exchange.state is ExchangeState.ASKING_HOME:
            return self._advance_home_question(now, exchange)
        if exchange.state in (ExchangeState.FENCING, ExchangeState.CLAIMING):
            return self._advance_arbiter_question(now, exchange)
        if exchange.state is ExchangeState.QUEUED and self.is_doubtful(exchange):
            # As long as no other copy was sent, the caller can take a new key.
            actions = self._runs.let_go(exchange)
            return actions + self.give_up(now, exchange, Code.WITNESS_LOST)
        return self._runs.advance(now, exchange)

    def _advance_home_question(self, now: float, exchange: Exchange) -> list[Action]:
        home = exchange.homed.home
        if exchange.give_up_at <= now or not self._peers.is_live(home):
            return self.fence(now, exchange, home)
        if exchange.ask_again_at > now:
            return []
        exchange.ask_again_at = now + ASK_AGAIN_S
        return [self.ask_home(exchange)]

    def _advance_arbiter_question(self, now: float, exchange: Exchange) -> list[Action]:
        if exchange.give_up_at <= now or self._is_witness_lost(exchange):
            actions = self._runs.return_permit(now, exchange)
            code = Code.STORE_UNAVAILABLE
            if exchange.homed is not None:
                code = Code.WITNESS_LOST
                self._peers.distrust(now, exchange.homed.witness)
            return actions + self.give_up(now, exchange, code)
        if exchange.ask_again_at > now:
            return []
        exchange.ask_again_at = now + ASK_AGAIN_S
        arbiter = self._arbiters.choose(exchange)
        if exchange.state is ExchangeState.FENCING:
            return arbiter.fence(now, exchange, exchange.replaces)
        return arbiter.claim(now, exchange, exchange.backend.server)

    def _is_witness_lost(self, exchange: Exchange) -> bool:
        homed = exchange.homed
        if homed is None or homed.witness == NO_WITNESS:
            return False
        return not self._peers.is_live(exchange.homed.witness)

    def _is_arbiter(self, exchange: Exchange, sender: Incarnation) -> bool:
        if exchange.homed is None or sender == self._own:
            return sender == self._own
        return sender == exchange.homed.witness


_SENTENCES = {
    Code.HOME_LOST: "The entry VM that held the request is gone.",
    Code.KEY_EXPIRED: "The key is older than the window.",
    Code.SUPERSEDED: "A later attempt has taken this one's place.",
    Code.WITNESS_LOST: "The key's witness does not answer; take a new key.",
    Code.STORE_UNAVAILABLE: "The store does not answer; take a homed key.",
}
