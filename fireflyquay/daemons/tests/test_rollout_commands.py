"""Tests of `rollout show|order|withdraw`, also with a failing store."""

import json
from dataclasses import replace

import pytest

from fireflyquay.daemons import (
    PlatformAccess,
    RolloutOrders,
    _rollout_orders,
    main,
)
from fireflyquay.dispatch import (
    PartId,
    ProgressPart,
    RolloutPhase,
    RolloutProgress,
    ServerEvidence,
)
from fireflyquay.gateway import StoredRecord
from fireflyquay.links import HttpFailure
from fireflyquay.world import Code, RolloutOrder, RolloutState

STORE_OPTIONS = ["--store", "127.0.0.1:1"]
ORDER = ["rollout", "order", "llm", "v2", "--duration", "45", *STORE_OPTIONS]
WITHDRAW = ["rollout", "withdraw", "llm", *STORE_OPTIONS]
SHOW = ["rollout", "show", *STORE_OPTIONS]
ODD_REVISION = 3


class FakeOrders(RolloutOrders):
    """Keep orders in memory; each call uses up one item of `faults`."""

    def __init__(self, *orders, faults=()):
        self.orders = {order.service: order for order in orders}
        # Per call: "ok", "request lost", "response lost", or a function to run before.
        self.faults = list(faults)
        self.progress = {}
        self.unreadable_names = {}
        self.revision = 10
        self.write_count = 0

    @property
    def unreadable(self):
        return self.unreadable_names

    async def list_rollouts(self):
        return self.call(lambda: tuple(self.orders.values()))

    async def read_rollout_progress(self, service):
        record = self.progress.get(service, RolloutProgress())
        return self.call(lambda: StoredRecord(record, 1, 0))

    async def read_order_revision(self, service):
        return self.call(lambda: self.get_revision(service))

    async def write_order(self, service, target, duration_seconds, revision):
        def apply():
            if self.get_revision(service) != revision:
                return False
            self.revision += 1
            self.write_count += 1
            self.unreadable_names.pop(service, None)
            old = self.orders.get(service) or RolloutOrder(service, "", 0, 0)
            self.orders[service] = replace(
                old,
                target=target,
                duration_seconds=duration_seconds,
                revision=self.revision,
            )
            return True

        return self.call(apply)

    async def remove_order(self, service, revision):
        def apply():
            if self.get_revision(service) != revision:
                return False
            self.orders.pop(service, None)
            self.unreadable_names.pop(service, None)
            return True

        return self.call(apply)

    def get_revision(self, service):
        if service in self.unreadable_names:
            return ODD_REVISION
        order = self.orders.get(service)
        return order.revision if order else 0

    def call(self, apply):
        fault = self.faults.pop(0) if self.faults else "ok"
        if callable(fault):
            fault()
        if fault == "request lost":
            raise HttpFailure(Code.BACKEND_TIMEOUT, "No data arrived.", True)
        result = apply()
        if fault == "response lost":
            raise HttpFailure(Code.BACKEND_TIMEOUT, "No data arrived.", True)
        return result


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(_rollout_orders, "RETRY_DELAY_SECONDS", 0.0)


def run(orders, *arguments):
    access = PlatformAccess(lambda client, host, port, timeout: orders, None, None)
    return main(arguments, access)


def make_order(target="v2", duration=45, state=None, stated_target=None):
    return RolloutOrder("llm", target, duration, 7, state, stated_target or target)


def test_order_is_written_once_and_repeated_safely(capsys):
    orders = FakeOrders()
    assert run(orders, *ORDER) == 0
    assert orders.orders["llm"].target == "v2"
    assert "is now ordered to move to version v2 within 45 s" in capsys.readouterr().out
    assert run(orders, *ORDER, "--json") == 0
    assert not json.loads(capsys.readouterr().out)["changed"]
    assert orders.write_count == 1


FAULTS = [
    ["request lost"],
    ["ok", "request lost"],
    ["ok", "ok", "request lost"],
    ["ok", "ok", "response lost"],
    ["ok", "ok", "response lost", "request lost"],
    ["ok", "ok", "ok", "response lost"],
]


@pytest.mark.parametrize("faults", FAULTS, ids=str)
def test_order_is_written_once_although_requests_or_responses_are_lost(faults, capsys):
    orders = FakeOrders(faults=faults)
    assert run(orders, *ORDER, "--json") == 0
    assert json.loads(capsys.readouterr().out)["changed"]
    assert (orders.orders["llm"].target, orders.write_count) == ("v2", 1)


def test_unconfirmed_order_ends_with_the_code_of_a_lost_store(capsys):
    orders = FakeOrders(faults=["ok", "ok", *["request lost"] * 20])
    assert run(orders, *ORDER) == 4
    assert "may have taken effect" in capsys.readouterr().err


@pytest.mark.parametrize("current", [make_order("v3"), make_order(duration=60)])
def test_another_order_in_force_is_replaced_only_if_asked_for(current, capsys):
    orders = FakeOrders(current)
    assert run(orders, *ORDER) == 3
    assert "nothing was changed" in capsys.readouterr().err
    assert orders.orders["llm"] == current
    assert run(orders, *ORDER, "--replace") == 0
    assert orders.orders["llm"].target == "v2"
    assert orders.orders["llm"].duration_seconds == 45


def test_order_that_is_over_is_replaced_by_one_for_another_version():
    orders = FakeOrders(make_order("v1", state=RolloutState.COMPLETED))
    assert run(orders, *ORDER) == 0
    assert orders.orders["llm"].target == "v2"


