"""JSON format of log lines, limits on rate and size, and writing without blocking."""

import json
import os
from datetime import datetime, timedelta

import logbook
import pytest

from fireflyquay.links import JsonLineHandler
from fireflyquay.links._json_log import MAX_QUEUED_BYTES

NOW = datetime(2026, 12, 4, 12, 0, 0)


class Pipe:
    """Read the lines written to a pipe; keep an incomplete line for the next read."""

    def __init__(self):
        self._reader, self.writer = os.pipe()
        os.set_blocking(self._reader, False)
        self._incomplete = b""

    def read_lines(self):
        data = self._incomplete
        try:
            while chunk := os.read(self._reader, 1 << 16):
                data += chunk
        except BlockingIOError:
            pass
        complete, _, self._incomplete = data.rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]

    def close(self):
        os.close(self._reader)
        os.close(self.writer)


@pytest.fixture
def pipe():
    log_pipe = Pipe()
    yield log_pipe
    log_pipe.close()


def emit(handler, event, at=0.0, **extra):
    record = logbook.LogRecord("requests", logbook.INFO, event, extra=extra)
    record.heavy_init()
    record.time = NOW + timedelta(seconds=at)
    handler.emit(record)


def test_record_is_written_as_one_json_line(pipe):
    emit(
        JsonLineHandler(pipe.writer, 10), "ended", id="a\nb", tried=("i-1",), odd=object
    )
    [line] = pipe.read_lines()
    assert line["time"].startswith("2026-12-04T12:00:00.000")
    assert (line["level"], line["part"], line["event"]) == ("INFO", "requests", "ended")
    assert (line["id"], line["tried"]) == ("a\nb", ["i-1"])


def test_exception_is_logged_with_its_traceback(pipe):
    with JsonLineHandler(pipe.writer, 10).applicationbound():
        try:
            raise ValueError("test failure")
        except ValueError:
            logbook.Logger("daemon").exception("test event")
    [line] = pipe.read_lines()
    assert "ValueError: test failure" in line["trace"]


def test_lines_are_rate_limited_per_event_and_suppressed_lines_are_counted(pipe):
    handler = JsonLineHandler(pipe.writer, 3)
    for number in range(8):
        emit(handler, "granted", id=number)
    emit(handler, "ended", id=8)
    emit(handler, "granted", at=1.0, id=9)
    lines = pipe.read_lines()
    assert [line["id"] for line in lines] == [0, 1, 2, 8, 9]
    assert [line.get("left_out") for line in lines] == [None] * 4 + [5]


def test_lines_are_dropped_and_counted_if_nobody_reads_the_log(pipe):
    handler = JsonLineHandler(pipe.writer, 1_000_000)
    long_text = "x" * 1000
    count = 3 * MAX_QUEUED_BYTES // len(long_text)
    for number in range(count):
        emit(handler, "granted", id=number, text=long_text)
    lines = []
    while found := pipe.read_lines():
        lines += found
        handler.flush()
    emit(handler, "granted", id=count)
    lines += pipe.read_lines()
    numbers = [line["id"] for line in lines if "id" in line]
    [notice] = [line for line in lines if line["event"] == "log lines dropped"]
    assert numbers == sorted(numbers)
    assert (numbers[0], numbers[-1]) == (0, count)
    assert notice["count"] == count + 1 - len(numbers)


def test_write_to_a_closed_pipe_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler = JsonLineHandler(writer, 10)
    emit(handler, "granted", id=1)
    emit(handler, "granted", id=2)
    os.close(writer)
