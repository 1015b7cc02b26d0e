"""Quarantine of requests that crash backend servers."""

from __future__ import annotations

from collections import OrderedDict

from fireflyquay.world import Fingerprint

# Crashes after which a request is quarantined.
CRASH_LIMIT = 3
MAX_FINGERPRINTS = 4096


class CrashTracker:
    """Count crashes by request fingerprint.

    Guards against a client that keeps resending a request that crashes every backend
    server it runs on.
    """

    def __init__(self) -> None:
        self._counts: OrderedDict[Fingerprint, int] = OrderedDict()

    def record_crash(self, fingerprint: Fingerprint) -> int:
        """Record a crash and return the total for the request."""
        return self.merge_count(fingerprint, self._counts.get(fingerprint, 0) + 1)

    def merge_count(self, fingerprint: Fingerprint, count: int) -> int:
        """Raise the count of a request to at least ``count``; return the result."""
        highest = max(count, self._counts.get(fingerprint, 0))
        self._counts[fingerprint] = highest
        self._counts.move_to_end(fingerprint)
        while len(self._counts) > MAX_FINGERPRINTS:
            self._counts.popitem(last=False)
        return highest

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must no longer run."""
        return self._counts.get(fingerprint, 0) >= CRASH_LIMIT

    def get_counts(self) -> dict[Fingerprint, int]:
        """Return the crash counts of all remembered fingerprints."""
        return dict(self._counts)
