"""Tests of the record of software versions, in any order of events."""

import asyncio
from dataclasses import replace

import pytest
from hypothesis import example, given, settings, strategies as st

from fireflyquay.dispatch import Freshness, VersionRecord
from fireflyquay.dispatch.tests.builders import SERVICE, make_backend_entry
from fireflyquay.gateway import BackendsSnapshot, StoredRecord
from fireflyquay.gateway._clock import AgeClock
from fireflyquay.gateway._dialect import FleetSource
from fireflyquay.gateway._gateway_metrics import StoreRead
from fireflyquay.gateway._state_replicas import StateReplicas
from fireflyquay.links import HttpFailure
from fireflyquay.world import BackendPhase, Code, SoftwareVersion

OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v2")
# Age of a stream that a client resumes, at most, and the time for which a VM must know
# that one version served: twice as long, as in a gateway.
STREAM_SECONDS, PROVEN_SECONDS = 12.0, 24.0
# Age of the registry, and so of the configuration, from which a VM grants no slots.
MAX_GRANT_AGE_SECONDS = 6.0
VMS = 3
# By how much the clocks of the VMs differ.
SKEW_MS = (-1500.0, 0.0, 1500.0)


class Store:
    """Hold the backend servers and the record; lose or delay writes on demand."""

    def __init__(self):
        self.now = 1_000.0
        self.versions = {OLD}
        self.record = StoredRecord(VersionRecord(), 0, 0)
        self.revision = 1
        self.restore_count = 0
        self.is_down = False
        # What happens to the next writes: whether they are executed, now or late.
        self.next_writes = []
        self.late_writes = []

    def list_entries(self):
        return tuple(
            replace(make_backend_entry(f"i-{it}", 1), version=it)
            for it in sorted(self.versions)
        )

    def write(self, record, revision):
        if self.record.revision != revision:
            return None
        self.revision += 1
        self.record = StoredRecord(record, self.revision, self.restore_count)
        return self.record

    def execute_late_writes(self):
        late, self.late_writes = self.late_writes, []
        for record, revision in late:
            self.write(record, revision)


class Source(FleetSource):
    """Give one VM access to the store."""

    def __init__(self, store):
        self.store = store
        self.calls = 0
        self.is_cut = False
        self.takes_records = True

    def keeps_record(self, kind):
        return self.takes_records

    def call(self):
        self.calls += 1
        if self.store.is_down or self.is_cut:
            raise HttpFailure(Code.STORE_UNAVAILABLE, "down", True)

    async def list_backends(self):
        self.call()
        store = self.store
        position = (store.restore_count << 40) + store.revision
        return BackendsSnapshot(store.list_entries(), position, (), store.restore_count)

    async def read_record(self, kind):
        self.call()
        return replace(self.store.record, restore_count=self.store.restore_count)

    async def write_record(self, record, revision):
        self.call()
        fate = self.store.next_writes.pop() if self.store.next_writes else "done"
        if fate == "late":
            self.store.late_writes.append((record, revision))
        if fate != "refused" and fate != "late":
            written = self.store.write(record, revision)
        if fate != "done":
            raise HttpFailure(Code.STORE_UNAVAILABLE, fate, True)
        return written

    read_config = register_vm = list_vms = remove_vm = None


class Clock(AgeClock):
    """Read the store's time, and a time of day that is off."""

    def __init__(self, store, skew_ms):
        self._store, self._skew_ms = store, skew_ms

    def read(self):
        return self._store.now

    def read_unix_ms(self):
        return self._store.now * 1000.0 + self._skew_ms


