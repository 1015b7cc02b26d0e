"""Input of any kind gets a coded error or is passed over; the node goes on."""

import asyncio
import json
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from msgspec import inspect
from node_fleet import CUSTOMER, OTHER, POOL, SERVER, NodeFleet

from fireflyquay.contracts import (
    StoredValue,
)
from fireflyquay.daemons._parser import build_request, read_key, read_token
from fireflyquay.decisions import (
    PEER_MESSAGE,
    CountMe,
    Dispatch,
    Resume,
    decode_batch,
    encode_batch,
)
from fireflyquay.decisions._closing_board import (
    ClosingRecord,
    _decode_record as read_closing,
)
from fireflyquay.decisions._store_arbiter import ClaimRecord, path_claim
from fireflyquay.links import HttpRequest, PeerLink
from fireflyquay.world import (
    Code,
    Contract,
    FireflyquayError,
    Limits,
    Step,
    Tier,
    TrailRecord,
    Verdict,
    WorkKind,
    parse_homed_key,
)

NAMES = st.sampled_from(
    [CUSTOMER, POOL, SERVER, "node0", "node1", "node2", "-", "", "x", "label"]
    + ["fq1.node0.node1.0.a", "fq1.node1.node0.3.b", "fq1.node0.-.99999.c", "plain"]
    + ["contracts/", "contracts/treipuu", "backends/", "\x00", "ä" * 300]
)
INTEGERS = st.one_of(
    st.integers(-3, 40), st.sampled_from([2**31, 2**63 - 1, 2**64 - 1, -(2**63)])
)
FLOATS = st.one_of(
    st.floats(-2, 50, width=32),
    st.sampled_from([float("nan"), float("inf"), -float("inf"), 1e308, -1e308, 5e-324]),
)
BYTES = st.one_of(st.binary(max_size=8), st.just(b'{"format":1,"record":{}}'))
# Seconds after which what a message claimed no longer counts.
REST_S = {"Counted": 245.0}
TYPES = inspect.type_info(PEER_MESSAGE).types


def build_values(kind):
    """Return a strategy of msgpack values that have a message's shape."""
    match kind:
        case inspect.StructType():
            tag = () if kind.tag is None else (st.just(kind.tag),)
            return st.tuples(*tag, *(build_values(f.type) for f in kind.fields))
        case inspect.DataclassType():
            return st.fixed_dictionaries(
                {f.encode_name: build_values(f.type) for f in kind.fields}
            )
        case inspect.VarTupleType():
            return st.lists(build_values(kind.item_type), max_size=20)
        case inspect.DictType():
            return st.dictionaries(NAMES, build_values(kind.value_type), max_size=5)
        case inspect.EnumType():
            return st.sampled_from([item.value for item in kind.cls])
        case inspect.UnionType():
            return st.one_of(*(build_values(part) for part in kind.types))
        case inspect.NoneType():
            return st.none()
        case inspect.BoolType():
            return st.booleans()
        case inspect.IntType():
            return INTEGERS
        case inspect.FloatType():
            return FLOATS
        case inspect.BytesType():
            return BYTES
    return NAMES


@pytest.mark.parametrize("kind", TYPES, ids=lambda kind: kind.cls.__name__)
def test_messages_of_nonsense_do_not_stop_a_node(kind):
    fleet = NodeFleet()
    fleet.run(4.0)
    senders = st.sampled_from(["node1", "node2", "nobody", "node0"])
    exchanges = iter(range(1, 10**6))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.tuples(senders, build_values(kind)), min_size=1, max_size=4))
    def deliver(values):
        for sender, value in values:
            try:
                message = msgspec.msgpack.decode(
                    msgspec.msgpack.encode(value), type=PEER_MESSAGE
                )
            except msgspec.ValidationError:
                continue
            fleet.nodes["node0"].receive(fleet.now, sender, message)
        fleet.run(0.1)
        fleet.send("node0", next(exchanges))

    deliver()
    assert fleet.nodes["node0"].rejected_messages == 0
    fleet.run(REST_S.get(kind.cls.__name__, 20.0))
    last = next(exchanges)
    fleet.send("node0", last)
    fleet.run(3.0)
    assert isinstance(fleet.ended.get(last), Dispatch), fleet.ended.get(last)


