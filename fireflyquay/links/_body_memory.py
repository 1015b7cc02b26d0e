"""Memory for the bodies of requests."""

from __future__ import annotations

# Smaller bodies are held beside all others, so that large ones keep no small request
# out; the number of connections bounds their sum.
SMALL_BODY_BYTES = 8 * 1024


class BodyMemory:
    """Bound the bytes of the bodies that a server holds at the same time."""

    def __init__(self, max_bytes: float = float("inf")) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes, or return False if that exceeds the bound.

        One body is always held, whatever its size.
        """
        if self.held_bytes and self.held_bytes + size > self.max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size
