"""Tests of the splitter with events in any line endings, cut at any place."""

import pytest
from hypothesis import given, strategies as st

from fireflyquay.gateway import BrokenResponseError, EventSplitter
from fireflyquay.gateway._event_splitter import MAX_EVENT_BYTES

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
TEXTS = st.text("ab: ", max_size=4).map(str.encode)


@st.composite
def draw_events(draw):
    """Return events of one stream, which keeps to one kind of line ending."""
    line_end = draw(LINE_ENDS)
    texts = draw(st.lists(TEXTS, min_size=1, max_size=5))
    return [
        b"id: %d%sdata: %s%s%s" % (number, line_end, text, line_end, line_end)
        for number, text in enumerate(texts, 1)
    ]


def split_at(data, positions):
    cuts = sorted({min(it, len(data)) for it in positions} | {0, len(data)})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


@given(draw_events(), st.lists(st.integers(0, 120)))
def test_whole_stream_is_returned_whatever_the_reads(events, positions):
    splitter = EventSplitter()
    data = b"".join(events)
    output = b"".join(splitter.feed(part) for part in split_at(data, positions))
    assert output + splitter.finish() == data
    assert splitter.event_count == len(events)
    assert splitter.last_event_id == str(len(events))


@given(draw_events(), st.lists(st.integers(0, 120)), st.data())
def test_stream_that_ends_inside_an_event_raises(events, positions, data):
    *before, torn = events
    length = data.draw(st.integers(1, len(torn) - 1))
    splitter = EventSplitter()
    whole = b"".join(before)
    parts = split_at(whole + torn[:length], positions)
    output = b"".join(splitter.feed(part) for part in parts)
    assert output == whole
    with pytest.raises(BrokenResponseError):
        splitter.finish()


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
@pytest.mark.parametrize("read_bytes", [1000, 65536, 3 * MAX_EVENT_BYTES])
def test_over_long_event_is_torn_until_its_end(end, read_bytes):
    data = b"data: " + b"x" * (2 * MAX_EVENT_BYTES)
    splitter, output = EventSplitter(), b""
    for start in range(0, len(data), read_bytes):
        output += splitter.feed(data[start : start + read_bytes])
    assert splitter.is_inside_event
    for byte in end:
        assert splitter.is_inside_event
        output += splitter.feed(bytes([byte]))
    assert not splitter.is_inside_event
    assert output + splitter.finish() == data + end


def test_over_long_event_that_is_torn_raises():
    splitter = EventSplitter()
    splitter.feed(b"data: " + b"x" * (2 * MAX_EVENT_BYTES) + b"\n")
    with pytest.raises(BrokenResponseError):
        splitter.finish()