def test_message_that_a_decision_cannot_take_is_counted_and_the_node_goes_on(
    monkeypatch,
):
    fleet = NodeFleet()
    node = fleet.nodes["node0"]
    monkeypatch.setattr(node, "_handle", lambda *_: {}["missing"])
    node.receive(0.0, "node1", CountMe(1))
    assert node.rejected_messages == 1
    monkeypatch.undo()
    fleet.run(4.0)
    fleet.send("node0", 1)
    fleet.run(1.0)
    assert isinstance(fleet.ended[1], Dispatch)


@pytest.mark.parametrize("stranger", [{"customer": OTHER}, {}])
def test_knowing_a_key_does_not_give_the_answer_of_another_request(stranger):
    fleet = NodeFleet()
    fleet.run(4.0)
    fleet.holds_runs = True
    own = fleet.send("node0", 1)
    fleet.run(1.0)
    home = fleet.nodes.pop("node0")
    place = next(n for n in fleet.nodes if n != parse_homed_key(own.key).witness)
    fleet.run(10.0)
    other = replace(own, fingerprint="other", exchange=2, send_count=2, **stranger)
    fleet.nodes[place].receive_request(fleet.now, other, True)
    fleet.run(2.0)
    refuse = fleet.ended[2]
    assert (refuse.code, refuse.verdict) == (Code.KEY_REUSED, Verdict.MAY_HAVE_RUN)
    copy = replace(own, exchange=3, send_count=2)
    fleet.nodes[place].receive_request(fleet.now, copy, True)
    fleet.run(2.0)
    assert isinstance(fleet.ended[3], Resume)
    assert home.count_in_flight()[own.tier] == 1


def change_bytes(sample):
    """Return a strategy of a value's text, cut, grown or with other bytes in it."""
    cut = st.integers(0, len(sample)).map(lambda end: sample[:end])
    place = st.integers(0, len(sample) - 1)
    piece = st.one_of(
        st.binary(min_size=1, max_size=4),
        st.sampled_from([b"-1", b"1e999", b"null", b'"x"', b"[" * 5000, b"9" * 400]),
    )
    swapped = st.tuples(place, st.integers(0, 8), piece).map(
        lambda t: sample[: t[0]] + t[2] + sample[t[0] + t[1] :]
    )
    return st.one_of(cut, swapped, st.binary(max_size=30))


RECORD = TrailRecord("k", 1, Step.RECEIVED, "node1", 1.0, 1)
VALUES = {
    "contracts/treipuu": lambda fleet: fleet.values["contracts/treipuu"].value,
    "backends/engine-1": lambda fleet: fleet.values["backends/engine-1"].value,
    "claims/x": lambda _: msgspec.json.encode(
        ClaimRecord("node1", "node1/1", 1, SERVER, False)
    ),
    "closings/drafting": lambda _: msgspec.json.encode(
        ClosingRecord("node1", Tier.STANDARD)
    ),
    "trail/node1/1": lambda _: encode_batch([RECORD] * 3),
}


