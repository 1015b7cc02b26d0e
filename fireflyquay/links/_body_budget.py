"""Bound of the memory that the bodies of requests take at the same time."""

from __future__ import annotations

# Smaller bodies are held beside all others, so that large ones keep no small request
# out; the number of connections bounds their sum.
SMALL_BODY_BYTES = 8 * 1024


class BodyBudget:
    """Reserve the bytes of request bodies that a server holds.

    Guards against many large bodies at once, each of which is within its own limit.
    """

    def __init__(self, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve bytes, and return whether they fit.

        A body that is larger than all of the budget may be held alone.
        """
        is_full = self.reserved_bytes + size_bytes > self.max_bytes
        if is_full and self.reserved_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give reserved bytes back."""
        self.reserved_bytes -= size_bytes


class BodyReservation:
    """Hold what one request reserves of a budget."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def try_grow(self, size_bytes: int) -> bool:
        """Reserve bytes up to a total size, and return whether they fit."""
        if size_bytes <= max(SMALL_BODY_BYTES, self._reserved_bytes):
            return True
        # What the request holds already must not keep it from being held alone.
        self.release()
        if not self._budget.try_reserve(size_bytes):
            return False
        self._reserved_bytes = size_bytes
        return True

    def release(self) -> None:
        """Give all reserved bytes back."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
