"""Durations of recent runs, which tell whether another one fits into a time."""

from __future__ import annotations

import math
import statistics
from collections import deque
from dataclasses import dataclass

# Number of runs of a route that are remembered.
MAX_RUNS = 128
# Number of remembered runs that a forecast compares: those nearest in size.
COMPARED_RUNS = 16
# By how much another run may take longer than the longest of them: a share of how far
# that one lies above their median.
SPREAD_MARGIN = 0.5
# Prompt tokens that take about as long as one output token.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10.0


@dataclass(frozen=True, slots=True)
class _Run:
    """Hold the stated size of a run, in output tokens, and how long it took."""

    size: float
    seconds: float


class RunDurations:
    """Forecast how long a run takes at most, from recent runs of its route.

    Guards against requests that are passed on so late in the grace period of a stopping
    VM that their responses can't come back, without refusing those that fit.
    """

    def __init__(self) -> None:
        self._runs: dict[str, deque[_Run]] = {}

    def record(
        self, route: str, prompt_tokens: int, output_tokens: int, seconds: float
    ) -> None:
        """Record a run that ended with a whole response."""
        runs = self._runs.setdefault(route, deque(maxlen=MAX_RUNS))
        runs.append(_Run(_compute_size(prompt_tokens, output_tokens), seconds))

    def forecast(
        self, route: str, prompt_tokens: int, output_tokens: int
    ) -> float | None:
        """Return the seconds that a run may take; None if no run is known.

        Runs that are alike leave little margin, those that differ leave more.
        """
        runs = self._runs.get(route)
        if not runs:
            return None
        size = _compute_size(prompt_tokens, output_tokens)
        # The sort is stable, so that of equally near runs the latest come first.
        nearest = sorted(reversed(runs), key=lambda it: abs(math.log(it.size / size)))
        seconds = [it.seconds for it in nearest[:COMPARED_RUNS]]
        longest = max(seconds)
        return longest + SPREAD_MARGIN * (longest - statistics.median(seconds))


def _compute_size(prompt_tokens: int, output_tokens: int) -> float:
    return 1.0 + output_tokens + prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN
