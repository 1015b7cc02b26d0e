"""One entry VM's process: carries out what its node decides."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyquay.contracts import (
    StoreFailed,
)
from fireflyquay.decisions import (
    CallStore,
    Cancel,
    Dispatch,
    FailureKind,
    Join,
    Node,
    Record,
    Redirect,
    Refuse,
    Resume,
    RunReport,
    refuse_untaken,
)
from fireflyquay.membership import (
    Action,
    Message,
    Send,
    SendTo,
)
from fireflyquay.world import (
    Code,
    EntryVm,
    ExchangeId,
    Incarnation,
    Request,
    Verdict,
)

from ._backends import Backend, Reader
from ._clock import Clock
from ._evidence import Cut, Evidence, InForce, NodeLife
from ._network import Network
from ._store import TIMEOUT_S, Store

TICK_S = 0.1
VM_LIST_PERIOD_S = 5.0
STALL_S = 10.0
RESUME_DELAY_S = 0.5
CHECK_VERSIONS_S = 0.25

End = Refuse | Redirect | None


class Connection(ABC):
    """Take what an entry VM sends over a caller's connection."""

    @abstractmethod
    def take_chunk(self, index: int, chunk: bytes) -> None:
        """Take one part of the answer."""

    @abstractmethod
    def take_end(self, end: End) -> None:
        """Take the end; None for a whole answer."""

    @abstractmethod
    def take_loss(self) -> None:
        """Take the loss of the connection."""


@dataclass(slots=True)
class Answer:
    """Hold the answer of one exchange."""

    request: Request
    chunks: list[bytes] = field(default_factory=list)
    is_over: bool = False
    end: End = None
    # Connections that read it, with the index that comes next.
    readers: list[Connection] = field(default_factory=list)


class Run(Reader):
    """Follow one run on a backend server for an exchange."""

    def __init__(self, process: EntryProcess, answer: Answer) -> None:
        self._process = process
        self._answer = answer
        self._heard_at = process.clock.now
        self._is_over = False
        self._watch()

    def stop(self) -> None:
        """Read no more."""
        self._is_over = True

    def take_chunk(self, chunk: bytes) -> None:
        """Hand a part to the node's process."""
        self._process.take(lambda: self._add(chunk))

    def take_end(self) -> None:
        """Hand the end to the node's process."""
        self._process.take(self._finish)

    def take_failure(self, kind: FailureKind) -> None:
        """Hand a failure to the node's process."""
        self._process.take(lambda: self._fail(kind))

    def _add(self, chunk: bytes) -> None:
        if self._is_over:
            return
        self._heard_at = self._process.clock.now
        self._process.add_chunk(self._answer, chunk)

    def _finish(self) -> None:
        if not self._is_over:
            self._is_over = True
            self._process.finish_run(self._answer)

    def _fail(self, kind: FailureKind) -> None:
        if not self._is_over:
            self._is_over = True
            self._process.fail_run(self._answer, kind)

    def _watch(self) -> None:
        if self._is_over or not self._process.is_up:
            return
        left = self._heard_at + STALL_S - self._process.clock.now
        if left <= 0:
            self._process.take(lambda: self._fail(FailureKind.STALLED))
            return
        self._process.clock.call_in(left, self._watch)


