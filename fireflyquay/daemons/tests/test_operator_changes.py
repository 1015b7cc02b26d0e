import asyncio
from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.contracts import (
    CONTRACT_CODEC,
    ChangeMetadata,
    StoreConflict,
    StoredValue,
    StoreFailure,
    StoreList,
    StoreListResult,
    StoreNotFound,
    StoreRead,
)
from fireflyquay.contracts._change import MAX_CHANGES_PER_RECORD
from fireflyquay.daemons import _record_repository
from fireflyquay.daemons._record_repository import (
    build_contract_record,
    make_contract_repository,
)
from fireflyquay.world import (
    ChangeId,
    Code,
    Contract,
    CustomerId,
    FireflyquayError,
    Limits,
    Tier,
)

CUSTOMER = CustomerId("treipuu")


@dataclass
class FakeStore:
    """Keep objects in memory; each call uses up one item of `faults`."""

    # Per call: "ok", "request lost", "response lost", "unreachable" or a function
    # to run before the call.
    faults: list = field(default_factory=list)
    values: dict = field(default_factory=dict)
    revision: int = 0

    async def call(self, request, timeout):
        fault = self.faults.pop(0) if self.faults else "ok"
        path = request.prefix if isinstance(request, StoreList) else request.path
        if callable(fault):
            fault()
        if fault == "unreachable":
            return StoreFailure(path, False)
        if fault == "request lost":
            return StoreFailure(path, True)
        response = self.apply(request)
        return StoreFailure(path, True) if fault == "response lost" else response

    def apply(self, request):
        if isinstance(request, StoreList):
            found = [v for p, v in self.values.items() if p.startswith(request.prefix)]
            return StoreListResult(tuple(found), self.revision)
        current = self.values.get(request.path)
        if isinstance(request, StoreRead):
            return current or StoreNotFound(request.path)
        version = current.version if current else 0
        if version != request.expected_version:
            return StoreConflict(request.path, version)
        self.revision += 1
        new = StoredValue(request.path, request.value, version + 1, self.revision)
        self.values[request.path] = new
        return new


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(_record_repository, "RETRY_DELAY_SECONDS", 0.0)


def make_contract(share):
    limits = Limits(10.0, 1000.0, 5)
    return Contract(CUSTOMER, "secret-token", {"label": Tier.URGENT}, limits, share)


def apply(store, share, change_id="c1", expected=None):
    metadata = ChangeMetadata(ChangeId(change_id), "mari", 1.0)
    contract = make_contract(share)
    return asyncio.run(
        make_contract_repository(store).change(
            CUSTOMER,
            metadata,
            lambda r: build_contract_record(r, contract, metadata),
            expected,
        )
    )


def read(store):
    return asyncio.run(make_contract_repository(store).read_existing(CUSTOMER))


def test_change_and_audit_entry_are_stored_in_one_write():
    store = FakeStore()
    apply(store, 1.0, "c1")
    apply(store, 2.0, "c2")
    record = read(store)
    assert (record.version, store.revision) == (2, 2)
    first, second = record.changes
    assert (first.before, second.before) == ("", first.after)
    assert msgspec.json.decode(second.after)["share"] == 2.0


def test_identical_contract_is_unchanged_despite_an_old_expected_version():
    store = FakeStore()
    apply(store, 1.0)
    result = apply(store, 1.0, "c2", expected=0)
    assert (result.changed, store.revision) == (False, 1)


def test_concurrent_change_raises_a_conflict_with_the_newer_version():
    store = FakeStore()
    apply(store, 1.0)
    store.faults = ["ok", lambda: apply_concurrently(store, 2.0)]
    with pytest.raises(FireflyquayError) as caught:
        apply(store, 3.0, "mine")
    assert caught.value.code is Code.VERSION_CONFLICT
    assert "version 2" in caught.value.sentence
    assert read(store).contract.share == 2.0


def apply_concurrently(store, share):
    current = store.values["contracts/treipuu"]
    record = CONTRACT_CODEC.decode(current.value)
    metadata = ChangeMetadata(ChangeId("theirs"), "juhan", 2.0)
    value = CONTRACT_CODEC.encode(
        build_contract_record(record, make_contract(share), metadata)
    )
    store.values[current.path] = StoredValue(
        current.path, value, current.version + 1, current.revision + 1
    )


def test_wrong_expected_version_raises_a_conflict():
    store = FakeStore()
    apply(store, 1.0)
    with pytest.raises(FireflyquayError) as caught:
        apply(store, 2.0, "c2", expected=7)
    assert caught.value.code is Code.VERSION_CONFLICT
    assert apply(store, 2.0, "c2", expected=1).record.version == 2


def test_change_with_lost_response_is_recognized_after_a_newer_change():
    store = FakeStore(["ok", "response lost", lambda: apply_concurrently(store, 5.0)])
    assert apply(store, 1.0, "mine").changed
    assert [change.change_id for change in read(store).changes] == ["mine", "theirs"]


def test_only_recent_changes_are_kept():
    store = FakeStore()
    for number in range(MAX_CHANGES_PER_RECORD + 5):
        apply(store, 1.0 + number, f"c{number}")
    record = read(store)
    assert len(record.changes) == MAX_CHANGES_PER_RECORD
    assert record.version == MAX_CHANGES_PER_RECORD + 5


def test_invalid_stored_object_raises_an_error_with_code():
    store = FakeStore(values={"contracts/treipuu": StoredValue("x", b"{", 1, 1)})
    with pytest.raises(FireflyquayError) as caught:
        apply(store, 1.0)
    assert caught.value.code is Code.BAD_CONTRACT


FAULTS = st.lists(
    st.sampled_from(["ok", "request lost", "response lost", "unreachable"]), max_size=20
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(FAULTS)
def test_change_is_applied_once_and_reported_correctly_if_responses_are_lost(faults):
    store = FakeStore(list(faults))
    try:
        result = apply(store, 2.0, "mine")
    except FireflyquayError as error:
        assert error.code is Code.STORE_UNAVAILABLE
        result = None
    store.faults = []
    assert store.revision <= 1
    if result is not None:
        assert read(store).contract.share == 2.0
    again = apply(store, 2.0, "again")
    assert again.record.version == 1


def test_hanging_write_times_out(monkeypatch):
    monkeypatch.setattr(_record_repository, "OPERATION_TIMEOUT_SECONDS", 0.05)
    store = FakeStore()

    async def call(request, timeout):
        if not isinstance(request, StoreRead):
            await asyncio.sleep(60)
        return store.apply(request)

    monkeypatch.setattr(store, "call", call)
    with pytest.raises(FireflyquayError) as caught:
        apply(store, 1.0)
    assert caught.value.code is Code.STORE_UNAVAILABLE
    assert "may have taken effect" in caught.value.sentence
