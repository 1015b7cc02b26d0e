"""Encoding of records, and rejection of invalid records with an error code."""

from dataclasses import replace

import pytest

from fireflyquay.contracts import BACKEND_CODEC, CONTRACT_CODEC
from fireflyquay.contracts._record_codec import validate_backend, validate_contract
from fireflyquay.world import (
    BackendKind,
    BackendRecord,
    BackendServer,
    Code,
    Contract,
    ContractRecord,
    FireflyquayError,
    Limits,
    Tier,
)

LIMITS = Limits(10.0, 1000.0, 5)
CONTRACT = Contract("treipuu", "token", {"label": Tier.URGENT}, LIMITS)
BACKEND = BackendServer(
    "engine-1", "drafting", BackendKind.MODEL_ENGINE, "tallinn-a", "h", 9101, 4, 9000
)


def test_decoded_records_equal_the_encoded_ones():
    contract, backend = ContractRecord(CONTRACT, 3), BackendRecord(BACKEND, 7)
    assert CONTRACT_CODEC.decode(CONTRACT_CODEC.encode(contract)) == contract
    assert BACKEND_CODEC.decode(BACKEND_CODEC.encode(backend)) == backend


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"\xff", b"[" * 5000, b'{"format":2,"record":{}}', b'{"format":1}'],
)
def test_undecodable_records_are_rejected_with_the_error_code_of_their_type(value):
    with pytest.raises(FireflyquayError) as caught:
        CONTRACT_CODEC.decode(value)
    assert caught.value.code is Code.BAD_CONTRACT
    with pytest.raises(FireflyquayError) as caught:
        BACKEND_CODEC.decode(value)
    assert caught.value.code is Code.BAD_SETTINGS


@pytest.mark.parametrize(
    "changes",
    [
        {"token": ""},
        {"customer": ""},
        {"share": 0.0},
        {"share": float("nan")},
        {"limits": replace(LIMITS, requests_per_second=-1.0)},
        {"limits": replace(LIMITS, tokens_per_second=float("inf"))},
        {"limits": replace(LIMITS, in_flight=-1)},
    ],
)
def test_invalid_contracts_are_rejected(changes):
    validate_contract(CONTRACT)
    with pytest.raises(FireflyquayError) as caught:
        validate_contract(replace(CONTRACT, **changes))
    assert caught.value.code is Code.BAD_CONTRACT


@pytest.mark.parametrize(
    "changes",
    [
        {"server": ""},
        {"pool": ""},
        {"host": ""},
        {"port": 0},
        {"port": 70_000},
        {"slots": -1},
        {"token_slots": -1},
    ],
)
def test_invalid_backend_servers_are_rejected(changes):
    validate_backend(BACKEND)
    with pytest.raises(FireflyquayError) as caught:
        validate_backend(replace(BACKEND, **changes))
    assert caught.value.code is Code.BAD_SETTINGS
