"""Measurement of processor time and memory in this process, and line fitting."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

REPEATS = 3


@dataclass(frozen=True)
class Cost:
    """Hold the processor microseconds per call: median, minimum and maximum."""

    median: float
    low: float
    high: float


def time_calls(count: int, prepare: Callable[[], Callable[[int], object]]) -> Cost:
    """Time `count` calls of the function that `prepare` returns, `REPEATS` times."""
    samples = []
    for _ in range(REPEATS):
        call = prepare()
        gc.collect()
        started = time.process_time()
        for number in range(count):
            call(number)
        samples.append((time.process_time() - started) * 1e6 / count)
    return Cost(
        round(statistics.median(samples), 2),
        round(min(samples), 2),
        round(max(samples), 2),
    )


def measure_allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that Python allocates for the object that `build` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return size


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line; return its slope, intercept and largest absolute residual."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = max(abs(intercept + slope * x - y) for x, y in points)
    return slope, intercept, residual