class Vm:
    """Hold the replicas of one VM."""

    def __init__(self, store, number):
        self.source, self.store = Source(store), store
        self.clock = Clock(store, SKEW_MS[number])
        self.coordinates = False
        self.replicas = StateReplicas(
            self.source, self.clock, 0.5, lambda: self.coordinates
        )
        self.registry = self.replicas.backends

    async def poll(self, coordinates):
        self.coordinates = coordinates
        replicas = self.replicas
        await replicas._try_read(StoreRead.BACKENDS, replicas._read_backends)

    def copy_registry(self, other):
        known, found = self.registry.freshness, other.registry.freshness
        if found.confirmed_at > known.confirmed_at:
            entries = other.registry.list_backends()
            self.registry.replace_all(entries, Freshness(*_as_pair(found)))

    def list_granted(self):
        if self.registry.freshness.compute_age(self.store.now) > MAX_GRANT_AGE_SECONDS:
            return set()
        return {
            it.version
            for it in self.registry.list_backends()
            if it.phase is BackendPhase.READY
        }

    async def prove(self):
        """Read what a client that resumes a stream needs."""
        self.replicas._versions.request_reading(self.store.now)
        await self.poll(False)

    def get_confirmed_at(self):
        """Return the latest time until which this VM could prove anything."""
        confirmed_at = self.registry.freshness.confirmed_at
        if self.source.takes_records:
            reading = self.registry._version_reading
            confirmed_at = min(confirmed_at, reading.sent_at if reading else 0.0)
        return confirmed_at

    def proves_one_version(self):
        return self.registry.had_one_version(
            SERVICE,
            PROVEN_SECONDS,
            self.get_confirmed_at(),
            self.store.now,
            self.clock.read_unix_ms(),
        )


def _as_pair(freshness):
    return freshness.revision, freshness.confirmed_at


class World:
    """Play events, and check each proof of a single version against all grants."""

    def __init__(self):
        self.store = Store()
        self.vms = [Vm(self.store, it) for it in range(VMS)]
        self.copy = (self.store.versions, self.store.record, self.store.revision)
        # Times at which each version could be granted slots.
        self.granted_at = {OLD: [], NEW: []}

    async def play(self, events):
        for name, *arguments in events:
            await getattr(self, name)(*arguments)
            self.check()

    def check(self):
        for vm in self.vms:
            for version in vm.list_granted():
                self.granted_at[version].append(self.store.now)
        since = self.store.now - STREAM_SECONDS
        for vm in self.vms:
            if not vm.proves_one_version():
                continue
            # What happens after the last confirmation can't be known.
            until = vm.get_confirmed_at()
            granted = {
                version
                for version, times in self.granted_at.items()
                if any(since < at < until for at in times)
            }
            registered = {it.version for it in vm.registry.list_backends()}
            assert len(granted | registered) <= 1

    async def serve(self, vm, steps):
        """Let one VM poll twice a second, and others follow it."""
        for _ in range(steps):
            await self.vms[vm].poll(True)
            for number, other in enumerate(self.vms):
                if number != vm and not other.source.is_cut:
                    other.copy_registry(self.vms[vm])
            self.check()
            self.store.now += 0.5

    async def poll(self, vm, coordinates):
        await self.vms[vm].poll(coordinates)

    async def prove(self, vm):
        await self.vms[vm].prove()

    async def copy_registry(self, vm, other):
        self.vms[vm].copy_registry(self.vms[other])

    async def join(self, version):
        self.store.versions = self.store.versions | {version}
        self.store.revision += 1

    async def leave(self, version):
        self.store.versions = self.store.versions - {version}
        self.store.revision += 1

    async def wait(self, seconds):
        self.store.now += seconds

    async def kill_all(self):
        self.vms = [Vm(self.store, it) for it in range(VMS)]

    async def kill(self, vm):
        self.vms[vm] = Vm(self.store, vm)

    async def set_down(self, is_down):
        self.store.is_down = is_down

    async def cut(self, vm, is_cut):
        self.vms[vm].source.is_cut = is_cut

    async def lose(self, fate):
        self.store.next_writes.append(fate)

    async def execute_late_writes(self):
        self.store.execute_late_writes()

    async def copy_store(self):
        store = self.store
        self.copy = (store.versions, store.record, store.revision)

    async def restore_copy(self):
        self.store.versions, self.store.record, self.store.revision = self.copy
        self.store.restore_count += 1

    async def remove_record(self):
        self.store.record = StoredRecord(VersionRecord(), 0, 0)


vms = st.integers(0, VMS - 1)
versions = st.sampled_from([OLD, NEW])
seconds = st.sampled_from([0.1, 0.5, 1.0, 3.0, 9.0, 20.0, 31.0, 80.0])
EVENTS = st.one_of(
    st.tuples(st.just("serve"), vms, st.sampled_from([1, 2, 10, 60, 200])),
    st.tuples(st.just("poll"), vms, st.booleans()),
    st.tuples(st.just("prove"), vms),
    st.tuples(st.just("copy_registry"), vms, vms),
    st.tuples(st.just("join"), versions),
    st.tuples(st.just("leave"), versions),
    st.tuples(st.just("wait"), seconds),
    st.tuples(st.just("kill_all")),
    st.tuples(st.just("kill"), vms),
    st.tuples(st.just("set_down"), st.booleans()),
    st.tuples(st.just("cut"), vms, st.booleans()),
    st.tuples(st.just("lose"), st.sampled_from(["lost", "late", "refused"])),
    st.tuples(st.just("execute_late_writes")),
    st.tuples(st.just("copy_store")),
    st.tuples(st.just("restore_copy")),
    st.tuples(st.just("remove_record")),
)


