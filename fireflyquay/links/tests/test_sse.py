"""Parsing and encoding of server-sent events."""

import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.links import SseEvent, SseParser, encode_sse
from fireflyquay.world import Code, FireflyquayError

DATA = st.binary(min_size=1, max_size=20).filter(
    lambda data: not set(data) & set(b"\r\n")
)
NAMES = st.sampled_from(["started", "chunk", "finished"])


@given(st.lists(st.tuples(NAMES, DATA), max_size=6), st.integers(1, 9))
@settings(derandomize=True, deadline=None)
def test_events_are_parsed_for_any_chunk_size(events, step):
    raw = b"".join(encode_sse(name, data) for name, data in events)
    parser, parsed = SseParser(), []
    for start in range(0, len(raw), step):
        parsed += parser.feed(raw[start : start + step])
    assert parsed == [SseEvent(name, data) for name, data in events]


def test_parser_skips_comments_and_accepts_crlf_and_multiple_data_lines():
    raw = b": hello\r\n\r\nid: 4\r\ndata: a\r\ndata:b\r\n\r\ndata: cut off"
    assert SseParser().feed(raw) == [SseEvent("message", b"a\nb")]


@pytest.mark.parametrize("raw", [b"data: " + b"x" * 100, b"data: x\n" * 20])
def test_event_above_the_size_limit_is_rejected(raw):
    with pytest.raises(FireflyquayError) as caught:
        SseParser(max_event_bytes=50).feed(raw)
    assert caught.value.code is Code.BAD_MESSAGE
