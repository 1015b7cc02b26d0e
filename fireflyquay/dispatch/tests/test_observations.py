"""What an estimate may learn from one run."""

import math

import pytest

from .._backend_load import BackendLoad
from .._machine_load import MachineLoads, MachineReading
from .._time_per_unit_estimator import TimePerUnitEstimator
from .builders import SERVICE, make_backend_entry, make_request

STEP_SECONDS = 0.004
SECONDS_PER_TOKEN = 1 / 68_000
LONG_PROMPT_TOKENS = 52_000
SHORT_PROMPT_TOKENS = 600


def make_load():
    machine = MachineLoads().track_machine(SERVICE)
    return BackendLoad(make_backend_entry("s1", slots=10), machine=machine)


def start_run(load, number, tokens, now):
    request = make_request(number, prompt_tokens=tokens, max_output_tokens=290)
    load.add_run(("vm", number), request, now)


def serve_short_prompts(load, count, now):
    """Let prompts arrive one after the other, alone on the server."""
    for number in range(1000, 1000 + count):
        start_run(load, number, SHORT_PROMPT_TOKENS, now)
        seconds = SHORT_PROMPT_TOKENS * SECONDS_PER_TOKEN + 2 * STEP_SECONDS
        load.record_first_output(("vm", number), now + seconds)
        load.record_end(("vm", number), now + seconds + 1.1, 58, 0.02, False)
        now += 2.0
    return now


def finish_prompts_together(load, count, now, tokens=LONG_PROMPT_TOKENS):
    """Let prompts that are prefilled in turns have their first output in one step."""
    for number in range(count):
        start_run(load, number, tokens, now)
    now += count * tokens * SECONDS_PER_TOKEN + 2 * STEP_SECONDS
    for number in range(count):
        load.record_first_output(("vm", number), now)
    return now


# Guards against streams that were answered 500 for good once two long prompts had had
# their first output at the same time: the second one counted as infinitely fast.
@pytest.mark.parametrize("count", [2, 3, 10])
def test_server_is_used_after_prompts_whose_first_outputs_coincide(count):
    load = make_load()
    now = serve_short_prompts(load, 20, 1.0)
    now = finish_prompts_together(load, count, now)
    start_run(load, 100, SHORT_PROMPT_TOKENS, now)
    assert load.record_first_output(("vm", 100), now + 0.02) is not None


# Guards against a forecast of no time at all after such prompts.
@pytest.mark.parametrize("count", [2, 3, 10])
def test_prompts_whose_first_outputs_coincide_keep_the_measured_speed(count):
    load = make_load()
    now = serve_short_prompts(load, 20, 1.0)
    for _ in range(3):
        now = finish_prompts_together(load, count, now)
        for number in range(count):
            load.record_end(("vm", number), now + 1.1, 58, 0.02, False)
        ratio = load.prefill.seconds_per_unit / SECONDS_PER_TOKEN
        assert 0.5 < ratio < 2.0
        now = serve_short_prompts(load, 5, now + 2.0)


def test_prompt_without_a_measurable_prefill_is_no_proof_of_a_fast_server():
    load = make_load()
    now = serve_short_prompts(load, 20, 1.0)
    for number in range(3):
        start_run(load, number, LONG_PROMPT_TOKENS, now)
        load.record_first_output(("vm", number), now)
        load.record_end(("vm", number), now, 58, 0.02, False)
    now = serve_short_prompts(load, 5, now)
    assert load.prefill.seconds_per_unit > SECONDS_PER_TOKEN / 4


@pytest.mark.parametrize("units", [1, 300, 3000, 1_000_000])
@pytest.mark.parametrize("seconds", [0.0, 1e-300, 1e300])
def test_one_observation_is_never_the_whole_estimate(units, seconds):
    estimator = TimePerUnitEstimator(0.005, 3000)
    for _ in range(30):
        estimator.record(0.01 * 300, 300)
    estimator.record(seconds, units)
    assert 0.01 / 4 <= estimator.seconds_per_unit <= 0.01 * 4.001


@pytest.mark.parametrize("seconds", [0.0, 1e300])
def test_estimate_stays_finite_however_often_an_observation_repeats(seconds):
    estimator = TimePerUnitEstimator(0.005, 3000)
    for _ in range(10_000):
        estimator.record(seconds, 4000)
    assert 0.0 < estimator.seconds_per_unit < math.inf


def test_estimate_follows_a_server_that_is_far_slower_than_assumed():
    estimator = TimePerUnitEstimator(0.05, 10)
    for _ in range(8):
        estimator.record(5.0, 1)
    assert estimator.seconds_per_unit > 2.5


def test_stream_whose_events_come_at_once_leaves_a_forecast_of_its_run():
    load = make_load()
    now = serve_short_prompts(load, 20, 1.0)
    start_run(load, 1, SHORT_PROMPT_TOKENS, now)
    before = load.decode.seconds_per_unit
    request = make_request(1, prompt_tokens=600, max_output_tokens=4000)
    load.add_run(("vm", 2), request, now)
    load.record_first_output(("vm", 2), now + 0.1)
    load.record_end(("vm", 2), now + 0.1, 800, 0.0, False)
    assert load.decode.seconds_per_unit >= before / 4


# Guards against one run that decides what readings are worth, after many that
# told nothing of it.
def test_runs_that_explain_nothing_leave_the_weight_of_earlier_ones():
    machine = MachineLoads().track_machine(SERVICE)
    machine.record_reading(MachineReading(1.0, 0.0), 1.0)
    for number in range(30_000):
        now = 10.0 + number
        machine.record_run(now - 0.05, now, 1.0)
    machine.record_reading(MachineReading(1.1, 0.0), 40_020.0)
    machine.record_run(40_020.0, 40_020.0, 0.0)
    machine.record_reading(MachineReading(2.0, 0.0), 40_021.0)
    assert machine.forecast_factor(40_021.0, 0.01) > 1.3
