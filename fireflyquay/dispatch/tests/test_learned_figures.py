"""Draws what backend servers may do, and checks all that is learned from it."""

import math

from hypothesis import given, settings, strategies as st

from fireflyquay.dispatch import (
    ActiveRun,
    ActiveRunsReport,
    BackendPause,
    Cancellation,
    FirstOutput,
    Grant,
    MachineReading,
    RunEnded,
)
from fireflyquay.unexpected_errors import UnexpectedErrors

from .builders import (
    OTHER_VM,
    make_backend_entry,
    make_coordinator,
    make_request,
)

SECONDS_PER_TOKEN = 1 / 68_000
STEP_SECONDS = 0.004
SLOTS = 10
# At and beyond the decay constants of all estimates.
PROMPT_TOKENS = st.sampled_from(
    (0, 1, 600, 25_000, 49_999, 50_000, 52_000, 54_600, 500_000)
)
OUTPUT_TOKENS = st.sampled_from((0, 1, 290, 2_999, 3_000, 4_000, 500_000))
# Most events of a step coincide.
PAUSES = st.sampled_from((0.0, 0.0, 0.0, 1e-9, 0.004, 0.5, 30.0, 1e5))
READINGS = st.none() | st.builds(
    MachineReading,
    st.sampled_from((0.01, 0.5, 1.0, 100.0)),
    st.sampled_from((0.0, 0.05, 1.0, 1e6)),
)
NUMBERS = st.integers(0, 1_000)
STEPS = st.one_of(
    st.tuples(st.just("submit"), PROMPT_TOKENS, OUTPUT_TOKENS),
    st.tuples(st.just("first output"), NUMBERS, READINGS),
    st.tuples(st.just("end"), NUMBERS, READINGS, st.booleans()),
    st.tuples(st.just("reject"), NUMBERS),
    st.tuples(st.just("cancel"), NUMBERS),
    st.tuples(st.just("report")),
    st.tuples(st.just("restart")),
    st.tuples(st.just("advance")),
)


class RaisedErrors(UnexpectedErrors):
    """Raise each error instead of recording it."""

    def record(self, work, error, **details):
        raise error


class Course:
    """Apply drawn steps to a coordinator with one backend server."""

    def __init__(self):
        self.coordinator = make_coordinator()
        self.scheduler = self.coordinator._scheduler
        self.scheduler.errors = RaisedErrors()
        self.now, self.number, self.born_ms = 1.0, 0, 1
        # All requests, and those that run, by number.
        self.requests, self.running = {}, {}
        self.restart()

    def restart(self):
        self.born_ms += 1
        entry = make_backend_entry("s1", SLOTS, born_ms=self.born_ms)
        self.coordinator.set_backends([entry])

    def send(self, message, owner=OTHER_VM):
        self.follow(self.coordinator.handle_message(owner, message, self.now))

    def follow(self, decisions):
        for decision in decisions:
            if isinstance(decision, Grant):
                self.running[decision.number] = self.requests[decision.number]

    def submit(self, prompt_tokens, output_tokens, **options):
        self.number += 1
        request = make_request(
            self.number,
            OTHER_VM,
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            **options,
        )
        self.requests[self.number] = request
        self.send(request)
        return self.number

    def choose(self, number):
        """Return a running request; several calls may return the same one."""
        return list(self.running)[number % len(self.running)]

    def apply(self, name, *arguments):
        if name == "submit":
            self.submit(*arguments)
        elif name == "restart":
            self.restart()
        elif name == "advance":
            self.follow(self.coordinator.advance(self.now))
        elif name == "report":
            runs = tuple(ActiveRun(it, "s1", 0.5) for it in self.running.values())
            self.send(ActiveRunsReport(runs))
        elif self.running:
            self.apply_to_run(name, self.choose(arguments[0]), *arguments[1:])

    def apply_to_run(self, name, number, reading=None, failed=False):
        if name == "first output":
            self.send(FirstOutput(number, "s1", None, reading))
            return
        del self.running[number]
        if name == "end":
            ended = RunEnded(number, "s1", 60, 0.02, failed, reading=reading)
            self.send(ended)
        elif name == "reject":
            self.send(BackendPause("s1", 0.1, False, rejected=number))
        else:
            self.send(Cancellation(number))

    def check(self):
        [load] = self.scheduler._list_loads()
        for tokens in (0, 1, 600, 54_600):
            request = make_request(0, prompt_tokens=tokens, max_output_tokens=290)
            forecasts = (
                load.forecast_first_output(request, self.now),
                load.forecast_run(request, self.now),
                load.forecast_run(request),
            )
            assert all(0.0 < it < math.inf for it in forecasts), forecasts
            assert 0.0 < load.count_usable_slots(request, 1.0, 1.0) <= SLOTS
        assert 0.0 <= load.prefill_ends_at < math.inf
        assert load.held_tokens >= 0

    def serve_prompts(self, count):
        """Serve prompts one after the other, as a sound engine does."""
        for number in list(self.running):
            self.apply_to_run("cancel", number)
        self.now += 40.0
        self.follow(self.coordinator.advance(self.now))
        for number in list(self.running):
            self.apply_to_run("cancel", number)
        for _ in range(count):
            number = self.submit(25_000, 3_000, seconds_to_objective=1e4)
            assert number in self.running
            self.now += 25_000 * SECONDS_PER_TOKEN + 2 * STEP_SECONDS
            self.apply_to_run("first output", number)
            self.now += 3_000 * STEP_SECONDS
            self.apply_to_run("end", number)
            self.now += 2.0


@settings(max_examples=300)
@given(st.lists(st.tuples(PAUSES, STEPS), max_size=60))
def test_forecasts_stay_finite_and_recover_whatever_backend_servers_do(steps):
    course = Course()
    for pause, (name, *arguments) in steps:
        course.now += pause
        course.apply(name, *arguments)
        course.check()
    course.serve_prompts(30)
    [load] = course.scheduler._list_loads()
    assert 0.5 < load.prefill.seconds_per_unit / SECONDS_PER_TOKEN < 2.0
    assert 0.5 < load.decode.seconds_per_unit / STEP_SECONDS < 2.0
