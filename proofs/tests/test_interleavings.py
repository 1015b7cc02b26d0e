"""The nastiest orders of failures, each by hand."""

from dataclasses import replace

import pytest

from fireflyquay.contracts import (
    BACKENDS_PREFIX,
    StoredValue,
    encode_backend_change,
)
from fireflyquay.decisions import (
    Claim,
    Close,
    Fence,
    RunReport,
    WitnessAnswer,
)
from fireflyquay.decisions._cell_message import Permit
from fireflyquay.world import BackendKind, BackendState, Verdict
from proofs import BackendPlan, Fleet

NON_IDEMPOTENT = ("work-order", "timber-booking")


def find_roles(fleet, home="n1"):
    """Return a home's witness and an entry VM that is neither."""
    witness = fleet.find_witness(home)
    other = next(name for name in fleet.list_live() if name not in (home, witness))
    return witness, other


def hold_back(fleet, message_type, count=1):
    """Withhold messages of a type; return those withheld."""
    held = []

    def judge(source, target, message):
        if isinstance(message, message_type) and len(held) < count:
            held.append((source, target, message))
            return False
        return True

    fleet.network.filter = judge
    return held


def release(fleet, held):
    fleet.network.filter = None
    for source, target, message in held:
        fleet._deliver(source, target, message)


def settle(fleet, *requests, seconds=25.0):
    fleet.run(seconds)
    assert all(request.told for request in requests)
    fleet.oracle.assert_clean()


@pytest.mark.parametrize("kind", NON_IDEMPOTENT)
@pytest.mark.parametrize("message", [Claim, WitnessAnswer, Permit])
def test_home_is_killed_between_claim_and_dispatch(kind, message):
    fleet = Fleet(11, 4)
    witness, _ = find_roles(fleet)
    held = hold_back(fleet, message, count=99)
    request = fleet.send("treipuu", kind, "n1")
    assert fleet.run_until(lambda: held)
    fleet.kill("n1")
    release(fleet, held)
    settle(fleet, request)


@pytest.mark.parametrize("kind", NON_IDEMPOTENT)
@pytest.mark.parametrize("message", [Claim, WitnessAnswer, Permit])
@pytest.mark.parametrize("pause", [1.0, 6.0])
def test_home_is_frozen_around_its_claim_and_thaws_late(kind, message, pause):
    fleet = Fleet(12, 4)
    _, other = find_roles(fleet)
    held = hold_back(fleet, message, count=99)
    request = fleet.send("treipuu", kind, "n1", is_automatic=False)
    assert fleet.run_until(lambda: held)
    fleet.freeze("n1")
    release(fleet, held)
    fleet.run(pause)
    fleet.resend(request, other)
    fleet.run(0.5)
    fleet.thaw("n1")
    settle(fleet, request)


@pytest.mark.parametrize("kind", NON_IDEMPOTENT)
def test_home_frozen_while_streaming_is_resumed_elsewhere_and_thaws(kind):
    fleet = Fleet(13, 4)
    _, other = find_roles(fleet)
    request = fleet.send("treipuu", kind, "n1")
    assert fleet.run_until(lambda: fleet.evidence.ran)
    fleet.freeze("n1")
    fleet.run(6.0)
    fleet.thaw("n1")
    settle(fleet, request)
    if kind == "work-order":
        assert request.is_answered


@pytest.mark.parametrize("fault", ["kill", "freeze"])
@pytest.mark.parametrize("message", [Claim, WitnessAnswer, Close])
@pytest.mark.parametrize("copies", [False, True])
def test_witness_fails_while_asked(fault, message, copies):
    fleet = Fleet(14, 4)
    witness, other = find_roles(fleet)
    held = hold_back(fleet, message, count=2)
    request = fleet.send(
        "treipuu",
        "timber-booking",
        "n1",
        copy_to=other if copies else None,
        deadline=2.0,
    )
    fleet.run_until(lambda: held, limit=3.0)
    getattr(fleet, fault)(witness)
    fleet.run(2.0)
    release(fleet, held)
    if fault == "freeze":
        fleet.run(3.0)
        fleet.thaw(witness)
    settle(fleet, request)