class EntryProcess:
    """Run a node in virtual time until it is killed or has stopped."""

    def __init__(
        self,
        vm: EntryVm,
        clock: Clock,
        rng: random.Random,
        network: Network,
        store: Store,
        backends: dict[str, Backend],
        find_process: Callable[[Incarnation], EntryProcess | None],
        find_address: Callable[[str, int], EntryProcess | None],
        evidence: Evidence,
    ) -> None:
        self.vm = vm
        self.clock = clock
        self.node = Node(vm, rng, clock.now, 0.0)
        self.is_up = True
        self.is_stopping = False
        self.is_store_cut = False
        self._network = network
        self._store = store
        self._backends = backends
        self._find_process = find_process
        self._find_address = find_address
        self._evidence = evidence
        self._frozen: list[Callable[[], None]] | None = None
        self._last_exchange = 0
        self._answers: dict[ExchangeId, Answer] = {}
        self._runs: dict[ExchangeId, Run] = {}
        self._resumes: dict[ExchangeId, int] = {}
        self._versions: dict[str, int] = {}
        self._is_ready = False
        self.node.start(clock.now)
        self._seed()
        self._tick()
        self._watch_versions()

    @property
    def is_frozen(self) -> bool:
        """Tell whether the process is paused."""
        return self._frozen is not None

    def take(self, call: Callable[[], None]) -> None:
        """Let the process handle an event, now or when it is thawed."""
        if not self.is_up:
            return
        if self._frozen is not None:
            self._frozen.append(call)
            return
        call()
        self._perform_all()

    def freeze(self) -> None:
        """Pause the process; what arrives waits."""
        if self._frozen is None and self.is_up:
            self._frozen = []

    def thaw(self) -> None:
        """Let the process go on with what has waited."""
        waiting, self._frozen = self._frozen or [], None
        for call in waiting:
            self.take(call)

    def kill(self) -> None:
        """End the process at once."""
        self._end("kill")

    def stop(self) -> None:
        """Begin a planned stop."""
        self.is_stopping = True
        self._note("stop")
        self.take(lambda: self.node.begin_drain(self.clock.now))

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Take a message from another entry VM."""
        self.take(lambda: self.node.receive(self.clock.now, sender, message))

    def open(
        self,
        build: Callable[[ExchangeId, float], Request],
        connection: Connection,
        is_home_unreachable: bool,
    ) -> None:
        """Take a request over a caller's new connection."""
        self.take(lambda: self._open(build, connection, is_home_unreachable))

    def leave(self, connection: Connection) -> None:
        """Take the loss of a caller's connection."""
        self.take(lambda: self._leave(connection))

    def add_chunk(self, answer: Answer, chunk: bytes) -> None:
        """Add a part to an answer and pass it on."""
        self.node.note_first_token(self.clock.now, answer.request.exchange)
        answer.chunks.append(chunk)
        for reader in answer.readers:
            reader.take_chunk(len(answer.chunks) - 1, chunk)

    def finish_run(self, answer: Answer) -> None:
        """End an answer whose run is whole."""
        request = answer.request
        report = RunReport(request.prompt_tokens, len(answer.chunks))
        self.node.note_finished(self.clock.now, request.exchange, report)
        self._finish(answer, None)

    def fail_run(self, answer: Answer, kind: FailureKind) -> None:
        """Tell the node that a run broke."""
        exchange = answer.request.exchange
        has_streamed = bool(answer.chunks)
        self.node.note_failed(self.clock.now, exchange, kind, has_streamed)

    def _open(
        self,
        build: Callable[[ExchangeId, float], Request],
        connection: Connection,
        is_home_unreachable: bool,
    ) -> None:
        if not self.node._books.ready:
            sample = build(ExchangeId(0), self.clock.now)
            is_sole_copy = sample.send_count == 1
            refuse = refuse_untaken(Code.NOT_READY, "Not ready.", is_sole_copy)
            connection.take_end(refuse)
            return
        self._last_exchange += 1
        request = build(ExchangeId(self._last_exchange), self.clock.now)
        answer = Answer(request, readers=[connection])
        self._answers[request.exchange] = answer
        self.node.receive_request(self.clock.now, request, is_home_unreachable)

    def _leave(self, connection: Connection) -> None:
        for answer in self._answers.values():
            if connection not in answer.readers:
                continue
            answer.readers.remove(connection)
            if not answer.readers and not answer.is_over:
                exchange = answer.request.exchange
                self.node.note_caller_gone(self.clock.now, exchange)

    def _tick(self) -> None:
        if not self.is_up:
            return
        if self._frozen is None:
            self.take(lambda: self.node.advance(self.clock.now))
            if self.is_stopping and self.node.is_drained(self.clock.now):
                self._exit()
                return
        self.clock.call_in(TICK_S, self._tick)

    def _exit(self) -> None:
        for answer in self._answers.values():
            if answer.readers and not answer.is_over:
                cut = Cut(self.clock.now, self.vm.incarnation, answer.request.key)
                self._evidence.cuts.append(cut)
        self._end("exit")

    def _end(self, stage: str) -> None:
        if not self.is_up:
            return
        self.is_up = False
        self._note(stage)
        for run in self._runs.values():
            run.stop()
        for answer in self._answers.values():
            if not answer.is_over:
                for reader in answer.readers:
                    reader.take_loss()

    def _note(self, stage: str) -> None:
        life = NodeLife(self.clock.now, self.vm.incarnation, stage)
        self._evidence.lives.append(life)

    def _seed(self) -> None:
        if not self.is_up:
            return
        if not self.is_store_cut and not self._store.is_down:
            listings = self._store.list_vms()
            self.take(lambda: self.node.seed_members(self.clock.now, listings))
        self.clock.call_in(VM_LIST_PERIOD_S, self._seed)

    def _watch_versions(self) -> None:
        if not self.is_up:
            return
        self.clock.call_in(CHECK_VERSIONS_S, self._watch_versions)
        if self._frozen is not None:
            return
        if self.node.is_ready and not self._is_ready:
            self._is_ready = True
            self._note("ready")
        versions = self.node._contracts.list_versions()
        for customer, version in versions.items():
            if self._versions.get(customer) != version:
                now, own = self.clock.now, self.vm.incarnation
                self._evidence.in_force.append(InForce(now, own, customer, version))
        self._versions = dict(versions)

    def _perform_all(self) -> None:
        while self.is_up and (actions := self.node.take_actions()):
            for action in actions:
                self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Send(peer=peer, message=message):
                self._send(self._find_process(peer), message)
            case SendTo(host=host, peer_port=port, message=message):
                self._send(self._find_address(host, port), message)
            case CallStore():
                self._call_store(action)
            case Dispatch() | Resume():
                self._start_run(action)
            case Cancel(exchange=exchange):
                self._cancel(exchange)
            case Refuse(exchange=exchange) | Redirect(exchange=exchange):
                self._finish(self._answers[exchange], action)
            case Join():
                self._join(action)
            case Record(record=record):
                self._evidence.trail.append((self.clock.now, record))

    def _send(self, target: EntryProcess | None, message: Message) -> None:
        if target is not None:
            self._network.send(self.vm, target.vm, message)

    def _call_store(self, action: CallStore) -> None:
        def answered(answer) -> None:
            self.take(
                lambda: self.node.receive_store_answer(
                    self.clock.now, action.tag, answer
                )
            )

        if self.is_store_cut:
            failed = StoreFailed("", may_have_applied=False)
            self.clock.call_in(TIMEOUT_S, lambda: answered(failed))
            return
        self._store.call(action.call, answered)

    def _start_run(self, action: Dispatch | Resume) -> None:
        request = action.request
        answer = self._answers[request.exchange]
        backend = self._backends[action.backend.server]
        run = Run(self, answer)
        self._runs[request.exchange] = run
        if isinstance(action, Dispatch):
            self._resumes.pop(request.exchange, None)
            backend.run(self.vm.incarnation, request, run)
            return
        earlier = self._resumes.get(request.exchange, 0)
        self._resumes[request.exchange] = earlier + 1

        def resume() -> None:
            if self.is_up:
                backend.resume(request, len(answer.chunks), run)

        self.clock.call_in(RESUME_DELAY_S * earlier, resume)

    def _cancel(self, exchange: ExchangeId) -> None:
        run = self._runs.get(exchange)
        if run is not None:
            run.stop()
        request = self._answers[exchange].request
        for backend in self._backends.values():
            backend.cancel(request)

    def _join(self, action: Join) -> None:
        copy = self._answers[action.exchange]
        runner = self._answers.get(action.runner)
        if runner is None:
            sentence = "The answer is no longer kept."
            gone = Refuse(action.exchange, Code.ANSWER_GONE, Verdict.RAN, sentence)
            self._finish(copy, gone)
            return
        runner.readers += copy.readers
        for reader in copy.readers:
            for index, chunk in enumerate(runner.chunks):
                reader.take_chunk(index, chunk)
            if runner.is_over:
                reader.take_end(runner.end)
        copy.readers = []
        copy.is_over = True

    def _finish(self, answer: Answer, end: End) -> None:
        if answer.is_over:
            return
        answer.is_over = True
        answer.end = end
        for reader in answer.readers:
            reader.take_end(end)
