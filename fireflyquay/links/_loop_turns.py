"""Turns of connections that have much to parse, a few in each loop iteration."""

from __future__ import annotations

import asyncio
from collections import deque

# Connections that continue in each iteration of the event loop.
TURNS_PER_ITERATION = 4
# Parsed events of a connection, without a wait for its peer, until it takes a turn.
DEFAULT_EVENTS_PER_TURN = 32


class LoopTurns:
    """Let connections continue in the order in which they asked to."""

    def __init__(self, events_per_turn: int = DEFAULT_EVENTS_PER_TURN) -> None:
        self.events_per_turn = events_per_turn
        self._waiting: deque[asyncio.Future[None]] = deque()
        # Number of turns that connections took.
        self.taken_count = 0

    @property
    def waiting_count(self) -> int:
        """Return the number of connections that wait for their turn."""
        return len(self._waiting)

    async def take(self) -> None:
        """Wait until it is this connection's turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._grant)
        self._waiting.append(turn)
        await turn

    def _grant(self) -> None:
        granted_count = 0
        while self._waiting and granted_count < TURNS_PER_ITERATION:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                granted_count += 1
        self.taken_count += granted_count
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._grant)


class EventShare:
    """Bound the events that one connection parses without a turn for others."""

    def __init__(self, turns: LoopTurns) -> None:
        self._turns = turns
        self._event_count = 0

    def renew(self) -> None:
        """Begin anew, after a wait for the peer."""
        self._event_count = 0

    async def spend(self) -> None:
        """Count an event; wait for a turn once the share is used up."""
        self._event_count += 1
        if self._event_count >= self._turns.events_per_turn:
            self._event_count = 0
            await self._turns.take()
