"""Tests of the durations of recent runs."""

from hypothesis import given, strategies as st

from fireflyquay.dispatch import RunDurations
from fireflyquay.dispatch._run_durations import COMPARED_RUNS, MAX_RUNS

ROUTE = "ask"


def test_nothing_is_forecast_for_a_route_without_runs():
    durations = RunDurations()
    durations.record("other", 0, 0, 1.0)
    assert durations.forecast(ROUTE, 0, 0) is None


def test_long_run_of_a_large_request_does_not_count_for_small_ones():
    durations = RunDurations()
    for _ in range(COMPARED_RUNS):
        durations.record(ROUTE, 100, 20, 0.5)
        durations.record(ROUTE, 4000, 2000, 30.0)
    assert durations.forecast(ROUTE, 120, 25) == 0.5
    assert durations.forecast(ROUTE, 3000, 1500) == 30.0


def test_runs_of_long_ago_are_forgotten():
    durations = RunDurations()
    durations.record(ROUTE, 0, 0, 9.0)
    for _ in range(MAX_RUNS):
        durations.record(ROUTE, 0, 0, 0.1)
    assert durations.forecast(ROUTE, 0, 0) == 0.1


@given(st.lists(st.floats(0.0, 60.0), min_size=1, max_size=COMPARED_RUNS))
def test_forecast_is_no_shorter_than_the_longest_of_few_equal_runs(seconds):
    durations = RunDurations()
    for it in seconds:
        durations.record(ROUTE, 0, 0, it)
    forecast = durations.forecast(ROUTE, 0, 0)
    assert max(seconds) <= forecast <= 1.5 * max(seconds)
    if len(set(seconds)) == 1:
        assert forecast == max(seconds)
