"""Tests of the reads and writes of roll-outs, in virtual time."""

import asyncio
from dataclasses import replace

import logbook
import pytest

from emulator import run_virtual
from fireflyquay.dispatch import (
    RolloutBounds,
    RolloutPhase,
    RolloutProgress,
    Rollouts,
    RunEnded,
)
from fireflyquay.dispatch.tests.builders import (
    OTHER_VM,
    OWN_VM,
    SERVICE,
    make_backend_entry,
    make_request,
)
from fireflyquay.gateway import LoopClock, StoredRecord
from fireflyquay.gateway._call import Outcome
from fireflyquay.gateway._dialect import FleetSource
from fireflyquay.gateway._forwarder import _classify
from fireflyquay.gateway._rollout_keeper import RolloutKeeper
from fireflyquay.gateway._slot_client import RunResult
from fireflyquay.links import HttpFailure
from fireflyquay.world import Code, RolloutOrder, RolloutState, SoftwareVersion

OLD = replace(make_backend_entry("old"), version=SoftwareVersion("v1"))
NEW = replace(make_backend_entry("new"), version=SoftwareVersion("v2"))
BOUNDS = RolloutBounds(0.1, 50, 5.0)
ANSWER_SECONDS = 0.005


class Source(FleetSource):
    """Hold one order and its progress; fail on demand."""

    def __init__(self):
        self.order = None
        self.progress = StoredRecord(RolloutProgress(), 0, 0)
        self.revision = 1
        self.error = None
        self.reads = 0
        self.states = []
        self.phases = []
        # Called once before the next write of the progress.
        self.interfere = None

    async def read_config(self):
        raise NotImplementedError

    async def list_backends(self):
        raise NotImplementedError

    async def register_vm(self, listing):
        raise NotImplementedError

    async def list_vms(self):
        raise NotImplementedError

    async def remove_vm(self, registration):
        raise NotImplementedError

    def keeps_rollouts(self):
        return True

    def place_order(self, target="v2", seconds=20.0):
        self.revision += 1
        self.order = RolloutOrder(
            SERVICE, SoftwareVersion(target), seconds, self.revision
        )

    async def call(self):
        await asyncio.sleep(ANSWER_SECONDS)
        if self.error is not None:
            raise self.error

    async def list_rollouts(self):
        self.reads += 1
        await self.call()
        return () if self.order is None else (self.order,)

    async def write_rollout_status(self, order, state):
        await self.call()
        if self.order is None or self.order.revision != order.revision:
            return None
        self.revision += 1
        self.states.append(state)
        self.order = replace(
            order, revision=self.revision, state=state, stated_target=order.target
        )
        return self.order

    async def read_rollout_progress(self, service):
        await self.call()
        return self.progress

    async def write_rollout_progress(self, service, progress, revision):
        await self.call()
        if self.interfere is not None:
            interfere, self.interfere = self.interfere, None
            interfere()
        if revision != self.progress.revision:
            return None
        self.revision += 1
        self.progress = StoredRecord(progress, self.revision, 0)
        self.phases.append(progress.phase)
        return self.progress


def start(source, own=OWN_VM, coordinates=True, bounds=BOUNDS):
    """Start a keeper; return its roll-outs and its task."""
    rollouts = Rollouts(own, bounds)
    rollouts.set_backends([OLD])
    keeper = RolloutKeeper(
        source, rollouts, lambda service, now: {}, LoopClock(), lambda: coordinates
    )
    return rollouts, asyncio.create_task(keeper.keep())


def run_requests(rollouts, count, first=0):
    """Let sound responses of the old version begin and end."""
    now = asyncio.get_running_loop().time()
    for number in range(first, first + count):
        rollouts.record_grant(OLD, make_request(number, route="r"), 0, now)
        rollouts.record_first_output((OWN_VM, number), now)
        ended = RunEnded(number, OLD.id, 1, 0.0, False, True)
        rollouts.record_end((OWN_VM, number), ended, now)


def test_without_the_settings_nothing_is_read():
    async def run():
        source = Source()
        rollouts, task = start(source, bounds=None)
        await asyncio.wait_for(task, 1.0)
        assert source.reads == 0
        assert rollouts.may_grant(NEW, 0.0)

    run_virtual(run())


def test_order_is_followed_from_its_first_read_to_its_verdict():
    async def run():
        source = Source()
        rollouts, _ = start(source)
        await asyncio.sleep(1.0)
        source.place_order()
        rollouts.set_backends([OLD, NEW])
        await asyncio.sleep(1.0)
        assert source.states == [RolloutState.ACTIVE]
        assert not rollouts.may_grant(NEW, asyncio.get_running_loop().time())
        run_requests(rollouts, 20)
        await asyncio.sleep(1.0)
        assert source.progress.record.reserved > 0
        assert source.progress.record.seen == 20
        assert rollouts.may_grant(NEW, asyncio.get_running_loop().time())
        # Nothing reaches the target, so no evidence proves it good.
        await asyncio.sleep(18.0)
        assert source.states == [RolloutState.ACTIVE, RolloutState.ROLLED_BACK]
        assert source.phases[-1] is RolloutPhase.ROLLED_BACK

    run_virtual(run())


