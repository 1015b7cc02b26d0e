"""Memory that connections hold, and which of them give way when it runs short.

Handles the load of clients that keep to no limit: many connections with unread
responses, with requests sent ahead, or with heads, bodies and messages that stop before
their end.
"""

from __future__ import annotations

from dataclasses import dataclass

# Memory of a connection without what it has received and not sent.
CONNECTION_BYTES = 20 * 1024
# Share of the bound above which the memory counts as short, and up to which room is
# made.
SHORT_SHARE = 0.75
RELIEVED_SHARE = 0.6
# Memory beyond the bound for connections of other VMs and of the platform, so that
# those of clients don't keep them out.
RESERVE_BYTES = 4 * 1024 * 1024
# Seconds without progress after which a connection gives way while memory is short.
STALL_SECONDS = 2.0
# Bytes that a peer has to send to count as one that makes progress.
MIN_PROGRESS_BYTES = 256


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Hold what a connection takes at one moment."""

    held_bytes: int
    # Received since the connection opened.
    received_bytes: int = 0
    # Written, but not received by the peer.
    unsent_bytes: int = 0
    # Whether its end would cut a response that runs.
    is_running: bool = False


@dataclass(slots=True, eq=False)
class MemoryHolder:
    """Hold the last known use of one connection."""

    # Loop time of the last progress.
    progressed_at: float
    use: MemoryUse = MemoryUse(CONNECTION_BYTES)
    # Received bytes at the last progress.
    progressed_bytes: int = 0


class MemoryAccount:
    """Sum what all connections of a VM hold, and choose which give way."""

    def __init__(
        self, max_bytes: float = float("inf"), stall_seconds: float = STALL_SECONDS
    ) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._stall_seconds = stall_seconds
        self._holders: set[MemoryHolder] = set()
        self._is_short = False

    @property
    def is_short(self) -> bool:
        """Return whether memory is short; it ends only once there is room again."""
        share = RELIEVED_SHARE if self._is_short else SHORT_SHARE
        self._is_short = self.held_bytes > share * self.max_bytes
        return self._is_short

    @property
    def holder_count(self) -> int:
        """Return the number of connections."""
        return len(self._holders)

    def has_room(self, further_bytes: int, uses_reserve: bool = False) -> bool:
        """Return whether further bytes stay within the bound."""
        reserve_bytes = RESERVE_BYTES if uses_reserve else 0
        return self.held_bytes + further_bytes <= self.max_bytes + reserve_bytes

    def open(self, now: float) -> MemoryHolder:
        """Add a connection."""
        holder = MemoryHolder(now)
        self._holders.add(holder)
        self.held_bytes += holder.use.held_bytes
        return holder

    def close(self, holder: MemoryHolder) -> None:
        """Remove a connection."""
        if holder in self._holders:
            self._holders.remove(holder)
            self.held_bytes -= holder.use.held_bytes

    def record(self, holder: MemoryHolder, use: MemoryUse, now: float) -> None:
        """Record what a connection takes now, and whether it makes progress."""
        if holder not in self._holders:
            return
        previous, holder.use = holder.use, use
        self.held_bytes += use.held_bytes - previous.held_bytes
        new_bytes = use.received_bytes - holder.progressed_bytes
        has_ended = previous.is_running and not use.is_running
        has_read = use.unsent_bytes < previous.unsent_bytes
        if has_ended or has_read or new_bytes >= MIN_PROGRESS_BYTES:
            holder.progressed_at = now
            holder.progressed_bytes = use.received_bytes

    def choose_yielding(self, now: float) -> list[MemoryHolder]:
        """Return the connections to close: those first that hold most.

        One that makes progress, or whose response runs, is never among them.
        """
        if not self.is_short:
            return []
        stalled = [it for it in self._holders if self._is_stalled(it, now)]
        stalled.sort(key=lambda it: it.use.held_bytes, reverse=True)
        remaining_bytes = self.held_bytes
        chosen = []
        for holder in stalled:
            if remaining_bytes <= RELIEVED_SHARE * self.max_bytes:
                break
            remaining_bytes -= holder.use.held_bytes
            chosen.append(holder)
        return chosen

    def _is_stalled(self, holder: MemoryHolder, now: float) -> bool:
        if holder.use.is_running:
            return False
        return now - holder.progressed_at >= self._stall_seconds
