"""Tests of the conversion of an engine's event stream."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.gateway import BrokenResponseError
from fireflyquay.interface._engine_reader import EngineReader
from fireflyquay.links import encode_sse
from fireflyquay.world import RequestKey

FIRST = encode_sse("chunk", b'{"index": 0, "text": "a", "tokens": 1}')
SECOND = encode_sse("chunk", b'{"index": 1, "text": "b", "tokens": 1}')
THIRD = encode_sse("chunk", b'{"index": 2, "text": "c", "tokens": 1}')
END = encode_sse("finished", b'{"prefill_tokens_computed": 5, "output_tokens": 2}')
COMPLETE_STREAM = FIRST + SECOND + END


def read(data, wants_events=False):
    reader = EngineReader(RequestKey("k"), wants_events)
    output = reader.feed(data)
    return output + reader.finish()


def test_chunks_are_joined_into_one_answer():
    answer = msgspec.json.decode(read(COMPLETE_STREAM))
    assert (answer["output"], answer["output_tokens"]) == ("ab", 2)
    assert (answer["key"], answer["verdict"]) == ("k", "RAN")


@settings(derandomize=True)
@given(st.integers(0, len(COMPLETE_STREAM)))
def test_events_do_not_depend_on_how_the_bytes_are_split(index):
    reader = EngineReader(RequestKey("k"), True)
    output = reader.feed(COMPLETE_STREAM[:index]) + reader.feed(COMPLETE_STREAM[index:])
    assert output + reader.finish() == read(COMPLETE_STREAM, wants_events=True)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        FIRST,
        FIRST + FIRST + END,
        FIRST + THIRD + END,
        SECOND + END,
        encode_sse("unknown", b"{}") + END,
        encode_sse("chunk", b"{") + END,
        encode_sse("chunk", b"[" * 5000) + END,
        encode_sse("chunk", b'{"index": 0, "text": 1, "tokens": 1}') + END,
        FIRST + encode_sse("finished", b"{}"),
        FIRST + encode_sse("failed", b'{"sentence": "no memory"}') + END,
        encode_sse("chunk", b"\xff\xfe") + END,
    ],
)
@pytest.mark.parametrize("wants_events", [False, True])
def test_incomplete_or_invalid_streams_are_rejected(data, wants_events):
    with pytest.raises(BrokenResponseError):
        read(data, wants_events)
