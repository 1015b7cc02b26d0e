"""Tells other VMs how recent knowledge is, and learns it from them."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable

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

# Questions whose answers are still awaited, at most.
MAX_PENDING_REQUESTS = 256


class ReplicaSync:
    """Prove configuration and registry current through other VMs.

    An answer proves what it says for the moment at which it was asked, less the age
    that it tells: messages may be delayed for long on their way.
    """

    def __init__(
        self,
        own: EntryVm,
        config: ConfigReplica,
        backends: BackendRegistry,
        read_newer: Callable[[], bool] = lambda: False,
    ) -> None:
        self._own = own
        self._config = config
        self._backends = backends
        # Has a newer configuration read from the store; tells whether that can be done.
        # A long one would fill the link of the VM that all others ask.
        self._read_newer = read_newer
        self._numbers = itertools.count(1)
        # When each open question was sent, on the suspend-aware clock.
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        # Members that take no requests, as last told; and who told so of itself.
        self.unready: frozenset[Incarnation] = frozenset()
        self._reported_unready: set[Incarnation] = set()

    def make_probe(self, is_ready: bool, now: float) -> Probe:
        """Return a question for another VM."""
        return Probe(self._assign_number(now), is_ready, self._own)

    def handle_message(
        self, sender: Incarnation, message: ReplicaSyncMessage, now: float
    ) -> tuple[list[Message], bool]:
        """Take a message; return the messages to its sender and whether this is news.

        The time is in seconds on the suspend-aware clock.
        """
        match message:
            case Probe():
                return [self._make_probe_response(sender, message, now)], False
            case ConfigRequest(number):
                return self._make_config_response(number, now), False
            case BackendsRequest(number):
                age = self._backends.freshness.compute_age(now)
                entries = tuple(self._backends.list_all())
                revision = self._backends.freshness.revision
                return [BackendsResponse(number, entries, revision, age)], False
            case ProbeResponse():
                return self._handle_probe_response(message, now), False
            case ConfigResponse():
                return [], self._apply_config(message)
            case BackendsResponse():
                return [], self._apply_backends(message)
        return [], False

    def remove_vm(self, member: Incarnation) -> None:
        """Drop what a VM that is gone has told of itself."""
        self._reported_unready.discard(member)

    def _assign_number(self, now: float) -> int:
        number = next(self._numbers)
        self._sent_at[number] = now
        while len(self._sent_at) > MAX_PENDING_REQUESTS:
            self._sent_at.popitem(last=False)
        return number

    def _make_probe_response(
        self, sender: Incarnation, probe: Probe, now: float
    ) -> ProbeResponse:
        if probe.is_ready:
            self._reported_unready.discard(sender)
        else:
            self._reported_unready.add(sender)
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
        )

    def _make_config_response(self, number: int, now: float) -> list[Message]:
        config = self._config.config
        if config is None:
            return []
        revision, age = self._config.freshness.revision, self._config.compute_age(now)
        return [ConfigResponse(number, config, revision, age)]

    def _handle_probe_response(
        self, answer: ProbeResponse, now: float
    ) -> list[Message]:
        sent_at = self._sent_at.pop(answer.number, None)
        if sent_at is None:
            return []
        self.unready = frozenset(answer.unready)
        follow_ups: list[Message] = []
        if answer.config_version > self._config.version:
            if not self._read_newer():
                follow_ups.append(ConfigRequest(self._assign_number(now)))
        elif answer.config_version and answer.config_version == self._config.version:
            confirmed_at = sent_at - answer.config_age
            self._config.mark_confirmed(Freshness(answer.config_revision, confirmed_at))
        freshness = Freshness(answer.backends_revision, sent_at - answer.backends_age)
        if freshness.confirmed_at <= self._backends.freshness.confirmed_at:
            return follow_ups
        if answer.backends_digest == self._backends.digest:
            self._backends.mark_confirmed(freshness)
        else:
            follow_ups.append(BackendsRequest(self._assign_number(now)))
        return follow_ups

    def _apply_config(self, news: ConfigResponse) -> bool:
        sent_at = self._sent_at.pop(news.number, None)
        if sent_at is None:
            return False
        freshness = Freshness(news.revision, sent_at - news.age)
        return self._config.apply_config(news.config, freshness)

    def _apply_backends(self, news: BackendsResponse) -> bool:
        sent_at = self._sent_at.pop(news.number, None)
        if sent_at is None:
            return False
        freshness = Freshness(news.revision, sent_at - news.age)
        if freshness.confirmed_at <= self._backends.freshness.confirmed_at:
            return False
        return bool(self._backends.replace_all(news.entries, freshness))
