"""What an error that no code expects may end."""

import logbook
import pytest
from prometheus_client import generate_latest

from emulator import Emulation, run_virtual
from emulator._emulation import UnexpectedErrorsFoundError
from fireflyquay.dispatch import RunDurations, SlotScheduler
from fireflyquay.dispatch._backend_load import BackendLoad
from fireflyquay.dispatch._placement import Placement
from fireflyquay.dispatch._rank_statistics import RankStatistics
from fireflyquay.dispatch._refusal_policy import RefusalPolicy
from fireflyquay.dispatch._stream_origins import StreamOrigins
from fireflyquay.gateway._gateway_metrics import GatewayMetrics
from fireflyquay.gateway._quarantine import Quarantine
from fireflyquay.gateway._slot_client import SlotClient
from fireflyquay.unexpected_errors import UnexpectedErrors
from proofs import make_site

BOOKKEEPING = (
    (BackendLoad, "record_first_output"),
    (BackendLoad, "record_end"),
    (RankStatistics, "record_first_output"),
    (GatewayMetrics, "record_attempt"),
    (GatewayMetrics, "record_end"),
    (GatewayMetrics, "record_first_output"),
    (GatewayMetrics, "record_on_time"),
    (GatewayMetrics, "record_wait"),
    (GatewayMetrics, "record_wasted_prefill"),
    (Quarantine, "record_sound"),
    (RunDurations, "record"),
    (SlotClient, "_copy_origin"),
)


def fail(*arguments, **options):
    raise ZeroDivisionError("division by zero")


def play(seconds=4.0, load=1.0, vms=3, prepare=lambda emulation: None):
    """Play some traffic; return the history and the fleet's log."""

    async def scenario():
        async with Emulation(make_site(vms=vms, load=load), seed=1) as emulation:
            emulation.fails_on_errors = False
            prepare(emulation)
            emulation.start_traffic(seconds)
            await emulation.run(seconds + 10.0)
        return emulation.history

    log = logbook.TestHandler()
    with log.applicationbound():
        return run_virtual(scenario()), log.records


# Guards against answers that were ready and reached no client, because what they tell
# of a backend server could not be recorded.
@pytest.mark.parametrize(
    "owner, name", BOOKKEEPING, ids=lambda it: getattr(it, "__name__", it)
)
def test_answer_is_delivered_though_its_record_fails(monkeypatch, owner, name):
    monkeypatch.setattr(owner, name, fail)
    history, log = play()
    assert len(history.requests) > 50
    assert all(it.is_complete for it in history.attempts if it.status == 200)
    share = sum(it.is_served for it in history.requests) / len(history.requests)
    assert share > 0.9
    if history.unexpected_errors:
        messages = [it.message for it in log]
        assert 0 < messages.count("unexpected error") <= 10
    else:
        assert name in ("record_wasted_prefill", "_copy_origin")


def make_failing(method, is_affected):
    """Return a method that fails on some requests."""

    def call(self, request, *arguments, **options):
        if is_affected(request):
            raise ZeroDivisionError("division by zero")
        return method(self, request, *arguments, **options)

    return call


def find_outcomes(history, kind):
    attempts = [it.attempts[-1] for it in history.requests if it.kind == kind]
    return {it.status for it in attempts}


# Guards against a coordinator that failed on one VM's message and so ended the
# connection that had brought it, with the messages of other requests behind it.
def test_request_on_which_the_coordinator_fails_costs_no_other(monkeypatch):
    failing = make_failing(SlotScheduler.submit, lambda it: it.route == "label")
    monkeypatch.setattr(SlotScheduler, "submit", failing)
    history, log = play()
    assert find_outcomes(history, "label") == {503}
    others = [it for it in history.requests if it.kind != "label"]
    assert sum(it.is_served for it in others) > 0.95 * len(others)
    messages = [it.message for it in log]
    assert "VM silent" not in messages


def test_request_that_can_not_be_placed_holds_up_no_other(monkeypatch):
    def choose(self, loads, item, now):
        if item.request.route == "label":
            raise ZeroDivisionError("division by zero")
        return place(self, loads, item, now)

    place = Placement.choose
    monkeypatch.setattr(Placement, "choose", choose)
    history, _ = play()
    assert find_outcomes(history, "label") == {503}
    others = [it for it in history.requests if it.kind != "label"]
    assert sum(it.is_served for it in others) > 0.95 * len(others)


@pytest.mark.parametrize("name", ["find_cause", "refuse"])
def test_request_is_refused_though_no_forecast_can_be_made(monkeypatch, name):
    monkeypatch.setattr(RefusalPolicy, name, fail)
    history, _ = play(load=4.0)
    statuses = {it.status for it in history.attempts}
    assert 500 not in statuses
    refused = [it for it in history.attempts if it.status == 503]
    assert refused
    assert history.unexpected_errors


def test_messages_behind_one_that_fails_are_handled():
    handled = []

    def prepare(emulation):
        fleet = next(iter(emulation.gateways.values())).fleet
        fleet._dispatch = fail
        fleet._handle_message("vm0002", object())
        fleet._dispatch = lambda sender, message, now: handled.append(message)
        fleet._handle_message("vm0002", "next")
        del fleet._dispatch

    history, _ = play(seconds=0.1, prepare=prepare)
    assert handled == ["next"]
    assert len(history.unexpected_errors) == 1


def test_origin_of_a_stream_is_known_though_the_speed_is_not(monkeypatch):
    begun = []
    monkeypatch.setattr(
        StreamOrigins, "record_begin", lambda self, stream, now: begun.append(stream)
    )
    monkeypatch.setattr(BackendLoad, "record_first_output", fail)
    play()
    assert any(begun)


def test_emulation_fails_on_an_unexpected_error(monkeypatch):
    async def scenario():
        async with Emulation(make_site(vms=1), seed=1) as emulation:
            emulation.start_traffic(1.0)
            await emulation.run(2.0)

    run_virtual(scenario())
    monkeypatch.setattr(BackendLoad, "record_end", fail)
    with pytest.raises(UnexpectedErrorsFoundError, match="RunEnded|speed after a run"):
        run_virtual(scenario())


def test_each_cause_is_logged_once_and_every_error_counted():
    errors, log = UnexpectedErrors(), logbook.TestHandler()
    works = []
    errors.on_error = works.append
    with log.applicationbound():
        for _ in range(5):
            with errors.contain("speed", backend="s1"):
                fail()
        with errors.contain("speed"):
            raise ValueError("another")
    assert (errors.count, len(works)) == (6, 6)
    first, second = log.records
    assert first.extra["backend"] == "s1"
    assert "ZeroDivisionError" in first.formatted_exception
    assert second.extra["cause"] == "ValueError('another')"


def test_metrics_count_unexpected_errors_by_the_work_that_they_ended():
    metrics = GatewayMetrics()
    metrics.record_unexpected_error("speed")
    text = generate_latest(metrics.registry).decode()
    name = "fireflyquay_gateway_unexpected_errors_total"
    assert f'{name}{{work="speed"}} 1.0' in text
