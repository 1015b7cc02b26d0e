"""Each check fails once the mechanism behind its promise is taken out."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from fireflyquay.decisions import (
    Join,
    Ledger,
    Node,
    Witness,
    WitnessAnswer,
)
from fireflyquay.decisions._admission import Admission, AdmissionState
from fireflyquay.decisions._allowance_holder import AllowanceHolder
from fireflyquay.decisions._closer import Closer
from fireflyquay.decisions._recorder import Recorder
from fireflyquay.decisions._request_flow import RequestFlow
from fireflyquay.decisions._store_arbiter import StoreArbiter
from fireflyquay.decisions._tier_gate import TierGate
from fireflyquay.decisions._versioned_book import BookEntry, VersionedBook
from fireflyquay.world import BackendServer, Limits, Step, Verdict
from proofs import Fleet

SMALL = Limits(requests_per_second=10.0, tokens_per_second=1e6, in_flight=20)


def freeze_home_after_claim():
    fleet = Fleet(31, 4)
    witness = fleet.find_witness("n1")
    other = next(n for n in fleet.list_live() if n not in ("n1", witness))
    held = []

    def judge(source, target, message):
        if isinstance(message, WitnessAnswer) and not held:
            held.append((source, target, message))
            return False
        return True

    fleet.network.filter = judge
    request = fleet.send("treipuu", "timber-booking", "n1", is_automatic=False)
    assert fleet.run_until(lambda: held)
    fleet.freeze("n1")
    fleet._deliver(*held[0])
    fleet.resend(request, other)
    fleet.run(1.0)
    fleet.thaw("n1")
    fleet.run(10.0)
    return fleet


def send_copies_of_plain_key():
    fleet = Fleet(32, 3)
    fleet.send("treipuu", "invoice", "n1", copy_to="n2", is_plain=True)
    fleet.run(10.0)
    return fleet


def send_again_to_home():
    fleet = Fleet(33, 3)
    request = fleet.send("treipuu", "work-order", "n1")
    fleet.run(0.15)
    fleet.resend(request, "n1")
    fleet.run(10.0)
    return fleet


def refuse_while_a_copy_lingers():
    fleet = Fleet(34, 4)
    witness = fleet.find_witness("n1")
    other = next(n for n in fleet.list_live() if n not in ("n1", witness))
    mark_services(fleet, "LEAVING")
    fleet.cut("n1", other)
    fleet.freeze(other)
    request = fleet.send(
        "treipuu", "invoice", "n1", is_automatic=False, tells_count=False
    )
    fleet.resend(request, other)
    assert fleet.run_until(lambda: request.told)
    mark_services(fleet, "SERVING")
    fleet.thaw(other)
    fleet.run(1.0)
    fleet.heal("n1", other)
    fleet.run(10.0)
    return fleet


def mark_services(fleet, state):
    fleet.mark_backend("office-1", state)
    fleet.mark_backend("office-2", state)
    fleet.run(3.5)


def reuse_a_key():
    fleet = Fleet(35, 3)
    fleet.send("treipuu", "work-order", "n1", key="k", body=b"first")
    fleet.send("treipuu", "work-order", "n1", key="k", body=b"second")
    fleet.run(5.0)
    return fleet


def overload_with_two_tiers():
    fleet = Fleet(36, 3)
    fleet.burst("brolga", "label", 60)
    fleet.run(0.3)
    fleet.burst("treipuu", "work-order", 60, 1.0, deadline=1.5, is_automatic=False)
    fleet.run(10.0)
    return fleet


def mark_a_backend_leaving():
    fleet = Fleet(37, 3)
    fleet.mark_backend("engine-1", "LEAVING")
    fleet.run(4.0)
    fleet.burst("treipuu", "work-order", 20, 2.0)
    fleet.run(10.0)
    return fleet


def stop_under_load():
    fleet = Fleet(38, 3)
    fleet.burst("treipuu", "work-order", 10, node="n1")
    fleet.run(0.1)
    fleet.stop("n1")
    fleet.run(10.0)
    return fleet


def change_contract_often():
    fleet = Fleet(39, 4)
    fleet.set_jitter(0.5)
    for share in range(1, 20):
        fleet.apply_contract("treipuu", share=float(share))
        fleet.run(0.1)
    fleet.set_jitter(0.001)
    fleet.run(3.0)
    fleet.apply_contract("treipuu", share=50.0)
    fleet.run(10.0)
    return fleet


def send_one():
    fleet = Fleet(40, 3)
    fleet.send("treipuu", "work-order")
    fleet.run(5.0)
    return fleet


def exceed_the_rate():
    fleet = Fleet(41, 3, limits=SMALL)
    fleet.burst("treipuu", "status-lookup", 60, 1.0, is_automatic=False)
    fleet.run(5.0)
    return fleet


def exceed_in_flight():
    limits = Limits(requests_per_second=500.0, tokens_per_second=1e6, in_flight=6)
    fleet = Fleet(42, 3, limits=limits)
    fleet.burst("treipuu", "work-order", 30, is_automatic=False)
    fleet.run(5.0)
    return fleet


def grant_always(witness, entry, sender, message):
    entry.attempt = message.attempt
    entry.server = getattr(message, "server", entry.server)
    entry.owner = sender
    return True


def refuse_without_closing(closer, now, exchange, refusal):
    exchange.refusal = refusal
    return closer.answer(now, exchange, Verdict.NOT_RUN)


def join_anything(flow, now, exchange):
    entry = flow._ledger.find(exchange.request.key)
    return [Join(exchange.request.exchange, entry.exchange)]


def apply_any(book, stored):
    record = book._read(stored)
    held = book._entries.get(stored.path)
    seen = book.__dict__.setdefault("_seen", Counter())
    seen[stored.path, stored.revision] += 1
    is_same = held is not None and held.revision == stored.revision
    if is_same or seen[stored.path, stored.revision] > 3:
        return False
    entry = BookEntry(record, stored.version, stored.revision)
    book._entries[stored.path] = entry
    book._index(held.record if held else None, record)
    return True


def apply_first(book, stored):
    return stored.path not in book._entries and apply_any(book, stored)


def record_no_dispatch(original):
    def record(self, now, request, step, **fields):
        if step is Step.DISPATCHED:
            step = Step.GRANTED
        return original(self, now, request, step, **fields)

    return record


@dataclass(frozen=True)
class Mutation:
    check: str
    scenario: Callable[[], Fleet]
    target: type
    name: str
    change: object


ADMITTED = Admission(AdmissionState.ADMITTED)
MUTATIONS = {
    "witness-grants-always": Mutation(
        "RunsOnce", freeze_home_after_claim, Witness, "_apply", grant_always
    ),
    "store-claim-replaced-by-any": Mutation(
        "RunsOnce",
        send_copies_of_plain_key,
        StoreArbiter,
        "_may_replace",
        lambda self, record, wanted: True,
    ),
    "ledger-forgets": Mutation(
        "RunsOnce", send_again_to_home, Ledger, "find", lambda self, key: None
    ),
    "closer-skips-closing": Mutation(
        "NotRunIsTrue",
        refuse_while_a_copy_lingers,
        Closer,
        "refuse",
        refuse_without_closing,
    ),
    "fingerprint-ignored": Mutation(
        "WholeAnswers", reuse_a_key, RequestFlow, "_refuse_reuse", join_anything
    ),
    "tiers-never-closed": Mutation(
        "TierOrder",
        overload_with_two_tiers,
        TierGate,
        "is_closed",
        lambda self, now, tier: False,
    ),
    "leaving-state-ignored": Mutation(
        "LeavingBackends",
        mark_a_backend_leaving,
        BackendServer,
        "takes_work",
        property(lambda self: True),
    ),
    "drain-cuts": Mutation(
        "PlannedStops",
        stop_under_load,
        Node,
        "is_drained",
        lambda self, now: self._draining_since is not None,
    ),
    "older-versions-applied": Mutation(
        "ContractsInForce", change_contract_often, VersionedBook, "apply", apply_any
    ),
    "later-versions-ignored": Mutation(
        "ContractsInForce", change_contract_often, VersionedBook, "apply", apply_first
    ),
    "dispatch-not-recorded": Mutation(
        "Traces", send_one, Recorder, "record", record_no_dispatch(Recorder.record)
    ),
    "rate-not-limited": Mutation(
        "LimitsHold",
        exceed_the_rate,
        AllowanceHolder,
        "_judge",
        lambda self, now, bucket, tokens: ADMITTED,
    ),
    "in-flight-not-limited": Mutation(
        "LimitsHold",
        exceed_in_flight,
        AllowanceHolder,
        "_judge",
        lambda self, now, bucket, tokens: ADMITTED,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_check_fails_without_the_mechanism(name, monkeypatch):
    mutation = MUTATIONS[name]
    mutation.scenario().oracle.assert_clean()
    monkeypatch.setattr(mutation.target, mutation.name, mutation.change)
    breaches = mutation.scenario().oracle.find_breaches()
    assert mutation.check in {breach.split(":")[0] for breach in breaches}
