"""Tests of what the fleet remembers of crashes after all VMs were killed."""

import pytest

from emulator import Emulation, run_virtual
from fireflyquay.dispatch import EvidenceRecord
from proofs import make_site
from proofs._fault_actions import replace_all_vms, send_poison

CRASH_LIMIT = 3
QUARANTINE_SECONDS = 30.0


def count_crashes(emulation):
    return sum(
        run.began_at is not None and not run.is_complete
        for run in emulation.history.runs
    )


def run(scenario):
    async def run_in_fleet():
        async with Emulation(make_site(vms=3), 1) as emulation:
            await scenario(emulation)

    run_virtual(run_in_fleet())


@pytest.mark.parametrize("kills", [1, 3])
def test_request_that_crashed_servers_is_refused_after_all_vms_were_killed(kills):
    async def scenario(emulation):
        await send_poison(emulation, 6, 1.5)
        assert count_crashes(emulation) == CRASH_LIMIT
        for _ in range(kills):
            await replace_all_vms(emulation, 0.5)
            await emulation.run(1.0)
        await send_poison(emulation, 6, 1.5)
        assert count_crashes(emulation) == CRASH_LIMIT

    run(scenario)


def test_crashes_below_the_limit_count_after_all_vms_were_killed():
    async def scenario(emulation):
        await send_poison(emulation, 2, 1.5)
        await replace_all_vms(emulation, 0.5)
        await emulation.run(1.0)
        await send_poison(emulation, 4, 1.5)
        assert count_crashes(emulation) == CRASH_LIMIT

    run(scenario)


def test_stored_evidence_expires():
    async def scenario(emulation):
        await send_poison(emulation, 4, 1.5)
        await replace_all_vms(emulation, 2 * QUARANTINE_SECONDS + 10.0)
        await emulation.run(1.0)
        await send_poison(emulation, 1, 1.5)
        assert count_crashes(emulation) == CRASH_LIMIT + 1

    run(scenario)


@pytest.mark.parametrize(
    "spec",
    [
        b"",
        b"[1",
        b'{"written_ms": 9e300, "news": ["CrashNews", [], [], []]}',
        b'{"written_ms": 1, "news": ["CrashNews", [["s", 0, -9, ["a"]]], [], []]}',
        b"[" * 100_000,
        b" " * 1_000_000 + b"{}",
    ],
)
def test_record_that_nobody_can_read_is_replaced(spec):
    async def scenario(emulation):
        emulation.store.records[EvidenceRecord] = spec, 1
        await replace_all_vms(emulation, 0.5)
        await emulation.run(2.0)
        assert all(gateway.is_ready() for gateway in emulation.gateways.values())
        await send_poison(emulation, 4, 1.5)
        await replace_all_vms(emulation, 0.5)
        await emulation.run(1.0)
        await send_poison(emulation, 4, 1.5)
        assert count_crashes(emulation) == CRASH_LIMIT

    run(scenario)


def test_evidence_is_stored_after_an_outage_of_the_store():
    async def scenario(emulation):
        emulation.stop_store(6.0)
        await send_poison(emulation, 4, 1.2)
        assert EvidenceRecord not in emulation.store.records
        await emulation.run(4.0)
        await replace_all_vms(emulation, 0.5)
        await emulation.run(1.0)
        await send_poison(emulation, 4, 1.5)
        assert count_crashes(emulation) == CRASH_LIMIT

    run(scenario)


def test_evidence_is_written_only_when_it_changes():
    async def scenario(emulation):
        writes = []

        class Records(dict):
            def __setitem__(self, kind, value):
                writes.append(kind)
                super().__setitem__(kind, value)

        emulation.store.records = Records(emulation.store.records)
        await send_poison(emulation, 3, 1.5)
        await emulation.run(20.0)
        # At most one for each crash, and one for a change of the coordinator.
        assert 1 <= writes.count(EvidenceRecord) <= CRASH_LIMIT + 1

    run(scenario)
