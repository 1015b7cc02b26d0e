"""The asking side of permits: wants, holds and releases of this entry VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import (
    BackendServerId,
    Incarnation,
    PoolId,
    Request,
    RequestKey,
)

from ._cell_message import Held, Hold, NotBroker, Outcome, Permit, Release, Unwant, Want

WANT_AGAIN_S = 1.0
# Pace at which brokers hear of all that is held, so that none is lost.
HELD_PERIOD_S = 3.0
# Time for which a broker that missed a release hears that nothing is held.
HELD_AFTER_S = 30.0

ChooseBroker = Callable[[PoolId], Incarnation | None]


@dataclass(slots=True)
class _Waiting:
    request: Request
    share: float
    excluded: tuple[BackendServerId, ...]
    ask_again_at: float


@dataclass(frozen=True, slots=True)
class RunCost:
    """Tell what a run took, as the broker learns speeds from it."""

    prefill_tokens: int = 0
    # Seconds from dispatch to the first token.
    prefill_seconds: float = 0.0
    output_tokens: int = 0
    # Seconds from the first to the last token.
    decode_seconds: float = 0.0


class PermitClient:
    """Ask brokers for permits and tell them what this entry VM holds."""

    def __init__(self, choose_broker: ChooseBroker) -> None:
        self._choose_broker = choose_broker
        self._brokers: dict[PoolId, Incarnation | None] = {}
        self._waiting: dict[RequestKey, _Waiting] = {}
        self._holds: dict[RequestKey, tuple[PoolId, Hold]] = {}
        self._next_held = 0.0
        # Loop times until which pools are reported, also with nothing held.
        self._report_until: dict[PoolId, float] = {}

    def want(
        self,
        now: float,
        request: Request,
        share: float,
        excluded: tuple[BackendServerId, ...],
    ) -> list[Action]:
        """Ask for a permit, and again until an answer comes."""
        waiting = _Waiting(request, share, excluded, now + WANT_AGAIN_S)
        self._waiting[request.key] = waiting
        self._report_until[request.kind.pool] = now + HELD_AFTER_S
        return self._send_want(now, waiting)

    def unwant(self, request: Request) -> list[Action]:
        """Withdraw a want."""
        if self._waiting.pop(request.key, None) is None:
            return []
        pool = request.kind.pool
        return self._send(pool, Unwant(pool, request.key, request.attempt))

    def take_permit(self, permit: Permit, request: Request) -> None:
        """Turn a want into a hold."""
        self._waiting.pop(request.key, None)
        self.hold(request, permit.server)

    def take_denial(self, request: Request) -> None:
        """End a want that was denied."""
        self._waiting.pop(request.key, None)

    def hold(self, request: Request, server: BackendServerId) -> None:
        """Count a request as running on a backend server."""
        hold = Hold(
            key=request.key,
            attempt=request.attempt,
            server=server,
            tokens=request.prompt_tokens + request.max_tokens,
            tier=request.tier,
        )
        self._holds[request.key] = (request.kind.pool, hold)

    def announce_hold(self, request: Request) -> list[Action]:
        """Tell the broker of a hold that no permit of its own began."""
        return self._send_held(request.kind.pool)

    def release_unknown(self, permit: Permit) -> list[Action]:
        """Give back a permit that no request here waits for."""
        message = Release(
            pool=permit.pool,
            key=permit.key,
            attempt=permit.attempt,
            server=permit.server,
            outcome=Outcome.UNUSED,
        )
        return self._send(permit.pool, message)

    def release(
        self,
        request: Request,
        server: BackendServerId,
        outcome: Outcome,
        cost: RunCost,
    ) -> list[Action]:
        """Give a slot back, with what the run took."""
        self._holds.pop(request.key, None)
        pool = request.kind.pool
        message = Release(
            pool=pool,
            key=request.key,
            attempt=request.attempt,
            server=server,
            outcome=outcome,
            prefill_tokens=cost.prefill_tokens,
            prefill_seconds=cost.prefill_seconds,
            output_tokens=cost.output_tokens,
            decode_seconds=cost.decode_seconds,
        )
        return self._send(pool, message)

    def update_brokers(self, now: float, pools: set[PoolId]) -> list[Action]:
        """Follow changes of brokers: hand over holds and ask wants again."""
        actions: list[Action] = []
        for pool in sorted(pools):
            broker = self._choose_broker(pool)
            if self._brokers.get(pool) == broker:
                continue
            self._brokers[pool] = broker
            actions += self._introduce(now, pool)
        return actions

    def note_no_broker(self, now: float, message: NotBroker) -> None:
        """Ask again soon for a want that met no broker."""
        waiting = self._waiting.get(message.key)
        if waiting is not None:
            soon = now + WANT_AGAIN_S / 4
            waiting.ask_again_at = min(waiting.ask_again_at, soon)

    def advance(self, now: float) -> list[Action]:
        """Ask again for wants that got no answer in time; report what is held."""
        actions = self._report_held(now)
        for waiting in self._waiting.values():
            if waiting.ask_again_at <= now:
                waiting.ask_again_at = now + WANT_AGAIN_S
                actions += self._send_want(now, waiting)
        return actions

    def _report_held(self, now: float) -> list[Action]:
        if now < self._next_held:
            return []
        self._next_held = now + HELD_PERIOD_S
        for pool, _ in self._holds.values():
            self._report_until[pool] = now + HELD_AFTER_S
        actions: list[Action] = []
        for pool, until in sorted(self._report_until.items()):
            if until <= now:
                del self._report_until[pool]
            actions += self._send_held(pool)
        return actions

    def _introduce(self, now: float, pool: PoolId) -> list[Action]:
        actions = self._send_held(pool)
        for waiting in self._waiting.values():
            if waiting.request.kind.pool == pool:
                actions += self._send_want(now, waiting)
        return actions

    def answer_held(self, asker: Incarnation, pool: PoolId) -> list[Action]:
        """Tell a new broker what this entry VM has running."""
        return [Send(asker, self._list_held(pool))]

    def _list_held(self, pool: PoolId) -> Held:
        holds = (hold for held, hold in self._holds.values() if held == pool)
        return Held(pool, tuple(holds))

    def _send_held(self, pool: PoolId) -> list[Action]:
        return self._send(pool, self._list_held(pool))

    def _send_want(self, now: float, waiting: _Waiting) -> list[Action]:
        request = waiting.request
        message = Want(
            pool=request.kind.pool,
            key=request.key,
            attempt=request.attempt,
            tier=request.tier,
            customer=request.customer,
            share=waiting.share,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hash=request.prefix_hash,
            budget=max(0.0, request.deadline - now),
            excluded=waiting.excluded,
        )
        return self._send(request.kind.pool, message)

    def _send(
        self, pool: PoolId, message: Held | Release | Unwant | Want
    ) -> list[Action]:
        broker = self._brokers.get(pool)
        if broker is None:
            broker = self._brokers[pool] = self._choose_broker(pool)
        if broker is None:
            return []
        return [Send(broker, message)]
