"""Watch over all connections of a process: their memory, and peers that have gone."""

from __future__ import annotations

import asyncio
import select
from abc import ABC, abstractmethod

import logbook

from fireflyquay.dispatch import MemoryAccount, MemoryHolder, MemoryUse
from fireflyquay.unexpected_errors import UnexpectedErrors

from ._connection_reset import abort_connection
from ._loop_turns import DEFAULT_EVENTS_PER_TURN, LoopTurns
from ._sockets import (
    enable_dead_peer_detection,
    is_window_closed,
    tolerate_closed_window,
)

LOG = logbook.Logger("connections")

CHECK_INTERVAL_SECONDS = 0.5


class GuardedConnection(ABC):
    """Tell what a connection holds, and close it to make room."""

    @property
    @abstractmethod
    def writer(self) -> asyncio.StreamWriter:
        """Return the writer of the connection."""

    @property
    @abstractmethod
    def max_stall_seconds(self) -> float:
        """Return the seconds for which the peer may take nothing."""

    @abstractmethod
    def measure(self) -> MemoryUse:
        """Return what the connection takes now."""

    @abstractmethod
    def give_way(self) -> None:
        """Close the connection at once to make room."""


class ConnectionGuard:
    """Keep the account of all connections, and close those that have to give way."""

    def __init__(
        self,
        account: MemoryAccount | None = None,
        events_per_turn: int = DEFAULT_EVENTS_PER_TURN,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self.errors = errors or UnexpectedErrors()
        self.account = account or MemoryAccount()
        self.turns = LoopTurns(events_per_turn)
        self._connections: dict[MemoryHolder, GuardedConnection] = {}
        # Connections closed to make room.
        self.closed_count = 0
        # New connections, requests and messages refused for lack of memory.
        self.refused_count = 0

    def add(self, connection: GuardedConnection) -> MemoryHolder:
        """Watch over a connection until it is removed."""
        holder = self.account.open(asyncio.get_running_loop().time())
        self._connections[holder] = connection
        return holder

    def remove(self, holder: MemoryHolder) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(holder, None)
        self.account.close(holder)

    def update(self, holder: MemoryHolder) -> None:
        """Record what a connection takes now."""
        connection = self._connections.get(holder)
        if connection is not None:
            now = asyncio.get_running_loop().time()
            self.account.record(holder, connection.measure(), now)

    def refuse(self, what: str) -> None:
        """Count and log something that was refused for lack of memory."""
        self.refused_count += 1
        LOG.warning(
            "refused for lack of memory",
            extra={"what": what, "held_bytes": self.account.held_bytes},
        )

    async def run(self) -> None:
        """Check all connections from time to time until cancelled."""
        was_short = False
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()
            if self.account.is_short != was_short:
                was_short = not was_short
                LOG.warning(
                    "memory is short" if was_short else "memory is no longer short",
                    extra={
                        "held_bytes": self.account.held_bytes,
                        "connections": self.account.holder_count,
                    },
                )

    def check(self) -> None:
        """Measure all connections; close those that are lost or have to give way."""
        now = asyncio.get_running_loop().time()
        for holder, connection in tuple(self._connections.items()):
            with self.errors.contain("check of a connection"):
                self._check_connection(holder, connection, now)
        for holder in self.account.choose_yielding(now):
            with self.errors.contain("close of a connection"):
                self._close(holder, now)

    def _check_connection(
        self, holder: MemoryHolder, connection: GuardedConnection, now: float
    ) -> None:
        if connection.writer.transport.is_closing():
            return
        if _is_reset(connection.writer):
            abort_connection(connection.writer)
            return
        previous_bytes = holder.use.unsent_bytes
        self.account.record(holder, connection.measure(), now)
        _tolerate_pause(connection, previous_bytes, holder.use.unsent_bytes)

    def _close(self, holder: MemoryHolder, now: float) -> None:
        connection = self._connections[holder]
        self.closed_count += 1
        LOG.warning(
            "connection closed for lack of memory",
            extra={
                "peer": str(connection.writer.get_extra_info("peername")),
                "held_bytes": holder.use.held_bytes,
                "unsent_bytes": holder.use.unsent_bytes,
                "stalled": round(now - holder.progressed_at, 1),
            },
        )
        connection.give_way()
        self.remove(holder)


def _tolerate_pause(
    connection: GuardedConnection, previous_bytes: int, unsent_bytes: int
) -> None:
    """Keep the connection of a peer that pauses, also while nothing is written."""
    writer = connection.writer
    if unsent_bytes >= previous_bytes > 0 and is_window_closed(writer):
        tolerate_closed_window(writer, connection.max_stall_seconds)
    elif previous_bytes and not unsent_bytes:
        enable_dead_peer_detection(writer)


def _is_reset(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has reset a connection that is not being read.

    The event loop notices a reset only when it reads or writes.
    """
    if writer.transport.is_reading():
        return False
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), 0)
    return bool(poll.poll(0))
