"""Tests that odd records in the store decide nothing about the others."""

import asyncio
import json

import msgspec
from hypothesis import given, settings, strategies as st

from fireflyquay.contracts import (
    BACKENDS_PREFIX,
    CONTRACTS_PREFIX,
    StoredValue,
    StoreListResult,
)
from fireflyquay.dispatch._control_message import BackendsResponse, ConfigResponse
from fireflyquay.interface import ContractSource, load_settings

SETTINGS = load_settings("docs/examples/node.toml")
BACKEND = {
    "server": "odd",
    "pool": "p",
    "kind": "MODEL_ENGINE",
    "zone": "z",
    "host": "127.0.0.1",
    "port": 1,
    "slots": 1,
    "token_slots": 1,
}
LIMITS = {"requests_per_second": 1.0, "tokens_per_second": 1.0, "in_flight": 1}
CONTRACT = {
    "customer": "odd",
    "token": "odd-token",
    "tiers": {"label": 0},
    "limits": LIMITS,
    "share": 1.0,
}
GOOD = {"customer": "good", "token": "good-token"}
NUMBERS = [0, -1, 2**53, 2**63, 2**64, 2**70, -(2**70), 1e308, -1e308, 70_000]
TEXTS = ["", " ", "a b", "a\r\nb", "\x00", "é", "x" * 300, "a..b", "0.0.0.0", "good"]
ODD_VALUES = st.sampled_from([*NUMBERS, *TEXTS, None, True, [], {}])


class ListStore:
    """Answer each list request with the values below its prefix."""

    def __init__(self, values):
        self.values = values

    async def call(self, call, timeout):
        found = [it for it in self.values if it.path.startswith(call.prefix)]
        return StoreListResult(tuple(found), 9)


def make_value(prefix, name, kind, fields):
    record = {"format": 1, "record": {kind: fields, "version": 1}}
    return StoredValue(f"{prefix}{name}", json.dumps(record).encode(), 1, 1)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.sampled_from(sorted(BACKEND)), ODD_VALUES)
def test_odd_backend_records_hide_no_sound_ones(field, value):
    good = {**BACKEND, "server": "good"}
    odd = {**BACKEND, field: value}
    values = [
        make_value(BACKENDS_PREFIX, "good", "backend", good),
        make_value(BACKENDS_PREFIX, "odd", "backend", odd),
    ]
    source = ContractSource(ListStore(values), None, SETTINGS)
    snapshot = asyncio.run(source.list_backends())
    assert [entry.host for entry in snapshot.entries if entry.id == "good"] == [
        "127.0.0.1"
    ]
    assert all(entry.is_valid for entry in snapshot.entries)
    msgspec.msgpack.encode(BackendsResponse(1, snapshot.entries, 1, 0.0))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.sampled_from(sorted(CONTRACT) + sorted(LIMITS)), ODD_VALUES)
def test_odd_contracts_change_no_sound_ones(field, value):
    odd = {**CONTRACT, "limits": {**LIMITS, field: value}}
    if field in CONTRACT:
        odd = {**CONTRACT, field: value}
    values = [
        make_value(CONTRACTS_PREFIX, "good", "contract", {**CONTRACT, **GOOD}),
        make_value(CONTRACTS_PREFIX, "odd", "contract", odd),
    ]
    source = ContractSource(ListStore(values), None, SETTINGS)
    config = asyncio.run(source.read_config()).config
    (account,) = [it for it in config.accounts if it.id == "good"]
    assert account.keys == {"good-token"}
    assert all(it.share > 0 and it.max_in_flight >= 0 for it in config.accounts)
    msgspec.msgpack.encode(ConfigResponse(1, config, 1, 0.0))


def test_requests_need_a_token_where_there_are_no_contracts():
    odd = make_value(CONTRACTS_PREFIX, "odd", "contract", {"customer": 5})
    for values in ([], [odd]):
        source = ContractSource(ListStore(values), None, SETTINGS)
        config = asyncio.run(source.read_config()).config
        assert (config.accounts, config.requires_keys) == ((), True)
