"""Synchronization of replicated state with other VMs."""

from __future__ import annotations

import itertools
import math
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Sequence

from fireflyquay.membership import (
    Message,
)
from fireflyquay.world import EntryVm, Incarnation

from ._backend_registry import BackendRegistry
from ._config_replica import ConfigReplica
from ._control_message import (
    BackendsRequest,
    BackendsResponse,
    ConfigRequest,
    ConfigResponse,
    Probe,
    ProbeResponse,
    ReplicaSyncMessage,
)
from ._freshness import Freshness

# Bounds the memory for requests that are never answered.
MAX_PENDING_REQUESTS = 256
# Seconds after which a copy of the configuration is requested from another VM, and from
# the same VM again. Many VMs may state a newer version at the same time.
COPY_INTERVAL_SECONDS = 0.1
COPY_RETRY_SECONDS = 0.5
# VMs that a coordinator asks at a time about a gap in its own observation: few, as each
# VM probes the coordinator anyway.
WITNESS_COUNT = 3


class ReplicaListener(ABC):
    """React to what other VMs state of the replicated state."""

    @abstractmethod
    def learn_version(
        self, sender: Incarnation, version: int, confirmed_at: float
    ) -> bool:
        """Request a read of a newer configuration that another VM has confirmed.

        Return whether the store responds to this VM.
        """

    @abstractmethod
    def report_config(self, source: str, superseded_at: float | None) -> None:
        """Log a configuration that came into force and how late it is.

        The source is the store or a VM. The configuration before was proven superseded
        at the given time, unless this VM is the first to know.
        """

    @abstractmethod
    def report_unclear_config(self, source: str, version: int) -> None:
        """Log a copy that does not tell whether requests carry API keys."""

    @abstractmethod
    def report_backends(self, source: str, changes: Sequence[str]) -> None:
        """Log changes of the backend registry, unless there are none."""

    @abstractmethod
    def report_observation_gap(self, source: str, seconds: float) -> None:
        """Log that entries may be missing after a time without a confirmation."""

    @abstractmethod
    def report_uptime(self, source: str, seconds: float) -> None:
        """Log that no entries are missing, as the store was up for some seconds."""


class _IdleListener(ReplicaListener):
    """Read nothing, and log nothing."""

    def learn_version(
        self, sender: Incarnation, version: int, confirmed_at: float
    ) -> bool:
        return False

    def report_config(self, source: str, superseded_at: float | None) -> None:
        pass

    def report_unclear_config(self, source: str, version: int) -> None:
        pass

    def report_backends(self, source: str, changes: Sequence[str]) -> None:
        pass

    def report_observation_gap(self, source: str, seconds: float) -> None:
        pass

    def report_uptime(self, source: str, seconds: float) -> None:
        pass


