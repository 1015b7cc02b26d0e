"""Tests of the replicas of one VM during and after outages of the store."""

import asyncio
from dataclasses import dataclass, field, replace

import logbook
import msgspec
import pytest

from emulator import run_virtual
from fireflyquay.dispatch import REREGISTRATION_SECONDS, Freshness
from fireflyquay.dispatch.tests.builders import make_backend_entry, make_config
from fireflyquay.gateway import BackendsSnapshot, ConfigSnapshot, StoredRecord
from fireflyquay.gateway._clock import LoopClock
from fireflyquay.gateway._state_replicas import StateReplicas
from fireflyquay.links import HttpFailure
from fireflyquay.links._json_log import MAX_QUEUED_BYTES
from fireflyquay.world import Code, SoftwareVersion

ANSWER_SECONDS, TIMEOUT_SECONDS = 0.004, 1.0
DOWN_AT = 4.0
# Time without disruption after which the store's acknowledgements bind, and time
# after which a backend server that has left gets no requests.
STABLE_SECONDS, DRAIN_SECONDS = 3.0, 2.0


@dataclass
class Source:
    """List backend servers, except while the store is down."""

    up_at: float
    # Time at which each entry is listed again, or removed.
    back_at: dict[str, float] = field(default_factory=dict)
    removed_at: dict[str, float] = field(default_factory=dict)
    restored_revision: int = 0

    def keeps_record(self, kind):
        return False

    async def list_backends(self):
        loop = asyncio.get_running_loop()
        if DOWN_AT <= loop.time() < self.up_at:
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise HttpFailure(Code.BACKEND_TIMEOUT, "no answer", True)
        await asyncio.sleep(ANSWER_SECONDS)
        now = loop.time()
        names = {"sound", *self.back_at, *self.removed_at}
        if now >= DOWN_AT:
            names -= {name for name, at in self.back_at.items() if now < at}
        names -= {name for name, at in self.removed_at.items() if now >= at}
        entries = tuple(make_backend_entry(name) for name in sorted(names))
        base = self.restored_revision
        return BackendsSnapshot(entries, base + 9, (), base)


def record_known(source, until):
    """Return the last time at which each name was known, and all gaps."""
    last_known, gaps = {}, {}

    async def run():
        loop = asyncio.get_running_loop()
        replicas = StateReplicas(source, LoopClock(), 0.5, lambda: True)
        poll = asyncio.create_task(replicas.poll_backends())
        await asyncio.sleep(1.0)
        while loop.time() < until:
            for name in ("sound", *source.back_at, *source.removed_at):
                if replicas.backends.accepts_requests(name):
                    last_known[name] = loop.time()
                else:
                    gaps.setdefault(name, loop.time())
            await asyncio.sleep(0.01)
        poll.cancel()

    run_virtual(run())
    return last_known, gaps


LENGTHS = [2.6, 2.95, 3.2, 3.45, 3.71, 3.9, 4.2, 4.5, 5.1, 6.3, 7.77, 9.0]


@pytest.mark.parametrize("seconds", LENGTHS)
def test_backend_removed_after_an_outage_gets_no_requests_after_the_drain_time(seconds):
    up_at = DOWN_AT + seconds
    removed_at = up_at + STABLE_SECONDS
    source = Source(up_at, {}, {"gone": removed_at, "later": removed_at + 0.3})
    last_known, _ = record_known(source, removed_at + 6.0)
    assert last_known["gone"] < removed_at + DRAIN_SECONDS
    assert last_known["later"] < removed_at + 0.3 + DRAIN_SECONDS
    assert last_known["sound"] > removed_at + 5.0


@pytest.mark.parametrize("seconds", LENGTHS)
def test_backend_that_registers_again_after_an_outage_is_never_given_up(seconds):
    up_at = DOWN_AT + seconds
    back_at = {f"s{n}": up_at + n / 10 for n in range(int(REREGISTRATION_SECONDS * 10))}
    source = Source(up_at, {**back_at, "lost": up_at + 60.0})
    last_known, gaps = record_known(source, up_at + 6.0)
    assert gaps.keys() == {"lost"}
    assert last_known["lost"] < up_at + STABLE_SECONDS + DRAIN_SECONDS


def test_restore_that_other_vms_have_followed_retains_no_backend_server():
    restored_revision = 1 << 40

    async def run():
        source = Source(DOWN_AT, {}, {"gone": 5.0})
        replicas = StateReplicas(source, LoopClock(), 0.5, lambda: False)
        await replicas._read_backends()
        await asyncio.sleep(5.0)
        entries = [make_backend_entry(name) for name in ("gone", "sound")]
        freshness = Freshness(restored_revision + 9, 4.9)
        replicas.backends.replace_all(entries, freshness)
        source.restored_revision = restored_revision
        await replicas._read_backends()
        assert replicas.backends.get("gone") is None

    run_virtual(run())


class VanishingConfig:
    """Hold a configuration until it is removed."""

    def __init__(self):
        self.config = make_config(7)

    async def read_config(self):
        return ConfigSnapshot(self.config, 9)


def test_removed_configuration_is_logged_and_keeps_the_one_in_force():
    source = VanishingConfig()
    replicas = StateReplicas(source, LoopClock(), 0.5, lambda: True)
    log = logbook.TestHandler()

    async def run():
        poll = asyncio.create_task(replicas.poll_config())
        await asyncio.sleep(1.0)
        source.config = None
        await asyncio.sleep(3.0)
        poll.cancel()
        return replicas.compute_config_age()

    with log.applicationbound():
        age = run_virtual(run())
    assert replicas.config.version == 7
    assert age > 2.0
    lost = [it for it in log.records if it.message == "store lost"]
    assert "no configuration" in lost[0].extra["cause"]


def test_many_unreadable_registrations_do_not_make_a_log_line_too_long():
    names = tuple("x" * 256 for _ in range(5000))

    class UnreadableSource:
        def keeps_record(self, kind):
            return False

        async def list_backends(self):
            return BackendsSnapshot((), 9, names)

    replicas = StateReplicas(UnreadableSource(), LoopClock(), 0.5, lambda: False)
    log = logbook.TestHandler()
    with log.applicationbound():
        run_virtual(replicas._read_backends())
    (record,) = [it for it in log.records if it.message == "registrations unreadable"]
    assert record.extra["count"] == 5000
    assert len(msgspec.json.encode(record.extra)) < MAX_QUEUED_BYTES // 4


class SlowRecordSource(Source):
    """List a worker of a new version, whose record can't be written in time."""

    joined_at = 2.0

    def keeps_record(self, kind):
        return True

    async def list_backends(self):
        snapshot = await super().list_backends()
        if asyncio.get_running_loop().time() < self.joined_at:
            return snapshot
        new = replace(make_backend_entry("new"), version=SoftwareVersion("v2"))
        return replace(snapshot, entries=(*snapshot.entries, new))

    async def read_record(self, kind):
        return StoredRecord(kind(), 0, 0)

    async def write_record(self, record, revision):
        if asyncio.get_running_loop().time() < self.joined_at:
            return StoredRecord(record, revision + 1, 0)
        await asyncio.sleep(TIMEOUT_SECONDS)
        raise HttpFailure(Code.BACKEND_TIMEOUT, "no answer", True)


def test_backend_that_is_gone_does_not_wait_until_a_joining_version_is_recorded():
    source = SlowRecordSource(0.0, {}, {"gone": 2.0})
    last_known, _ = record_known(source, 6.0)
    assert last_known["gone"] < 2.0 + TIMEOUT_SECONDS
    assert "new" not in last_known
