import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.contracts import (
    StoreConflict,
    StoredValue,
    StoreFailed,
)
from fireflyquay.decisions._trail import Trail, TrailSettings
from fireflyquay.decisions._trail_flush import (
    TrailFlushSettings,
    decode_batch,
    encode_batch,
    list_prefixes,
)
from fireflyquay.world import (
    FireflyquayError,
    Incarnation,
    RequestKey,
    Step,
    TrailRecord,
)

OWN = Incarnation("aaaa")


def make_record(sequence, step=Step.FINISHED, key="k", **changes):
    return TrailRecord(RequestKey(key), 1, step, OWN, 5.0, sequence, **changes)


def make_trail(most_records=100, **changes):
    return Trail(OWN, TrailSettings(most_records, TrailFlushSettings(**changes)))


def test_finds_the_newest_records_of_a_key():
    trail = make_trail(most_records=3)
    for sequence in range(1, 6):
        trail.add(make_record(sequence, key="ab"[sequence % 2]))
    assert [record.sequence for record in trail.find(RequestKey("a"))] == [4]
    assert [record.sequence for record in trail.find(RequestKey("b"))] == [3, 5]


def test_flushes_in_batches_within_the_budget():
    trail = make_trail(most_records=100, interval=10.0)
    trail.add(make_record(1, Step.QUEUED))
    trail.add(make_record(2))
    [action] = trail.advance(0.0)
    assert action.call.path == "trail/aaaa/000000000002"
    assert action.call.path.startswith(list_prefixes((OWN, OWN))[0])
    assert [r.sequence for r in decode_batch(action.call.value)] == [2]
    trail.receive_store_answer(1.0, action.tag, StoredValue("p", b"", 1, 1))
    trail.add(make_record(3))
    assert trail.advance(5.0) == []
    assert len(trail.advance(11.0)) == 1


def test_a_lost_answer_is_resolved_by_the_conflict():
    trail = make_trail(interval=1.0)
    trail.add(make_record(1))
    [first] = trail.advance(0.0)
    trail.receive_store_answer(1.0, first.tag, StoreFailed("p", True))
    [again] = trail.advance(2.0)
    assert again == first
    trail.receive_store_answer(3.0, again.tag, StoreConflict("p", 1))
    assert trail.advance(9.0) == []
    assert trail.dropped == 0


def test_an_outage_keeps_the_newest_and_counts_the_rest():
    trail = make_trail(interval=1.0, most_waiting=4, most_records=100)
    for sequence in range(1, 21):
        trail.add(make_record(sequence))
        for action in trail.advance(sequence * 2.0):
            failed = StoreFailed("p", False)
            trail.receive_store_answer(sequence * 2.0, action.tag, failed)
    [action] = trail.advance(100.0)
    kept = [record.sequence for record in decode_batch(action.call.value)]
    assert kept == [17, 18, 19, 20] and trail.dropped == 16


def test_values_stay_under_the_bound():
    trail = make_trail(most_bytes=2000)
    for sequence in range(1, 500):
        why = f"{sequence * 7919 % 104729:x}" * 8
        trail.add(make_record(sequence, why=why))
    [action] = trail.advance(0.0)
    assert len(action.call.value) <= 2000


def test_a_broken_batch_is_refused():
    for value in (b"junk", encode_batch([])[:-3], b""):
        with pytest.raises(FireflyquayError):
            decode_batch(value)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(list(Step)), st.text(max_size=9))))
def test_batches_decode_to_what_was_encoded(rows):
    records = [make_record(n, step, why=why) for n, (step, why) in enumerate(rows)]
    assert decode_batch(encode_batch(records)) == tuple(records)
