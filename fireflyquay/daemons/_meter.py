"""Turns what happens to requests into metrics."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.decisions import (
    Refuse,
)
from fireflyquay.links import Metrics, RunFinished
from fireflyquay.world import Code, ExchangeId, Request, Verdict

WASTING_CODES = frozenset(
    {Code.STREAM_LOST, Code.BACKEND_FAILED, Code.BACKEND_TIMEOUT, Code.CALLER_GONE}
)


@dataclass(slots=True)
class _Progress:
    # Loop time of arrival, in seconds.
    since: float
    # Loop time of the last chunk, in seconds; 0 before the first.
    last_chunk: float = 0.0


class Meter:
    """Follow exchanges from arrival to end."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._progress: dict[ExchangeId, _Progress] = {}

    def note_arrival(self, now: float, request: Request) -> None:
        """Start the clock of an exchange."""
        self._progress[request.exchange] = _Progress(now)

    def forget(self, exchange: ExchangeId) -> None:
        """Stop following an exchange that another one answers."""
        self._progress.pop(exchange, None)

    def note_chunk(self, now: float, request: Request) -> None:
        """Measure the first token or the gap between two."""
        progress = self._progress.get(request.exchange)
        if progress is None:
            return
        if progress.last_chunk:
            gap = now - progress.last_chunk
            self._metrics.observe_between_tokens(request.tier, gap)
        else:
            self._metrics.observe_first_token(request.tier, now - progress.since)
        progress.last_chunk = now

    def note_finished(self, now: float, request: Request, end: RunFinished) -> None:
        """Count a whole answer; a late one wasted its prefill."""
        progress = self._progress.pop(request.exchange, None)
        since = progress.since if progress else now
        in_time = now <= request.deadline
        self._metrics.count_finished(request.tier, in_time, now - since)
        if not in_time:
            wasted = end.prefill_tokens_computed
            self._metrics.add_wasted_prefill(request.tier, wasted)

    def note_refused(self, request: Request, refuse: Refuse) -> None:
        """Count a refusal or failure."""
        self._progress.pop(request.exchange, None)
        if refuse.verdict is Verdict.NOT_RUN:
            self._metrics.count_refusal(request.tier, refuse.code)
            return
        self._metrics.count_failure(request.tier, refuse.code, refuse.verdict)
        if refuse.code in WASTING_CODES:
            self._metrics.add_wasted_prefill(request.tier, request.prompt_tokens)