@pytest.mark.parametrize("path", VALUES)
def test_stored_values_of_nonsense_do_not_stop_a_node(path):
    fleet = NodeFleet()
    fleet.run(4.0)
    node = fleet.nodes["node0"]
    revisions = iter(range(100, 10**6))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(change_bytes(VALUES[path](fleet)))
    def receive(value):
        revision = next(revisions)
        stored = StoredValue(path, value, revision, revision)
        if path.startswith("trail/"):
            try:
                decode_batch(value)
            except FireflyquayError as error:
                assert error.code is Code.BAD_MESSAGE
        elif path.startswith("claims/"):
            request = replace(
                fleet.make_request("node0", revision),
                key=f"{CUSTOMER}/{revision}",
                kind=WorkKind("label", POOL),
            )
            fleet.values[path_claim(request.key)] = replace(
                stored, path=path_claim(request.key)
            )
            node.receive_request(fleet.now, request)
        elif path.startswith("closings/"):
            assert isinstance(read_closing(value), ClosingRecord | None)
            for tag in ("closing:read:drafting", "closing:write:drafting"):
                node.receive_store_answer(fleet.now, tag, stored)
        else:
            node.publish(fleet.now, stored)
        fleet.run(0.1)

    receive()
    good = fleet.values.get("backends/engine-1"), fleet.values["contracts/treipuu"]
    for value in good:
        node.publish(fleet.now, replace(value, revision=10**7))
    fleet.run(20.0)
    fleet.send("node0", 10**7)
    fleet.run(3.0)
    assert isinstance(fleet.ended.get(10**7), Dispatch), fleet.ended.get(10**7)


FRAMES = [
    b"",
    b"\xc1",
    msgspec.msgpack.encode(["node1", "", [["Nothing", 1]]]),
    msgspec.msgpack.encode(["node1", "", [["CountMe"], 5, None, ["count_me", "x"]]]),
    msgspec.msgpack.encode(["node1", "node9", [["count_me", 1]]]),
    msgspec.msgpack.encode(["node1", "node0", "text"]),
    msgspec.msgpack.encode({"sender": 1}),
    msgspec.msgpack.encode(["node1", "", [["count_me", float("nan")]]]),
    b"\x93\xa2\xff\xff\xa0\x90",
    b"\x91" * 100_000,
    b"\x93\xa5node1\xa0\xdd\xff\xff\xff\xff",
]


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(st.one_of(st.sampled_from(FRAMES), st.binary(max_size=40))))
def test_peer_link_goes_on_after_frames_of_nonsense(frames):
    good = msgspec.msgpack.encode(["node1", "node0", [["count_me", 7]]])
    taken = []

    async def run():
        link = PeerLink("node0", PEER_MESSAGE, lambda *item: taken.append(item))
        port = await link.start("127.0.0.1", 0)
        for tail in (b"\xff\xff\xff\xff", b"\x00\x00\x01\x00cut", b""):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            for frame in (*frames, good):
                writer.write(len(frame).to_bytes(4, "big") + frame)
            writer.write(tail)
            writer.write_eof()
            await writer.drain()
            while link.traffic.bytes_received == 0 or len(taken) < 1:
                await asyncio.sleep(0)
            taken_before = len(taken)
            writer.close()
            taken.clear()
            assert taken_before
        await link.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


TEXTS = st.text(st.characters(max_codepoint=255), max_size=250)
BODIES = st.one_of(
    change_bytes(
        b'{"prompt": "p", "max_tokens": 4, "prompt_tokens": 3, "prefix": "x"}'
    ),
    st.sampled_from(
        [b"[" * 10_000, b'{"a":' * 10_000, b'"\\ud800"', b"\xef\xbb\xbf{}"]
    ),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner),
        max_leaves=8,
    ).map(lambda value: json.dumps(value).encode()),
)
CONTRACT = Contract("treipuu", "t", {"label": Tier.URGENT}, Limits(1.0, 1.0, 1))


@settings(derandomize=True, deadline=None, max_examples=400)
@given(BODIES, TEXTS, TEXTS, st.one_of(TEXTS, st.just("9" * 5000)))
def test_requests_of_nonsense_get_a_code_of_their_own_fault(body, key, token, count):
    headers = {
        "idempotency-key": key,
        "authorization": token,
        "fireflyquay-attempt": count,
    }
    http = HttpRequest("POST", "/v1/requests/label", {}, headers, body)
    kind = WorkKind("label", "drafting")
    readers = (
        lambda: read_token(http),
        lambda: read_key(http),
        lambda: build_request(0.0, 1, http, CONTRACT, kind, "k", 1),
    )
    for read in readers:
        try:
            read()
        except FireflyquayError as error:
            assert error.code in (Code.BAD_REQUEST, Code.BAD_KEY, Code.UNKNOWN_CUSTOMER)