@given(st.lists(EVENTS, max_size=25))
@settings(max_examples=300)
# The second version joins and leaves just before all are killed.
@example(
    [
        ("serve", 0, 200),
        ("join", NEW),
        ("serve", 0, 1),
        ("leave", NEW),
        ("kill_all",),
        ("serve", 0, 1),
    ]
)
# The write of a version that joins is late, and the version leaves.
@example(
    [
        ("serve", 0, 200),
        ("lose", "late"),
        ("join", NEW),
        ("serve", 0, 1),
        ("leave", NEW),
        ("serve", 1, 10),
        ("join", NEW),
        ("serve", 1, 2),
        ("execute_late_writes",),
        ("leave", NEW),
        ("kill_all",),
        ("serve", 2, 2),
    ]
)
# The second version joins and leaves between two reads of a VM that has served for
# long, while another VM coordinates.
@example(
    [
        ("serve", 0, 60),
        ("join", NEW),
        ("poll", 1, True),
        ("leave", NEW),
        ("wait", 0.1),
        ("prove", 0),
    ]
)
def test_no_order_of_events_hides_a_version_that_was_granted_slots(events):
    asyncio.run(World().play(events))


@pytest.mark.parametrize("pause", [0.0, 1.0, 15.0])
def test_single_version_is_proven_again_at_once_after_all_were_killed(pause):
    async def run():
        world = World()
        await world.play([("serve", 0, 100), ("kill_all",), ("wait", pause)])
        await world.vms[1].poll(False)
        assert world.vms[1].proves_one_version()

    asyncio.run(run())


def test_version_that_an_older_build_granted_slots_unrecorded_is_recorded_by_others():
    # A VM that starts after a kill of all would prove the other version.
    async def run():
        world = World()
        await world.play([("serve", 0, 100)])
        world.vms[0].source.takes_records = False
        await world.play([("join", NEW), ("serve", 0, 1)])
        assert world.vms[0].list_granted() == {OLD, NEW}
        for vm in world.vms[1:]:
            if vm.replicas._versions.is_due:
                await vm.poll(False)
        calls = [it.source.calls for it in world.vms]
        await world.play([("serve", 0, 4)])
        assert not any(it.replicas._versions.is_due for it in world.vms[1:])
        assert [it.source.calls for it in world.vms[1:]] == calls[1:]
        await world.play([("leave", NEW), ("kill_all",), ("prove", 2)])
        assert not world.vms[2].proves_one_version()

    asyncio.run(run())


def test_version_that_can_not_be_recorded_gets_no_slot_until_it_is():
    async def run():
        world = World()
        await world.play([("serve", 0, 10), ("lose", "refused"), ("join", NEW)])
        await world.play([("serve", 0, 1)])
        assert world.vms[0].list_granted() == {OLD}
        await world.play([("serve", 0, 1)])
        assert world.vms[0].list_granted() == {OLD, NEW}

    asyncio.run(run())


def test_store_that_takes_no_record_costs_no_slot_and_proves_nothing():
    async def run():
        world = World()
        vm = world.vms[0]

        async def refuse(*_):
            vm.source.takes_records = False
            raise HttpFailure(Code.STORE_UNAVAILABLE, "unknown kind", True)

        vm.source.read_record = refuse
        await vm.poll(True)
        assert vm.list_granted() == {OLD}
        assert not vm.proves_one_version()

    asyncio.run(run())


def test_record_costs_one_call_in_ten_seconds_and_one_at_a_start():
    async def run():
        world = World()
        await world.play([("serve", 0, 120)])
        calls, lists = world.vms[0].source.calls, 120
        assert calls - lists <= 2 + 6
        await world.play([("kill", 1), ("poll", 1, False)])
        assert world.vms[1].source.calls == 2

    asyncio.run(run())
