"""Invalid input gets an error code or is skipped; the fleet keeps serving."""

import json

import logbook
import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from msgspec import inspect

from emulator import Emulation, run_virtual
from fireflyquay.contracts import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    StoredValue,
    StoreListResult,
)
from fireflyquay.dispatch import ControlMessage
from fireflyquay.interface import ContractDialect, ContractSource, load_settings
from fireflyquay.interface._key_claims import decode_claim
from fireflyquay.links import HttpRequest
from fireflyquay.world import Code, FireflyquayError
from proofs import make_site

NAME_VALUES = st.sampled_from(
    ["vm0001", "vm0002", "nobody", "", "llm", "app", "llm-0", "account-0", "draft"]
    + ["\x00", "ä" * 300, "ALIVE", "DEAD"]
)
INTEGER_VALUES = st.one_of(
    st.integers(-3, 40), st.sampled_from([2**31, 2**63 - 1, 2**64 - 1, -(2**63)])
)
FLOAT_VALUES = st.one_of(
    st.floats(-2, 50, width=32),
    st.sampled_from([float("nan"), float("inf"), -float("inf"), 1e308, -1e308, 5e-324]),
)
MESSAGE_TYPES = inspect.type_info(ControlMessage).types
# Time after which invalid messages no longer have an effect.
SETTLE_SECONDS = 12.0


def build_values(kind):
    """Return a strategy of msgpack values that have the shape of a message."""
    match kind:
        case inspect.StructType():
            fields = st.tuples(*(build_values(it.type) for it in kind.fields))
            tag = () if kind.tag is None else (kind.tag,)
            return fields.map(lambda values: [*tag, *values])
        case inspect.DataclassType():
            return st.fixed_dictionaries(
                {it.encode_name: build_values(it.type) for it in kind.fields}
            )
        case inspect.VarTupleType():
            return st.lists(build_values(kind.item_type), max_size=5)
        case inspect.TupleType():
            return st.tuples(*(build_values(it) for it in kind.item_types))
        case inspect.FrozenSetType():
            return st.lists(build_values(kind.item_type), max_size=3)
        case inspect.DictType():
            return st.dictionaries(
                NAME_VALUES, build_values(kind.value_type), max_size=3
            )
        case inspect.EnumType():
            return st.sampled_from([item.value for item in kind.cls])
        case inspect.UnionType():
            return st.one_of(*(build_values(part) for part in kind.types))
        case inspect.NoneType():
            return st.none()
        case inspect.BoolType():
            return st.booleans()
        case inspect.IntType():
            return INTEGER_VALUES
        case inspect.FloatType():
            return FLOAT_VALUES
        case inspect.BytesType():
            return st.binary(max_size=8)
    return NAME_VALUES


def generate_messages(kind, count):
    """Return arbitrary messages that can be decoded, the same in each run."""
    found = []

    @settings(derandomize=True, deadline=None, max_examples=count, database=None)
    @given(build_values(kind))
    def draw(value):
        try:
            data = msgspec.msgpack.encode(value)
            found.append(msgspec.msgpack.decode(data, type=ControlMessage))
        except (msgspec.ValidationError, OverflowError, UnicodeEncodeError):
            return

    draw()
    return found


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.cls.__name__)
def test_fleet_survives_arbitrary_messages(kind):
    messages = generate_messages(kind, 60)
    failures = []

    async def run():
        async with Emulation(make_site(vms=2), seed=1) as emulation:
            handler = lambda loop, context: failures.append(context)  # noqa: E731
            emulation.loop.set_exception_handler(handler)
            links = list(emulation.network.links.values())
            for number, message in enumerate(messages):
                sender = ("vm0001", "vm0002", "nobody")[number % 3]
                links[number % 2].receive(sender, message)
                await emulation.run(0.01)
            await emulation.run(SETTLE_SECONDS)
            sent = [
                emulation.clients.send(emulation.get_kind(name))
                for name in ("look", "book", "ask", "draft") * 2
            ]
            await emulation.run(6.0)
        return sent

    log = logbook.TestHandler(level=logbook.ERROR)
    with log.applicationbound():
        sent = run_virtual(run())
    assert not failures, failures[0]
    assert not log.formatted_records, log.formatted_records[0]
    assert sum(request.is_served for request in sent) >= len(sent) - 1