@pytest.mark.parametrize("delay", [0.0, 0.004, 0.05])
def test_home_and_witness_are_killed_together(delay):
    fleet = Fleet(15, 5)
    witness, _ = find_roles(fleet)
    requests = fleet.burst("treipuu", "work-order", 4, node="n1")
    requests += fleet.burst("treipuu", "timber-booking", 4, node="n1")
    fleet.run(delay)
    fleet.kill("n1")
    fleet.kill(witness)
    settle(fleet, *requests)


def test_copy_in_a_frozen_node_while_the_home_refuses():
    fleet = Fleet(16, 4)
    _, other = find_roles(fleet)
    fleet.freeze(other)
    for name in ("office-1", "office-2"):
        fleet.backends[name].refuses = True
    request = fleet.send(
        "treipuu", "timber-booking", "n1", copy_to=other, keeps_key=True
    )
    request.is_automatic = False
    assert fleet.run_until(lambda: request.told)
    assert request.told.verdict is Verdict.NOT_RUN
    for name in ("office-1", "office-2"):
        fleet.backends[name].refuses = False
    fleet.kill("n1")
    fleet.thaw(other)
    settle(fleet, request)
    assert not fleet.evidence.ran


def test_late_copies_of_a_witness_answer_arrive_while_closing():
    fleet = Fleet(17, 4)
    _, other = find_roles(fleet)
    fleet.backends["office-1"].refuses = fleet.backends["office-2"].refuses = True
    answers = []

    def keep(source, target, message):
        if isinstance(message, WitnessAnswer):
            answers.append((source, target, message))
        return not isinstance(message, Close)

    fleet.network.filter = keep
    request = fleet.send("treipuu", "timber-booking", "n1", tells_count=False)
    request.is_automatic = False
    assert fleet.run_until(lambda: len(answers) > 0)
    for _ in range(20):
        fleet.run(0.05)
        for answer in tuple(answers):
            fleet._deliver(*answer)
    settle(fleet, request)
    assert request.told.verdict is Verdict.MAY_HAVE_RUN


def test_new_attempt_after_a_closed_one_while_old_messages_return():
    fleet = Fleet(18, 4)
    _, other = find_roles(fleet)
    kept = []

    def keep(source, target, message):
        if isinstance(message, Claim | Close | Fence | WitnessAnswer):
            kept.append((source, target, message))
        return True

    fleet.network.filter = keep
    fleet.backends["office-1"].refuses = fleet.backends["office-2"].refuses = True
    request = fleet.send(
        "treipuu", "timber-booking", "n1", keeps_key=True, tells_count=False
    )
    assert fleet.run_until(lambda: request.told)
    fleet.backends["office-1"].refuses = fleet.backends["office-2"].refuses = False
    for _ in range(40):
        fleet.run(0.1)
        for old in tuple(kept):
            fleet._deliver(*old)
    settle(fleet, request)
    assert request.is_answered
    assert request.attempt > 1


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("slowness", [0.0, 0.2, 3.0])
def test_two_nodes_claim_a_plain_key_and_answers_are_lost(losses, slowness):
    fleet = Fleet(19, 3)
    fleet.store_slow(slowness)
    for _ in range(losses):
        fleet.lose_next_answer("claims/")
    request = fleet.send("treipuu", "timber-booking", "n1", copy_to="n2", is_plain=True)
    fleet.run(2.0)
    fleet.store_slow(0.0)
    settle(fleet, request)
    assert len(fleet.evidence.ran) <= 1


def test_refused_plain_key_runs_in_a_new_attempt():
    fleet = Fleet(20, 3)
    fleet.backends["office-1"].refuses = fleet.backends["office-2"].refuses = True
    request = fleet.send("treipuu", "timber-booking", "n1", is_plain=True)
    assert fleet.run_until(lambda: request.told)
    assert request.told.verdict is Verdict.NOT_RUN
    fleet.backends["office-1"].refuses = fleet.backends["office-2"].refuses = False
    settle(fleet, request)
    assert request.is_answered


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_broker_fails_with_permits_granted(fault):
    fleet = Fleet(21, 5)
    broker = fleet.find_broker("drafting", "n1")
    senders = [name for name in fleet.list_live() if name != broker]
    requests = [
        fleet.send("treipuu", "work-order", senders[index % len(senders)])
        for index in range(20)
    ]
    fleet.run(0.05)
    if fault == "cut":
        for name in senders[:2]:
            fleet.cut(broker, name)
    else:
        getattr(fleet, fault)(broker)
    fleet.run(6.0)
    if fault == "freeze":
        fleet.thaw(broker)
    if fault == "cut":
        for name in senders[:2]:
            fleet.heal(broker, name)
    settle(fleet, *requests)


