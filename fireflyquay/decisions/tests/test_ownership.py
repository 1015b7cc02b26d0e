"""Who may dispatch a key, told by the witness register."""

import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.decisions import (
    Claim,
    Close,
    Fence,
    Ledger,
    Refuse,
    Witness,
)
from fireflyquay.decisions._arbiter_set import ArbiterSet
from fireflyquay.decisions._closer import Closer
from fireflyquay.decisions._exchange import Exchange, ExchangeState, Refusal
from fireflyquay.decisions._exchange_table import ExchangeTable
from fireflyquay.decisions._recorder import Recorder
from fireflyquay.world import (
    BackendServerId,
    Code,
    HomedKey,
    Incarnation,
    PoolId,
    Request,
    Tier,
    Verdict,
    WorkKind,
    parse_homed_key,
)

HOME, OTHER, THIRD = (Incarnation(name) for name in ("home", "othr", "thrd"))
OWN = Incarnation("witn")
KEY = HomedKey(HOME, OWN, 5, "n").format()
ENGINE = BackendServerId("engine")
NOBODY = Incarnation("")


def make_messages():
    attempts = st.integers(1, 3)
    claim = st.builds(Claim, st.just(KEY), attempts, st.just(ENGINE))
    close = st.builds(Close, st.just(KEY), attempts)
    replaced = st.sampled_from([NOBODY, HOME, OTHER, THIRD])
    fence = st.builds(Fence, st.just(KEY), attempts, replaced)
    senders = st.sampled_from([HOME, OTHER, THIRD])
    return st.lists(st.tuples(senders, st.one_of(claim, close, fence)), max_size=12)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(make_messages())
def test_one_sender_at_most_may_run_an_attempt_and_closed_ones_never_run(operations):
    witness = Witness(OWN)
    leave: dict[int, set[Incarnation]] = {}
    closed: set[int] = set()
    for sender, message in operations:
        answer = witness.receive(1.0, sender, message)
        if answer.closed:
            closed.add(answer.attempt)
        if isinstance(message, Claim) and answer.granted:
            assert message.attempt not in closed
            leave.setdefault(message.attempt, set()).add(sender)
    for attempt, senders in leave.items():
        assert len(senders) == 1 or attempt in closed
        assert len(senders) == 1


def test_home_claims_and_a_fenced_key_is_lost_to_it():
    witness = Witness(OWN)
    assert witness.receive(0.0, OTHER, Fence(KEY, 1, HOME)).granted
    refused = witness.receive(0.1, HOME, Claim(KEY, 1, ENGINE))
    assert not refused.granted
    assert refused.owner == OTHER
    assert witness.receive(0.2, OTHER, Claim(KEY, 1, ENGINE)).granted


def test_claimed_key_is_not_fenced_but_names_its_backend_server():
    witness = Witness(OWN)
    assert witness.receive(0.0, HOME, Claim(KEY, 1, ENGINE)).granted
    answer = witness.receive(0.1, OTHER, Fence(KEY, 1, HOME))
    assert not answer.granted
    assert (answer.owner, answer.server) == (HOME, ENGINE)


def test_closed_attempt_never_runs_and_the_next_one_may():
    witness = Witness(OWN)
    assert witness.receive(0.0, HOME, Close(KEY, 1)).closed
    assert not witness.receive(0.1, HOME, Claim(KEY, 1, ENGINE)).granted
    assert witness.receive(0.2, OTHER, Fence(KEY, 1, HOME)).closed
    assert witness.receive(0.3, OTHER, Fence(KEY, 2, HOME)).granted


@pytest.mark.parametrize("is_sole_copy", [True, False])
def test_request_that_may_have_run_is_never_told_not_run(is_sole_copy):
    table, arbiters = ExchangeTable(), ArbiterSet(HOME)
    recorder = Recorder(HOME, 0.0)
    closer = Closer(Ledger(), table, arbiters, recorder, lambda now, exchange: None)
    kind = WorkKind("label", PoolId("drafting"), idempotent=True)
    request = Request(1, KEY, "treipuu", kind, Tier.BATCH, 1, 1, "", "f", 9.0)
    exchange = Exchange(request, parse_homed_key(KEY), ExchangeState.QUEUED, 0.0)
    exchange.is_sole_copy = is_sole_copy
    exchange.is_free_to_run = True
    exchange.refusal = Refusal(Code.WITNESS_LOST, "It is lost.", 0.0)
    (refuse,) = [
        action
        for action in closer.answer(1.0, exchange, Verdict.NOT_RUN)
        if isinstance(action, Refuse)
    ]
    assert refuse.verdict is Verdict.MAY_HAVE_RUN


def test_forgotten_key_is_never_taken_for_a_fresh_one():
    witness = Witness(OWN, window=10.0)
    witness.receive(0.0, HOME, Claim(KEY, 1, ENGINE))
    assert witness.receive(11.0, OTHER, Fence(KEY, 1, HOME)).forgotten
    fresh = HomedKey(HOME, OWN, 6, "n").format()
    assert witness.receive(11.0, OTHER, Fence(fresh, 1, HOME)).granted