class ReplicaSync:
    """Confirm and update the configuration and the backend registry from other VMs.

    A response counts as confirmed at the time its request was sent minus the age that
    it states, because messages may be delayed for long in transit.
    """

    def __init__(
        self,
        own_vm: EntryVm,
        config: ConfigReplica,
        backends: BackendRegistry,
        listener: ReplicaListener | None = None,
        is_short_of_memory: Callable[[], bool] = lambda: False,
    ) -> None:
        self._own_vm = own_vm
        self._config = config
        self._backends = backends
        self._listener = listener or _IdleListener()
        self._is_short_of_memory = is_short_of_memory
        self._numbers = itertools.count(1)
        # Send time of each pending request, on the suspend-aware clock.
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        # VMs that accept no requests, according to the last probe response.
        self.unready: frozenset[Incarnation] = frozenset()
        # VMs whose last probe of this VM stated that they accept no requests.
        self._reported_unready: set[Incarnation] = set()
        # VMs whose memory is short, according to the last probe response.
        self._told_short: frozenset[Incarnation] = frozenset()
        # VMs whose last probe of this VM stated that their memory is short.
        self._reported_short: set[Incarnation] = set()
        # Time at which the replicas of each VM that probed this one were confirmed, as
        # far as it is known. Tells whom to ask, and proves nothing.
        self._stated_at: dict[Incarnation, float] = {}
        # VM that was last requested to send the configuration, and when.
        self._copy_request: tuple[Incarnation | None, float] = (None, -math.inf)

    def make_probe(self, is_ready: bool, now: float) -> Probe:
        """Return a probe of the state of another VM."""
        return Probe(
            self._assign_number(now),
            is_ready,
            self._own_vm,
            self._is_short_of_memory(),
            self._config.version,
            self._compute_replica_age(now),
        )

    def find_fresher_vm(self, now: float) -> Incarnation | None:
        """Return the VM whose replicas seem the freshest, if fresher than this VM's."""
        if not self._stated_at:
            return None
        freshest = max(self._stated_at, key=self._stated_at.__getitem__)
        age = now - self._stated_at[freshest]
        return freshest if age < self._compute_replica_age(now) else None

    def choose_witnesses(
        self, others: Sequence[Incarnation], rng: random.Random, now: float
    ) -> list[Incarnation]:
        """Return the VMs to ask whether the store was up while this VM did not look."""
        if not self._backends.is_recovering(now):
            return []
        return rng.sample(others, min(WITNESS_COUNT, len(others)))

    def list_short_of_memory(self, is_coordinating: bool) -> frozenset[Incarnation]:
        """Return the VMs whose memory is short, as far as this VM knows."""
        known = self._reported_short if is_coordinating else self._told_short
        own = self._own_vm.incarnation
        others = known - {own}
        return frozenset(others | {own} if self._is_short_of_memory() else others)

    def handle_message(
        self, sender: Incarnation, message: ReplicaSyncMessage, now: float
    ) -> tuple[list[Message], bool]:
        """Return the replies to a message, and whether it changed replicated state.

        ``now`` is in seconds on the suspend-aware clock.
        """
        match message:
            case Probe():
                return self._handle_probe(sender, message, now), False
            case ConfigRequest(number):
                return self._make_config_response(number, now), False
            case BackendsRequest(number):
                return [self._make_backends_response(number, now)], False
            case ProbeResponse():
                return self._handle_probe_response(sender, message, now)
            case ConfigResponse():
                return [], self._apply_config(sender, message)
            case BackendsResponse():
                return [], self._apply_backends(sender, message, now)
        return [], False

    def remove_vm(self, incarnation: Incarnation) -> None:
        """Discard the readiness that a lost VM reported."""
        self._reported_unready.discard(incarnation)
        self._reported_short.discard(incarnation)
        self._stated_at.pop(incarnation, None)

    def _compute_replica_age(self, now: float) -> float:
        freshness = self._backends.freshness
        return max(self._config.compute_age(now), freshness.compute_age(now))

    def _assign_number(self, now: float) -> int:
        number = next(self._numbers)
        self._sent_at[number] = now
        while len(self._sent_at) > MAX_PENDING_REQUESTS:
            self._sent_at.popitem(last=False)
        return number

    def _handle_probe(
        self, sender: Incarnation, probe: Probe, now: float
    ) -> list[Message]:
        if probe.replica_age is not None:
            self._stated_at[sender] = now - probe.replica_age
        response = self._make_probe_response(sender, probe, now)
        if probe.config_version <= self._config.version:
            return [response]
        return [response, *self._follow_version(sender, probe.config_version, now, now)]

    def _follow_version(
        self, sender: Incarnation, version: int, confirmed_at: float, now: float
    ) -> list[Message]:
        """Read a newer version, or request a copy if the store doesn't respond."""
        # Sending a large configuration to every VM would saturate the link of the
        # coordinator.
        if self._listener.learn_version(sender, version, confirmed_at):
            return []
        asked, asked_at = self._copy_request
        pause = COPY_RETRY_SECONDS if asked == sender else COPY_INTERVAL_SECONDS
        if now - asked_at < pause:
            return []
        self._copy_request = (sender, now)
        return [ConfigRequest(self._assign_number(now))]

    def _make_probe_response(
        self, sender: Incarnation, probe: Probe, now: float
    ) -> ProbeResponse:
        if probe.is_ready:
            self._reported_unready.discard(sender)
        else:
            self._reported_unready.add(sender)
        if probe.is_short_of_memory:
            self._reported_short.add(sender)
        else:
            self._reported_short.discard(sender)
        config, backends = self._config, self._backends
        return ProbeResponse(
            probe.number,
            config.version,
            config.freshness.revision,
            config.compute_age(now),
            backends.digest,
            backends.freshness.revision,
            backends.freshness.compute_age(now),
            tuple(self._reported_unready),
            short_of_memory=tuple(self.list_short_of_memory(is_coordinating=True)),
            store_uptime=backends.compute_uptime(now),
            restored_revision=backends.restored_revision,
        )

    def _make_config_response(self, number: int, now: float) -> list[Message]:
        config = self._config.config
        if config is None:
            return []
        revision, age = self._config.freshness.revision, self._config.compute_age(now)
        return [ConfigResponse(number, config, revision, age)]

    def _make_backends_response(self, number: int, now: float) -> BackendsResponse:
        backends = self._backends
        return BackendsResponse(
            number,
            tuple(backends.list_backends()),
            backends.freshness.revision,
            backends.freshness.compute_age(now),
            backends.compute_recovery_seconds(now),
            tuple(backends.retained),
            backends.compute_uptime(now),
            backends.restored_revision,
        )

    def _handle_probe_response(
        self, sender: Incarnation, response: ProbeResponse, now: float
    ) -> tuple[list[Message], bool]:
        sent_at = self._sent_at.pop(response.number, None)
        if sent_at is None:
            return [], False
        self.unready = frozenset(response.unready)
        self._told_short = frozenset(response.short_of_memory)
        follow_ups: list[Message] = []
        version, confirmed_at = response.config_version, sent_at - response.config_age
        if version > self._config.version:
            follow_ups += self._follow_version(sender, version, confirmed_at, now)
        elif version and version == self._config.version:
            self._config.mark_confirmed(
                Freshness(response.config_revision, confirmed_at)
            )
        freshness = Freshness(
            response.backends_revision, sent_at - response.backends_age
        )
        is_fresher = freshness.confirmed_at > self._backends.freshness.confirmed_at
        if is_fresher and response.backends_digest != self._backends.digest:
            follow_ups.append(BackendsRequest(self._assign_number(now)))
            return follow_ups, False
        self._observe_store(sender, response, freshness.confirmed_at, now)
        if is_fresher:
            self._backends.mark_confirmed(freshness)
        return follow_ups, self._drop_expired(sender)

    def _apply_config(self, sender: Incarnation, response: ConfigResponse) -> bool:
        sent_at = self._sent_at.pop(response.number, None)
        if sent_at is None:
            return False
        if not response.config.states_keys:
            # From a build that does not tell an empty list of accounts from none. This
            # VM keeps what it has until it reads the store.
            self._listener.report_unclear_config(sender, response.config.version)
            return False
        freshness = Freshness(response.revision, sent_at - response.age)
        superseded_at = self._config.superseded_at
        is_new = self._config.apply_config(response.config, freshness)
        if is_new:
            self._listener.report_config(sender, superseded_at)
        return is_new

    def _apply_backends(
        self, sender: Incarnation, response: BackendsResponse, now: float
    ) -> bool:
        sent_at = self._sent_at.pop(response.number, None)
        if sent_at is None:
            return False
        freshness = Freshness(response.revision, sent_at - response.age)
        self._observe_store(sender, response, freshness.confirmed_at, now)
        backends = self._backends
        if freshness.confirmed_at <= backends.freshness.confirmed_at:
            return self._drop_expired(sender)
        backends.expect_missing(sent_at, response.recovery_seconds)
        if response.store_uptime is None and response.recovery_seconds > 0:
            # The sender's build does not state which entries it only retains. This VM
            # soon reads the store itself.
            if backends.freshness.revision and not backends.is_recovering(
                freshness.confirmed_at
            ):
                return False
        changes = backends.replace_all(response.entries, freshness, response.retained)
        self._listener.report_backends(sender, changes)
        return bool(changes)

    def _observe_store(
        self,
        sender: Incarnation,
        response: ProbeResponse | BackendsResponse,
        confirmed_at: float,
        now: float,
    ) -> None:
        """Learn from another VM for how long the store has been up."""
        backends = self._backends
        gap = confirmed_at - backends.freshness.confirmed_at
        if backends.detect_outage(confirmed_at, now):
            self._listener.report_observation_gap(sender, gap)
        backends.detect_restore(response.restored_revision, now)
        uptime = response.store_uptime
        # The response may have been sent long after its request, and have waited here.
        if uptime is not None and backends.learn_uptime(now - uptime, confirmed_at):
            self._listener.report_uptime(sender, uptime)

    def _drop_expired(self, sender: Incarnation) -> bool:
        changes = self._backends.drop_expired()
        self._listener.report_backends(sender, changes)
        return bool(changes)