@pytest.mark.parametrize(
    "current",
    [
        make_order(state=RolloutState.ROLLED_BACK),
        make_order(duration=60, state=RolloutState.ROLLED_BACK),
        # The system has not yet written a state for the order of v3.
        make_order("v3", state=RolloutState.ROLLED_BACK, stated_target="v2"),
        make_order("v3", state=RolloutState.COMPLETED, stated_target="v2"),
    ],
)
def test_old_verdict_is_not_taken_for_one_on_a_new_order(current, capsys):
    orders = FakeOrders(current)
    assert run(orders, *ORDER, "--replace") == 3
    assert "Withdraw it first" in capsys.readouterr().err
    assert run(orders, *WITHDRAW) == 0
    assert run(orders, *ORDER) == 0
    assert orders.orders["llm"].state is None


def test_completed_order_is_not_repeated():
    orders = FakeOrders(make_order(duration=60, state=RolloutState.COMPLETED))
    assert run(orders, *ORDER) == 0
    assert orders.write_count == 0


def test_order_that_came_in_between_is_not_overwritten():
    orders = FakeOrders()
    other = make_order("v9")
    orders.faults = ["ok", "ok", lambda: orders.orders.update(llm=other)]
    assert run(orders, *ORDER) == 3
    assert orders.orders["llm"] == other


def test_odd_order_is_replaced_only_if_asked_for_and_can_be_withdrawn(capsys):
    orders = FakeOrders()
    orders.unreadable_names = {"llm": "no target"}
    assert run(orders, *ORDER) == 3
    assert "odd order" in capsys.readouterr().err
    assert run(orders, *SHOW) == 0
    assert "The order 'llm' is ignored: no target." in capsys.readouterr().err
    assert run(orders, *WITHDRAW) == 0
    assert not orders.unreadable_names
    orders.unreadable_names = {"llm": "no target"}
    assert run(orders, *ORDER, "--replace") == 0
    assert orders.orders["llm"].target == "v2"


@pytest.mark.parametrize(
    "faults",
    [["request lost"], ["ok", "request lost"], ["ok", "response lost"]],
    ids=str,
)
def test_withdrawal_is_repeated_until_it_is_confirmed(faults):
    orders = FakeOrders(make_order(), faults=faults)
    assert run(orders, *WITHDRAW) == 0
    assert not orders.orders


def test_withdrawal_of_no_order_fails(capsys):
    assert run(FakeOrders(), *WITHDRAW) == 1
    assert "has no order" in capsys.readouterr().err


def make_progress(target="v2"):
    def evidence(backend, failures):
        return ServerEvidence(target, "/ask", backend, 100, failures, 2)

    old = ServerEvidence("v1", "/ask", "s1", 400, 1)
    parts = {
        PartId("a"): ProgressPart(900, 90, (evidence("s8", 30), old)),
        PartId("b"): ProgressPart(100, 10, (evidence("s8", 20), evidence("s9", 1))),
    }
    reason = "failures on /ask"
    return RolloutProgress(target, RolloutPhase.ROLLED_BACK, 5, parts, reason)


def test_state_and_evidence_are_shown(capsys):
    orders = FakeOrders(make_order(state=RolloutState.ROLLED_BACK))
    orders.progress["llm"] = make_progress()
    assert run(orders, "rollout", "show", "llm", *STORE_OPTIONS) == 0
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert lines[1][:5] == ["llm", "v2", "ROLLED_BACK", "ROLLED_BACK", "45"]
    assert lines[1][6:] == ["1000", "100", "failures", "on", "/ask"]
    assert lines[4:] == [
        ["v1", "/ask", "all", "400", "1", "0"],
        ["v1", "/ask", "s1", "400", "1", "0"],
        ["v2", "/ask", "all", "300", "51", "6"],
        ["v2", "/ask", "s8", "200", "50", "4"],
        ["v2", "/ask", "s9", "100", "1", "2"],
    ]
    assert run(orders, *SHOW, "--json") == 0
    (view,) = json.loads(capsys.readouterr().out)
    assert (view["requests_seen"], view["requests_reserved"]) == (1000, 100)
    assert len(view["evidence"]) == 5


def test_state_and_evidence_of_an_earlier_target_are_not_shown(capsys):
    current = make_order("v3", state=RolloutState.ROLLED_BACK, stated_target="v2")
    orders = FakeOrders(current)
    orders.progress["llm"] = make_progress()
    assert run(orders, *SHOW, "--json") == 0
    (view,) = json.loads(capsys.readouterr().out)
    assert (view["state"], view["phase"], view["evidence"]) == ("", "", [])


def test_lost_store_is_told_with_its_cause(capsys):
    orders = FakeOrders(faults=["request lost"] * 20)
    assert run(orders, *SHOW) == 4
    assert "No data arrived." in capsys.readouterr().err
    assert run(FakeOrders(), "rollout", "show", "llm", *STORE_OPTIONS) == 1


@pytest.mark.parametrize("seconds", ["0", "-1", "nan", "inf", "1e300", "x"])
def test_invalid_duration_is_refused(seconds):
    command = ["rollout", "order", "llm", "v2", f"--duration={seconds}"]
    assert run(FakeOrders(), *command, *STORE_OPTIONS) == 2


def test_command_without_access_to_orders_says_where_to_run_it(capsys):
    assert main(SHOW) == 2
    assert "on the platform only" in capsys.readouterr().err