def corrupt_bytes(encoded):
    """Return a strategy of encodings: truncated, with bytes replaced, or random."""
    truncated = st.integers(0, len(encoded)).map(lambda end: encoded[:end])
    position = st.integers(0, len(encoded) - 1)
    replacement = st.one_of(
        st.binary(min_size=1, max_size=4),
        st.sampled_from([b"-1", b"1e999", b"null", b'"x"', b"[" * 5000, b"9" * 400]),
    )
    replaced = st.tuples(position, st.integers(0, 8), replacement).map(
        lambda t: encoded[: t[0]] + t[2] + encoded[t[0] + t[1] :]
    )
    return st.one_of(truncated, replaced, st.binary(max_size=30))


TEXT_VALUES = st.text(st.characters(max_codepoint=255), max_size=250)
BODY_VALUES = st.one_of(
    corrupt_bytes(
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
CLIENT_ERRORS = (Code.BAD_REQUEST, Code.BAD_KEY, Code.UNKNOWN_CUSTOMER, Code.NOT_FOUND)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(BODY_VALUES, TEXT_VALUES, TEXT_VALUES, TEXT_VALUES)
def test_arbitrary_requests_get_a_client_error(body, key, token, path):
    headers = {"idempotency-key": key, "authorization": f"Bearer {token}"}
    target = b"/v1/requests/" + path.encode("latin-1")
    request = HttpRequest(
        "POST", "/v1/requests/label", {}, headers, body, target, list(headers.items())
    )
    try:
        metadata = ContractDialect().decode_request(request).metadata
    except FireflyquayError as error:
        assert error.code in CLIENT_ERRORS
        return
    assert metadata.prompt_tokens >= 0 and metadata.max_output_tokens >= 0


class SingleObjectStore:
    """Answer each list request with one object, if its path has the prefix."""

    def __init__(self, path, value):
        self.value = StoredValue(path, value, 1, 1)

    async def call(self, call, timeout):
        matches = self.value.path.startswith(call.prefix)
        return StoreListResult((self.value,) if matches else (), 1)


CONTRACT = CONTRACT_CODEC.encode
VALID_VALUES = {
    f"{CONTRACTS_PREFIX}treipuu": b'{"format":1,"record":{"contract":{"customer":'
    b'"treipuu","token":"t","tiers":{"label":0},"limits":{"requests_per_second":1.0,'
    b'"tokens_per_second":1.0,"in_flight":1}},"version":1}}',
    f"{BACKENDS_PREFIX}engine": b'{"format":1,"record":{"backend":{"server":"e","pool":'
    b'"p","kind":"MODEL_ENGINE","zone":"z","host":"h","port":1,"slots":1,'
    b'"token_slots":1},"version":1}}',
}


def test_uncorrupted_values_are_decoded():
    contract, backend = VALID_VALUES.values()
    assert CONTRACT_CODEC.decode(contract).version == 1
    assert BACKEND_CODEC.decode(backend).version == 1


@pytest.mark.parametrize("path", VALID_VALUES)
def test_corrupt_stored_values_are_skipped(path):
    example = load_settings("docs/examples/node.toml")

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(corrupt_bytes(VALID_VALUES[path]))
    def read(value):
        source = ContractSource(SingleObjectStore(path, value), None, example)
        config = run_virtual(source.read_config()).config
        backends = run_virtual(source.list_backends())
        assert config.version >= 1
        assert len(backends.entries) + len(backends.unreadable) <= 1
        assert decode_claim(value) is None

    read()