@pytest.mark.parametrize("pause", [0.5, 5.0, 15.0])
def test_caller_goes_away_and_comes_back(pause):
    fleet = Fleet(22, 3)
    requests = [
        fleet.send("treipuu", kind, "n1", patience=60.0)
        for kind in ("work-order", "timber-booking", "label")
    ]
    fleet.run(0.1)
    for request in requests:
        fleet.leave(request)
    fleet.run(pause)
    for request in requests:
        fleet.resend(request, "n2")
    settle(fleet, *requests)


@pytest.mark.parametrize("role", ["home", "witness", "broker"])
def test_planned_stop_under_load_cuts_nothing(role):
    fleet = Fleet(23, 4)
    names = {
        "home": "n1",
        "witness": fleet.find_witness("n1"),
        "broker": fleet.find_broker("drafting", "n1"),
    }
    requests = []
    for index in range(30):
        kind = ("work-order", "label", "timber-booking")[index % 3]
        requests.append(fleet.send("treipuu", kind, f"n{1 + index % 4}"))
        if index == 15:
            fleet.stop(names[role])
        if index % 4 == 3:
            fleet.run(0.1)
    settle(fleet, *requests)
    assert all(request.is_answered for request in requests)


def test_rolling_replacement_of_all_nodes_under_load():
    fleet = Fleet(24, 3)
    requests = []
    for name in ("n1", "n2", "n3"):
        fleet.add_node("tallinn-a")
        requests += fleet.burst("treipuu", "work-order", 10, 5.0)
        fleet.stop(name)
        requests += fleet.burst("brolga", "timber-booking", 10, 4.0)
    settle(fleet, *requests)
    assert all(request.is_answered for request in requests)
    assert set(fleet.list_live()) == {"n4", "n5", "n6"}


def test_asking_again_never_takes_a_plain_key_from_its_owner():
    fleet = Fleet(25, 3)
    fleet.straggle_backend("office-1", 40.0)
    fleet.straggle_backend("office-2", 40.0)
    request = fleet.send("treipuu", "timber-booking", "n1", is_plain=True)
    assert fleet.run_until(lambda: fleet.evidence.ran)
    fleet.kill("n1")
    settle(fleet, request)
    assert request.told.verdict is Verdict.MAY_HAVE_RUN


def test_broker_that_grants_a_leaving_backend_does_not_hang_its_node():
    engine = BackendPlan("engine-1", "drafting", BackendKind.MODEL_ENGINE, slots=1)
    fleet = Fleet(26, 3, backends=(engine,))
    broker = fleet.find_broker("drafting", "n1")
    node = fleet.nodes[broker].node
    running = fleet.send("treipuu", "work-order", broker)
    fleet.run(0.1)
    waiting = fleet.send("treipuu", "work-order", broker, is_automatic=False)
    fleet.run(0.01)
    server = replace(fleet.backends["engine-1"].server, state=BackendState.LEAVING)
    path = BACKENDS_PREFIX + server.server
    value = encode_backend_change(fleet.store.values[path], server, "c", "anna", 0.0)
    # The book learns it from a peer; the broker hears of it at the next advance.
    node._backends.apply(StoredValue(path, value, 2, 10_000))
    exchange = next(iter(node._exchanges)).request.exchange
    now = fleet.clock.now
    fleet.nodes[broker].take(lambda: node.note_finished(now, exchange, RunReport()))
    settle(fleet, running, waiting)
    assert len(fleet.evidence.ran) == 1
    assert waiting.told.verdict is Verdict.NOT_RUN
