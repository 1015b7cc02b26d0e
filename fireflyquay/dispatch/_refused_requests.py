"""Memory of refused requests whose clients will retry."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from fireflyquay.world import Fingerprint

MAX_REMEMBERED_REFUSALS = 4096
# Covers the delay before a retry and the time that the retried request waits.
REFUSAL_MEMORY_SECONDS = 15.0
# A retry that arrives this much before its Retry-After has passed still counts as one:
# the refusal and the retry took different times to arrive.
RETRY_TOLERANCE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class _Refusal:
    # Loop times of the client's first attempt, of the refusal, and of the retry.
    arrived_at: float
    refused_at: float
    due_at: float


class RefusedRequests:
    """Recognize the retries of refused requests.

    Guards against retries that pass for new requests under overload. A client counts
    its latency objective from its first attempt, so most retries are late already;
    taken for new ones, they would get the slots of requests that can still be on time.
    """

    def __init__(self) -> None:
        # Refusals by fingerprint in order of their time; requests for the same thing
        # may share a fingerprint.
        self._refusals: OrderedDict[Fingerprint, deque[_Refusal]] = OrderedDict()

    def record(
        self, fingerprint: Fingerprint, arrived_at: float, due_at: float, now: float
    ) -> None:
        """Record a refusal after which the client should retry at ``due_at``."""
        refusals = self._refusals.setdefault(fingerprint, deque())
        refusals.append(_Refusal(arrived_at, now, due_at))
        self._refusals.move_to_end(fingerprint)
        while len(self._refusals) > MAX_REMEMBERED_REFUSALS:
            self._refusals.popitem(last=False)

    def match_retry(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return the time of a retry's first attempt; None if it is no retry.

        Each refusal is matched once. A request that comes before its Retry-After has
        passed may be another one for the same thing.
        """
        refusals = self._find_recent(fingerprint, now)
        for refusal in refusals:
            if refusal.due_at <= now + RETRY_TOLERANCE_SECONDS:
                refusals.remove(refusal)
                if not refusals:
                    del self._refusals[fingerprint]
                return refusal.arrived_at
        return None

    def was_refused_recently(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request was refused and not matched recently."""
        return bool(self._find_recent(fingerprint, now))

    def _find_recent(self, fingerprint: Fingerprint, now: float) -> deque[_Refusal]:
        refusals = self._refusals.get(fingerprint, deque())
        while refusals and now - refusals[0].refused_at >= REFUSAL_MEMORY_SECONDS:
            refusals.popleft()
        return refusals
