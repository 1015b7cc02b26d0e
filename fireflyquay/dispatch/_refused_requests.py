"""Memory of refused requests whose clients will retry."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from fireflyquay.world import Fingerprint

# Bounds the memory: the refusals of a large fleet in a burst, within the time below.
MAX_REMEMBERED_REFUSALS = 32_768
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
        # Refusals by fingerprint, those of the latest last; requests for the same thing
        # may share a fingerprint.
        self._refusals: OrderedDict[Fingerprint, tuple[_Refusal, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._refusals)

    def record(
        self, fingerprint: Fingerprint, arrived_at: float, due_at: float, now: float
    ) -> None:
        """Record a refusal after which the client should retry at ``due_at``."""
        refusal = _Refusal(arrived_at, now, due_at)
        self._refusals[fingerprint] = (*self._find_recent(fingerprint, now), refusal)
        self._refusals.move_to_end(fingerprint)
        self._forget_oldest(now)

    def match_retry(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return the time of a retry's first attempt; None if it is no retry.

        Each refusal is matched once. A request that comes before its Retry-After has
        passed may be another one for the same thing.
        """
        refusals = self._find_recent(fingerprint, now)
        for refusal in refusals:
            if refusal.due_at > now + RETRY_TOLERANCE_SECONDS:
                continue
            others = tuple(it for it in refusals if it is not refusal)
            if others:
                self._refusals[fingerprint] = others
            else:
                del self._refusals[fingerprint]
            return refusal.arrived_at
        return None

    def was_refused_recently(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request was refused and not matched recently."""
        return bool(self._find_recent(fingerprint, now))

    def _find_recent(
        self, fingerprint: Fingerprint, now: float
    ) -> tuple[_Refusal, ...]:
        since = now - REFUSAL_MEMORY_SECONDS
        refusals = self._refusals.get(fingerprint, ())
        return tuple(it for it in refusals if it.refused_at > since)

    def _forget_oldest(self, now: float) -> None:
        since = now - REFUSAL_MEMORY_SECONDS
        while self._refusals:
            fingerprint, refusals = next(iter(self._refusals.items()))
            is_expired = refusals[-1].refused_at <= since
            if not is_expired and len(self._refusals) <= MAX_REMEMBERED_REFUSALS:
                return
            del self._refusals[fingerprint]
