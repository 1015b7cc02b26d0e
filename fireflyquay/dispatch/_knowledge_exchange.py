"""Tells other VMs how recent knowledge is, and learns it from them."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable

from fireflyquay.membership import (
    Message,
)
from fireflyquay.world import EntryVm, Incarnation

from ._backend_book import BackendBook
from ._config_book import ConfigBook
from ._control_message import (
    BackendsRequest,
    BackendsResponse,
    ConfigRequest,
    ConfigResponse,
    Probe,
    ProbeResponse,
    ReplicaSyncMessage,
)
from ._proof import Proof

# Questions whose answers are still awaited, at most.
MAX_OPEN_QUESTIONS = 256


class KnowledgeExchange:
    """Prove configuration and registry current through other VMs.

    An answer proves what it says for the moment at which it was asked, less the age
    that it tells: messages may be delayed for long on their way.
    """

    def __init__(
        self,
        own: EntryVm,
        config: ConfigBook,
        backends: BackendBook,
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
        self._asked: OrderedDict[int, float] = OrderedDict()
        # Members that take no requests, as last told; and who told so of itself.
        self.unready: frozenset[Incarnation] = frozenset()
        self._told_unready: set[Incarnation] = set()

    def make_probe(self, is_ready: bool, now: float) -> Probe:
        """Return a question for another VM."""
        return Probe(self._number(now), is_ready, self._own)

    def take(
        self, sender: Incarnation, message: ReplicaSyncMessage, now: float
    ) -> tuple[list[Message], bool]:
        """Take a message; return the messages to its sender and whether this is news.

        The time is in seconds on the suspend-aware clock.
        """
        match message:
            case Probe():
                return [self._answer(sender, message, now)], False
            case ConfigRequest(number):
                return self._send_config(number, now), False
            case BackendsRequest(number):
                age = self._backends.proof.measure_age(now)
                entries = tuple(self._backends.list_all())
                revision = self._backends.proof.revision
                return [BackendsResponse(number, entries, revision, age)], False
            case ProbeResponse():
                return self._take_answer(message, now), False
            case ConfigResponse():
                return [], self._take_config(message)
            case BackendsResponse():
                return [], self._take_backends(message)
        return [], False

    def forget(self, member: Incarnation) -> None:
        """Drop what a VM that is gone has told of itself."""
        self._told_unready.discard(member)

    def _number(self, now: float) -> int:
        number = next(self._numbers)
        self._asked[number] = now
        while len(self._asked) > MAX_OPEN_QUESTIONS:
            self._asked.popitem(last=False)
        return number

    def _answer(self, sender: Incarnation, probe: Probe, now: float) -> ProbeResponse:
        if probe.is_ready:
            self._told_unready.discard(sender)
        else:
            self._told_unready.add(sender)
        config, backends = self._config, self._backends
        return ProbeResponse(
            probe.number,
            config.version,
            config.proof.revision,
            config.measure_age(now),
            backends.digest,
            backends.proof.revision,
            backends.proof.measure_age(now),
            tuple(self._told_unready),
        )

    def _send_config(self, number: int, now: float) -> list[Message]:
        config = self._config.config
        if config is None:
            return []
        revision, age = self._config.proof.revision, self._config.measure_age(now)
        return [ConfigResponse(number, config, revision, age)]

    def _take_answer(self, answer: ProbeResponse, now: float) -> list[Message]:
        queued_at = self._asked.pop(answer.number, None)
        if queued_at is None:
            return []
        self.unready = frozenset(answer.unready)
        wanted: list[Message] = []
        if answer.config_version > self._config.version:
            if not self._read_newer():
                wanted.append(ConfigRequest(self._number(now)))
        elif answer.config_version and answer.config_version == self._config.version:
            proven_at = queued_at - answer.config_age
            self._config.prove(Proof(answer.config_revision, proven_at))
        proof = Proof(answer.backends_revision, queued_at - answer.backends_age)
        if proof.proven_at <= self._backends.proof.proven_at:
            return wanted
        if answer.backends_digest == self._backends.digest:
            self._backends.prove(proof)
        else:
            wanted.append(BackendsRequest(self._number(now)))
        return wanted

    def _take_config(self, news: ConfigResponse) -> bool:
        queued_at = self._asked.pop(news.number, None)
        if queued_at is None:
            return False
        proof = Proof(news.revision, queued_at - news.age)
        return self._config.offer(news.config, proof)

    def _take_backends(self, news: BackendsResponse) -> bool:
        queued_at = self._asked.pop(news.number, None)
        if queued_at is None:
            return False
        proof = Proof(news.revision, queued_at - news.age)
        if proof.proven_at <= self._backends.proof.proven_at:
            return False
        return bool(self._backends.replace_all(news.entries, proof))
