"""Newest version wins, bad values, and changes with their audit."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.contracts import (
    CONTRACT_CODEC,
    StoredValue,
    encode_backend_change,
    encode_contract_change,
    is_applied,
)
from fireflyquay.decisions import (
    BackendBook,
    ContractBook,
)
from fireflyquay.membership import (
    choose_one,
    rank,
)
from fireflyquay.world import (
    BackendKind,
    BackendServer,
    BackendState,
    ChangeId,
    Code,
    Contract,
    CustomerId,
    FireflyquayError,
    Limits,
    Tier,
)


def build_contract(customer="treipuu", token="secret", rate=5.0) -> Contract:
    limits = Limits(rate, 1000.0, 10)
    return Contract(CustomerId(customer), token, {"order": Tier.URGENT}, limits)


def build_backend(server="engine1", pool="draft", state=BackendState.SERVING):
    kind = BackendKind.MODEL_ENGINE
    return BackendServer(server, pool, kind, "mackay", "10.1.0.1", 80, 8, 9000, state)


def build_stored(contract: Contract, revision: int, version=1) -> StoredValue:
    value = encode_contract_change(None, contract, ChangeId("c"), "ann", 1.0)
    return StoredValue(f"contracts/{contract.customer}", value, version, revision)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30))))
def test_reordered_and_repeated_values_never_revert(deliveries):
    book, twin = ContractBook(), ContractBook()
    newest: dict[str, int] = {}
    for customer, revision in deliveries:
        book.apply(build_stored(build_contract(customer, rate=revision), revision))
        newest[customer] = max(newest.get(customer, 0), revision)
        for name, expected in newest.items():
            held = book.get(CustomerId(name)).contract.limits.requests_per_second
            assert held == expected
    for customer, revision in newest.items():
        twin.apply(build_stored(build_contract(customer, rate=revision), revision))
    assert twin.hashes == book.hashes


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"format":2,"record":{}}',
        b'{"format":1,"record":{}}',
        CONTRACT_CODEC.encode(
            CONTRACT_CODEC.decode(build_stored(build_contract("other"), 1).value)
        ),
    ],
)
def test_bad_value_is_rejected_and_the_old_stays(value):
    book = ContractBook()
    book.apply(build_stored(build_contract(), 3))
    before = list(book.hashes)
    bad = StoredValue("contracts/treipuu", value, 2, 4)
    with pytest.raises(FireflyquayError) as caught:
        book.apply(bad)
    assert caught.value.code is Code.BAD_CONTRACT
    assert not book.apply(bad)
    assert book.rejected_count == 1
    assert book.hashes == before
    assert book.get(CustomerId("treipuu")).contract == build_contract()
    assert book.apply(build_stored(build_contract(rate=7.0), 5))


def test_tokens_follow_contract_changes():
    book = ContractBook()
    book.apply(build_stored(build_contract(token="old"), 1))
    book.apply(build_stored(build_contract(token="new"), 2))
    assert book.find_by_token("old") is None
    assert book.find_by_token("new").contract.customer == "treipuu"


def test_backend_book_lists_pools_and_moves_servers():
    book = BackendBook()
    for revision, pool in enumerate(["draft", "dispatch"], start=1):
        value = encode_backend_change(
            None, build_backend(pool=pool), ChangeId("c"), "ann", 1.0
        )
        book.apply(StoredValue("backends/engine1", value, revision, revision))
    assert book.pools() == ("dispatch",)
    assert book.servers("draft") == ()
    assert [s.server for s in book.servers("dispatch")] == ["engine1"]


def test_change_appends_audit_and_keeps_the_last_fifty():
    current = None
    for number in range(60):
        change_id = ChangeId(f"change{number}")
        contract = build_contract(rate=float(number))
        value = encode_contract_change(current, contract, change_id, "ann", 1.0)
        version = number + 1
        current = StoredValue("contracts/treipuu", value, version, version)
    record = CONTRACT_CODEC.decode(current.value)
    assert record.version == 60
    assert len(record.changes) == 50
    assert is_applied(record, ChangeId("change59"))
    assert not is_applied(record, ChangeId("change9"))
    assert record.changes[-1].before == record.changes[-2].after


def test_bad_contract_is_not_encoded():
    for contract in (
        build_contract(rate=float("nan")),
        build_contract(rate=-1.0),
        build_contract(token=""),
    ):
        with pytest.raises(FireflyquayError):
            encode_contract_change(None, contract, ChangeId("c"), "ann", 1.0)


def test_rendezvous_moves_only_what_a_lost_member_had():
    members = [f"node{n}" for n in range(20)]
    random.Random(1).shuffle(members)
    for number in range(100):
        name = f"duty{number}"
        order = rank(name, members)
        assert choose_one(name, members) == order[0]
        rest = [m for m in members if m != order[0]]
        assert rank(name, rest) == order[1:]
    assert choose_one("duty", []) is None
