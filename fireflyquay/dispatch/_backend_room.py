"""Room for the tokens of runs in the memory of the backend servers of a service."""

from __future__ import annotations

import math

from fireflyquay.world import BackendServerId

from ._backend_load import BackendLoad
from ._slot_messages import SlotRequest

# Fraction of the stated memory from which a crash may be one of too many tokens; below,
# a poisoned request or the loss of a machine is more likely.
MIN_LOADED_SHARE = 0.5
# Crashes beside more tokens than any server has held well from which the room is taken
# to be smaller than stated: one may have another cause.
MIN_CRASHES = 2
# Seconds for which crashes count.
EVIDENCE_SECONDS = 600.0
# Least room that is learned, as a fraction of the tokens beside which servers crashed.
MIN_LEARNED_SHARE = 0.5


class BackendRoom:
    """Bound the tokens of the runs that a backend server holds at the same time.

    Guards against crashes of engines that hold more than their memory: a few long
    requests fill it long before the slots are occupied. The bound is what the
    configuration states, and less after crashes beside more tokens than any server of
    the service has held well. What has been held well is always allowed, and so is one
    run on an idle server.
    """

    def __init__(self) -> None:
        # Tokens that fit into the memory of a server; infinite if none are stated.
        self.stated_tokens = math.inf
        # Most tokens that a server held when one of its runs ended well.
        self._proven_tokens = 0
        # Loop times of crashes, and tokens held then, by process of a backend server.
        self._crashes: dict[tuple[BackendServerId, int], tuple[float, int]] = {}

    def get_limit(self, now: float) -> float:
        """Return the tokens that a backend server may hold."""
        least = max(self._proven_tokens + 1, MIN_LOADED_SHARE * self.stated_tokens)
        held = [
            tokens
            for at, tokens in self._crashes.values()
            if at > now - EVIDENCE_SECONDS and tokens >= least
        ]
        if len(held) < MIN_CRASHES:
            return self.stated_tokens
        learned = max(self._proven_tokens, MIN_LEARNED_SHARE * min(held))
        return min(self.stated_tokens, learned)

    def fits(self, load: BackendLoad, request: SlotRequest, limit: float) -> bool:
        """Return whether a backend server has room for a request beside its runs."""
        tokens = request.total_tokens
        if not load.runs:
            return tokens <= self.stated_tokens
        return load.held_tokens + tokens <= limit

    def record_success(self, tokens: int) -> None:
        """Record that a run ended well at a server that held so many tokens."""
        self._proven_tokens = max(self._proven_tokens, tokens)

    def record_crash(self, load: BackendLoad, now: float) -> None:
        """Record that a backend server seems to have crashed; repeated news is one."""
        tokens = load.count_crashed_tokens(now)
        key = load.entry.id, load.entry.born_ms
        known = self._crashes.get(key, (now, 0))
        self._crashes[key] = (known[0], max(known[1], tokens))
        self._crashes = {
            key: it
            for key, it in self._crashes.items()
            if it[0] > now - EVIDENCE_SECONDS
        }
