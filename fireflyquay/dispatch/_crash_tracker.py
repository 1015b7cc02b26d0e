"""Requests that crash the backend servers that run them."""

from __future__ import annotations

from collections import OrderedDict

from fireflyquay.world import Fingerprint

# Crashes after which a request is no longer run.
CRASH_LIMIT = 3
# Fingerprints that are remembered.
MAX_FINGERPRINTS = 4096


class CrashTracker:
    """Count crashes by request fingerprint.

    Answers a request whose client sends it again and again while each backend server
    that runs it crashes.
    """

    def __init__(self) -> None:
        self._counts: OrderedDict[Fingerprint, int] = OrderedDict()

    def record_crash(self, fingerprint: Fingerprint) -> int:
        """Count one crash and return how many there were."""
        return self.merge_count(fingerprint, self._counts.get(fingerprint, 0) + 1)

    def merge_count(self, fingerprint: Fingerprint, count: int) -> int:
        """Take a count that another entry VM knows; return the higher one."""
        known = max(count, self._counts.get(fingerprint, 0))
        self._counts[fingerprint] = known
        self._counts.move_to_end(fingerprint)
        while len(self._counts) > MAX_FINGERPRINTS:
            self._counts.popitem(last=False)
        return known

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request may no longer be run."""
        return self._counts.get(fingerprint, 0) >= CRASH_LIMIT

    def get_counts(self) -> dict[Fingerprint, int]:
        """Return all counts."""
        return dict(self._counts)
