"""The product's broker as a dispatch policy, with control messages counted."""

from __future__ import annotations

import msgspec

from fireflyquay.decisions._cell import CellBroker
from fireflyquay.decisions._cell_message import (
    Deny,
    Outcome,
    Permit,
    Release,
    Unwant,
    Want,
)
from fireflyquay.decisions._cell_settings import CellSettings
from fireflyquay.membership import (
    Action,
    Message,
)
from fireflyquay.world import BackendKind, BackendServer

from ._dispatch_run import Attempt, Policy, World

POOL = "drafting"
# Seconds from an entry VM to the broker or back, with the wait for its tick.
HOP = 0.02
TICK = 0.1
ENCODER = msgspec.msgpack.Encoder()


class BrokerPolicy(Policy):
    """Ask the broker for a permit before each dispatch."""

    name = "broker"
    reads_reports = False

    def __init__(self, settings: CellSettings | None = None) -> None:
        self._settings = settings or CellSettings()
        self._attempts: dict[str, Attempt] = {}

    def bind(self, world: World) -> None:
        """Attach to the run and tell the broker the backend servers."""
        self._world = world
        self.broker = CellBroker("broker", POOL, self._settings)
        self.broker.update_servers(0.0, self._build_servers())
        world.call_at(TICK, self._tick)

    def _build_servers(self) -> tuple[BackendServer, ...]:
        kind = BackendKind.MODEL_ENGINE
        specs = [engine.spec for engine in self._world.engines.values()]
        return tuple(
            BackendServer(
                s.name, POOL, kind, "z", "127.0.0.1", 1, s.slots, s.token_capacity
            )
            for s in specs
        )

    def _tick(self) -> None:
        self._carry_out(self.broker.advance(self._world.now))
        self._world.call_at(self._world.now + TICK, self._tick)

    def arrive(self, now: float, attempt: Attempt) -> None:
        """Send a want."""
        job = attempt.job
        self._attempts[f"fq1.home.witness.{job.number}"] = attempt
        want = Want(
            pool=POOL,
            key=f"fq1.home.witness.{job.number}",
            attempt=1,
            tier=job.kind.tier,
            customer=job.customer,
            share=1.0,
            prompt_tokens=job.prompt_tokens,
            max_tokens=job.max_tokens,
            prefix_hash=job.prefix,
            budget=job.deadline - now,
        )
        self._send(attempt, want)

    def finish(self, now: float, attempt: Attempt) -> None:
        """Release the slot with what was observed."""
        self._release(now, attempt, Outcome.FINISHED)

    def give_up(self, now: float, attempt: Attempt) -> None:
        """Withdraw the want or release the slot."""
        if attempt.stream is not None:
            self._release(now, attempt, Outcome.CANCELLED)
            return
        key = f"fq1.home.witness.{attempt.job.number}"
        self._send(attempt, Unwant(POOL, key, 1))

    def _release(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        stream = attempt.stream
        first = stream.first_token if stream.first_token is not None else now
        engine = self._world.engines[attempt.engine]
        release = Release(
            pool=POOL,
            key=f"fq1.home.witness.{attempt.job.number}",
            attempt=1,
            server=attempt.engine,
            outcome=outcome,
            prefill_tokens=int(stream.computed),
            prefill_seconds=first - stream.started,
            output_tokens=engine.count_output(stream),
            decode_seconds=now - first,
        )
        self._send(attempt, release)

    def _send(self, attempt: Attempt, message: Message) -> None:
        self._count(message)
        sender = f"vm{attempt.job.entry:02}"
        self._world.call_at(
            self._world.now + HOP, lambda: self._deliver(sender, message)
        )

    def _count(self, message: Message) -> None:
        self._world.cost.messages += 1
        self._world.cost.bytes += len(ENCODER.encode(message))

    def _deliver(self, sender: str, message: Message) -> None:
        self._carry_out(self.broker.receive(self._world.now, sender, message))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self._count(action.message)
            self._world.call_at(
                self._world.now + HOP, lambda m=action.message: self._answer(m)
            )

    def _answer(self, message: Message) -> None:
        attempt = self._attempts[message.key]
        if isinstance(message, Deny):
            self._world.deny(attempt)
            return
        if not isinstance(message, Permit) or attempt.stream is not None:
            return
        if attempt.ended:
            release = Release(POOL, message.key, 1, message.server, Outcome.UNUSED)
            self._send(attempt, release)
            return
        self._world.start(attempt, message.server)
