"""Versioned objects and the rate limiter of the store stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Represent one version of an object."""

    path: str
    value: bytes
    version: int
    revision: int


class ObjectTable:
    """Store objects by path and count writes in a store-wide revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, StoredObject] = {}

    def read(self, path: str) -> StoredObject | None:
        """Return the current version of an object."""
        return self._objects.get(path)

    def write(
        self, path: str, value: bytes, expected_version: int
    ) -> StoredObject | None:
        """Write if `expected_version` is current, 0 if absent; else return None."""
        current = self._objects.get(path)
        version = current.version if current else 0
        if version != expected_version:
            return None
        self.revision += 1
        new = StoredObject(path, value, version + 1, self.revision)
        self._objects[path] = new
        return new

    def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose paths start with a prefix, sorted by path."""
        return [
            found
            for path, found in sorted(self._objects.items())
            if path.startswith(prefix)
        ]


class RateLimiter:
    """Limit requests by a token bucket whose capacity is one second of requests."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def try_acquire(self, now: float, rate: float) -> bool:
        """Take a token if one is available; return whether one was taken."""
        if self._refilled_at is None:
            self._tokens = rate
        else:
            self._tokens += (now - self._refilled_at) * rate
        self._tokens = min(self._tokens, rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