def test_other_vms_read_the_orders_only_for_a_version_that_is_new_to_them():
    async def run():
        source = Source()
        rollouts, _ = start(source, coordinates=False)
        await asyncio.sleep(1.0)
        source.reads = 0
        await asyncio.sleep(10.0)
        assert source.reads == 0
        source.place_order()
        rollouts.set_backends([OLD, NEW])
        await asyncio.sleep(1.0)
        assert source.reads == 1
        now = asyncio.get_running_loop().time()
        assert not rollouts.may_grant(NEW, now)
        assert rollouts.may_grant(OLD, now)
        assert not source.states and not source.phases

    run_virtual(run())


def test_new_version_is_held_back_while_the_store_is_down():
    async def run():
        source = Source()
        rollouts, _ = start(source)
        await asyncio.sleep(1.0)
        source.error = HttpFailure(Code.STORE_UNAVAILABLE, "down", True)
        source.place_order()
        rollouts.set_backends([OLD, NEW])
        for _ in range(50):
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            assert not rollouts.may_grant(NEW, now)
            assert rollouts.may_grant(OLD, now)
        source.error = None
        await asyncio.sleep(1.5)
        assert source.states == [RolloutState.ACTIVE]

    with logbook.TestHandler() as handler:
        run_virtual(run())
    # One line, however many calls failed.
    messages = [it.message for it in handler.records]
    assert messages.count("roll-outs not followed") == 1


def test_unexpected_error_does_not_end_the_reads():
    async def run():
        source = Source()
        rollouts, task = start(source)
        source.error = ValueError("a bug")
        await asyncio.sleep(1.0)
        source.error = None
        rollouts.set_backends([OLD, NEW])
        await asyncio.sleep(1.0)
        assert not task.done()
        assert rollouts.may_grant(NEW, asyncio.get_running_loop().time())

    run_virtual(run())


def test_two_coordinators_reserve_from_one_sum_and_write_one_verdict():
    async def run():
        source = Source()
        source.place_order()
        fleet = [start(source, own)[0] for own in (OWN_VM, OTHER_VM)]
        for rollouts in fleet:
            rollouts.set_backends([OLD, NEW])
        for first in range(0, 600, 30):
            await asyncio.sleep(1.0)
            for rollouts in fleet:
                run_requests(rollouts, 30, first)
            record = source.progress.record
            bound = BOUNDS.exposure_share * record.seen + BOUNDS.exposure_slack
            assert record.reserved <= bound
        assert len(source.progress.record.parts) == 2
        finals = [it for it in source.states if it is not RolloutState.ACTIVE]
        assert finals == [RolloutState.ROLLED_BACK]

    run_virtual(run())


def test_write_that_another_vm_preceded_is_planned_anew():
    async def run():
        source = Source()
        rollouts, _ = start(source)
        source.place_order()
        rollouts.set_backends([OLD, NEW])

        def interfere():
            source.revision += 1
            other = RolloutProgress(SoftwareVersion("v2"), RolloutPhase.ROLLED_BACK)
            source.progress = StoredRecord(other, source.revision, 0)

        source.interfere = interfere
        await asyncio.sleep(2.0)
        # The verdict of the other VM stands, and its state is written.
        assert source.states == [RolloutState.ROLLED_BACK]
        assert not rollouts.may_grant(NEW, asyncio.get_running_loop().time())

    run_virtual(run())


@pytest.mark.parametrize(
    ("outcome", "status", "result"),
    [
        (Outcome.DELIVERED, 200, RunResult.SOUND),
        (Outcome.DELIVERED, 500, RunResult.FAULTY),
        (Outcome.DELIVERED, 404, RunResult.FAULTY),
        (Outcome.FAILED, 500, RunResult.FAULTY),
        (Outcome.CUT, 200, RunResult.FAULTY),
        (Outcome.LOST, 0, RunResult.FAULTY),
        (Outcome.NOT_RUN, 503, RunResult.NOT_RUN),
        (Outcome.NOT_SENT, 0, RunResult.NOT_RUN),
        (Outcome.UNSENDABLE, 0, RunResult.NOT_RUN),
    ],
)
def test_outcome_tells_whether_the_server_itself_failed(outcome, status, result):
    assert _classify(outcome, status) is result
