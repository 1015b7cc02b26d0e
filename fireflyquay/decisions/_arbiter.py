"""Arbiters: who decides which entry VM may dispatch a key."""

from __future__ import annotations

from abc import ABC, abstractmethod

from fireflyquay.membership import (
    Action,
    Send,
)
from fireflyquay.world import BackendServerId, Incarnation

from ._arbiter_message import NO_SERVER, Claim, Close, Fence, WitnessAnswer
from ._exchange import Exchange


class Arbiter(ABC):
    """Decide on a key; the answer comes as a WitnessAnswer to this entry VM."""

    @abstractmethod
    def claim(
        self, now: float, exchange: Exchange, server: BackendServerId
    ) -> list[Action]:
        """Ask for leave to dispatch on a backend server."""

    @abstractmethod
    def close(self, now: float, exchange: Exchange) -> list[Action]:
        """Ask to rule out that the attempt ever runs."""

    @abstractmethod
    def fence(
        self, now: float, exchange: Exchange, replaces: Incarnation
    ) -> list[Action]:
        """Ask to become the owner of a key in place of a lost one."""

    @abstractmethod
    def forget(self, exchange: Exchange) -> None:
        """Drop what is kept for an exchange that has ended."""


class WitnessArbiter(Arbiter):
    """Ask the witness that the homed key names."""

    def claim(
        self, now: float, exchange: Exchange, server: BackendServerId
    ) -> list[Action]:
        """Ask for leave to dispatch on a backend server."""
        request = exchange.request
        claim = Claim(request.key, request.attempt, server, request.fingerprint)
        return self._ask(exchange, claim)

    def close(self, now: float, exchange: Exchange) -> list[Action]:
        """Ask to rule out that the attempt ever runs."""
        request = exchange.request
        return self._ask(exchange, Close(request.key, request.attempt))

    def fence(
        self, now: float, exchange: Exchange, replaces: Incarnation
    ) -> list[Action]:
        """Ask to become the owner of a key in place of a lost one."""
        request = exchange.request
        return self._ask(exchange, Fence(request.key, request.attempt, replaces))

    def forget(self, exchange: Exchange) -> None:
        """Keep nothing: the witness itself remembers."""

    def _ask(self, exchange: Exchange, message: Claim | Close | Fence) -> list[Action]:
        if exchange.homed is None:
            return []
        return [Send(exchange.homed.witness, message)]


class LocalArbiter(Arbiter):
    """Grant at once, for keys on which this entry VM alone decides."""

    def __init__(self, own: Incarnation) -> None:
        self._own = own

    def claim(
        self, now: float, exchange: Exchange, server: BackendServerId
    ) -> list[Action]:
        """Grant the dispatch."""
        return self._grant(exchange, server=server, is_closed=False)

    def close(self, now: float, exchange: Exchange) -> list[Action]:
        """Close the attempt."""
        return self._grant(exchange, server=NO_SERVER, is_closed=True)

    def fence(
        self, now: float, exchange: Exchange, replaces: Incarnation
    ) -> list[Action]:
        """Grant the ownership."""
        return self._grant(exchange, server=NO_SERVER, is_closed=False)

    def forget(self, exchange: Exchange) -> None:
        """Keep nothing: the ledger remembers."""

    def _grant(
        self, exchange: Exchange, server: BackendServerId, is_closed: bool
    ) -> list[Action]:
        answer = WitnessAnswer(
            key=exchange.request.key,
            attempt=exchange.request.attempt,
            granted=True,
            owner=self._own,
            server=server,
            closed=is_closed,
            forgotten=False,
        )
        return [Send(self._own, answer)]
