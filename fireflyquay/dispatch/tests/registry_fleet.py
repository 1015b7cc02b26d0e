"""VMs that copy the backend registry from each other, in steps of virtual time."""

from __future__ import annotations

import random

from fireflyquay.dispatch import BackendRegistry, ConfigReplica, Freshness, ReplicaSync
from fireflyquay.membership import Message
from fireflyquay.world import BackendEntry, BackendServerId, Incarnation

from .builders import make_backend_entry, make_vm

STEP_SECONDS = 0.05
PROBE_SECONDS = 0.25
# Seconds between reads of the coordinator, and the age at which others read.
READ_SECONDS = 0.5
OWN_READ_AGE_SECONDS = 0.9
# Seconds after which the others take a suspended coordinator for silent.
SILENT_SECONDS = 0.6


class FakeStore:
    """List backend servers, except while it is down."""

    def __init__(self) -> None:
        self.entries: dict[BackendServerId, BackendEntry] = {}
        self.revision = 1
        self.is_up = True

    def put(self, name: str) -> None:
        self.entries[BackendServerId(name)] = make_backend_entry(name)
        self.revision += 1

    def remove(self, name: str) -> None:
        del self.entries[BackendServerId(name)]
        self.revision += 1


class FakeVm:
    """Read the store and synchronize with other VMs, unless suspended."""

    def __init__(self, fleet: RegistryFleet, number: int) -> None:
        self.incarnation = Incarnation(f"vm-{number}")
        self.registry = BackendRegistry()
        own = make_vm(self.incarnation)
        self.sync = ReplicaSync(own, ConfigReplica(), self.registry)
        self.suspended_at: float | None = None
        # Time at which this VM was last suspended.
        self.last_suspended_at = -100.0
        self._fleet = fleet
        self._inbox: list[tuple[FakeVm, Message]] = []
        self._read_at = self._probe_at = 0.0

    def receive(self, sender: FakeVm, message: Message) -> None:
        self._inbox.append((sender, message))

    def accepts(self, name: str) -> bool:
        return self.registry.accepts_requests(BackendServerId(name))

    def step(self, now: float) -> None:
        """Handle what has arrived, then read and probe if it is time."""
        if self.suspended_at is not None:
            self.last_suspended_at = now
            return
        arrived, self._inbox = self._inbox, []
        for sender, message in arrived:
            replies, _ = self.sync.handle_message(sender.incarnation, message, now)
            for reply in replies:
                sender.receive(self, reply)
        coordinator = self._fleet.choose_coordinator(self, now)
        age = self.registry.freshness.compute_age(now)
        is_due = coordinator is self or age > OWN_READ_AGE_SECONDS
        if is_due and now >= self._read_at:
            self._read_at = now + READ_SECONDS
            self._read(now)
        if now >= self._probe_at:
            self._probe_at = now + PROBE_SECONDS
            self._probe(coordinator, now)

    def _read(self, now: float) -> None:
        store = self._fleet.store
        if store.is_up:
            self.registry.detect_outage(now, now)
            entries = list(store.entries.values())
            self.registry.replace_all(entries, Freshness(store.revision, now))

    def _probe(self, coordinator: FakeVm, now: float) -> None:
        others = {it.incarnation: it for it in self._fleet.vms if it is not self}
        targets = [coordinator]
        if coordinator is self:
            names = self.sync.choose_witnesses(list(others), self._fleet.rng, now)
            targets = [others[it] for it in names]
        for target in targets:
            target.receive(self, self.sync.make_probe(True, now))


class RegistryFleet:
    """Run some VMs; the first that is not silent coordinates."""

    def __init__(self, count: int, names: tuple[str, ...], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.store = FakeStore()
        for name in names:
            self.store.put(name)
        self.vms = [FakeVm(self, number) for number in range(count)]
        self.now = 0.0
        self.run(4.0)

    def choose_coordinator(self, asking: FakeVm, now: float) -> FakeVm:
        """Return the VM that one follows, which may have been suspended just now."""
        for vm in self.vms:
            at = vm.suspended_at
            if vm is asking or at is None or now - at < SILENT_SECONDS:
                return vm
        return asking

    def step(self) -> None:
        self.now = round(self.now + STEP_SECONDS, 3)
        for vm in self.vms:
            vm.step(self.now)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def suspend(self, *numbers: int) -> None:
        for number in numbers:
            self.vms[number].suspended_at = self.now

    def resume(self, *numbers: int) -> None:
        for number in numbers:
            self.vms[number].suspended_at = None
