"""Summary of an emulation: outcomes by kind of request, credit earned and costs."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ._history import ClientRequest, History
from ._site import Kind, Site

# Length of the windows of which the worst have a weight of their own, and the number
# of these.
WINDOW_SECONDS = 2.0
WORST_WINDOW_COUNT = 2
# Weights of all requests, the worst windows and the worst kind in the worth, which is
# the score of an emulation.
WHOLE_WEIGHT, WINDOW_WEIGHT, KIND_WEIGHT = 0.6, 0.25, 0.15
# Holding a request and then rejecting it costs nothing up to the first share, which is
# of the target latency, and its whole credit from the second, which is of the client's
# timeout. Between the two, the cost grows linearly.
FREE_HOLD_SHARE, FULL_HOLD_SHARE = 1 / 8, 3 / 4
# Share of a request's credit that rejecting its retry costs.
RETRY_COST_SHARE = 0.3
# Weight of both costs in the worth, as the benchmark weighs them on busy days.
COST_WEIGHT = 0.12


@dataclass(frozen=True, slots=True)
class KindSummary:
    """Hold the results of one kind of request."""

    kind: str
    # Number of requests, and shares of them by outcome.
    asked: int
    on_time: float
    late: float
    refused: float
    failed: float
    # Share of the credit that was earned.
    credit_share: float
    # Quantiles of the seconds to the first output.
    p50: float
    p99: float
    # Served shares of the largest tenth of the requests and of the fifth below it.
    largest_tenth_served: float
    next_fifth_served: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Hold the results of one emulation."""

    kinds: tuple[KindSummary, ...]
    # Share of the credit that was earned: of all requests, in the worst windows, and
    # by the worst kind.
    whole: float
    worst_windows: float
    worst_kind: float
    # Costs as a share of the credit: requests held before a rejection, and retries that
    # were rejected again.
    held: float
    refused_again: float
    # Share of the prefilled prompt tokens in runs that did not complete.
    wasted_prefill: float
    messages_per_vm_second: float
    store_calls_per_vm_second: float

    @property
    def worth(self) -> float:
        """Return the weighted shares of credit minus the weighted costs."""
        credit_share = (
            WHOLE_WEIGHT * self.whole
            + WINDOW_WEIGHT * self.worst_windows
            + KIND_WEIGHT * self.worst_kind
        )
        return credit_share - COST_WEIGHT * (self.held + self.refused_again)


def summarize(site: Site, history: History) -> Summary:
    """Return the summary of an emulation's history."""
    kinds = {kind.name: kind for kind in site.kinds}
    requests = [request for request in history.requests if request.gave_up_at is None]
    groups = {
        name: [request for request in requests if request.kind == name]
        for name in kinds
        if any(request.kind == name for request in requests)
    }
    summaries = tuple(
        _summarize_kind(kinds[name], group) for name, group in groups.items()
    )
    total = sum(_compute_credit(kinds[request.kind], request) for request in requests)
    seconds = max(1.0, history.ended_at)
    return Summary(
        summaries,
        _compute_credit_share(kinds, requests),
        _compute_worst_windows(kinds, requests),
        min((kind_summary.credit_share for kind_summary in summaries), default=1.0),
        _sum_costs(_compute_hold_cost, kinds, requests) / total if total else 0.0,
        _sum_costs(_compute_retry_cost, kinds, requests) / total if total else 0.0,
        _compute_wasted_prefill(history),
        history.messages / seconds / site.vms,
        history.store_calls / seconds / site.vms,
    )


def _sum_costs(
    compute_cost: Callable[[Kind, ClientRequest], float],
    kinds: dict[str, Kind],
    requests: Iterable[ClientRequest],
) -> float:
    return sum(compute_cost(kinds[request.kind], request) for request in requests)


def _summarize_kind(kind: Kind, requests: Sequence[ClientRequest]) -> KindSummary:
    count = len(requests)
    outputs = [
        request.first_output for request in requests if request.first_output is not None
    ]
    on_time = sum(request.is_on_time for request in requests)
    served = sum(request.is_served for request in requests)
    refused = sum(
        not request.is_served and _was_rejected(request) for request in requests
    )
    return KindSummary(
        kind.name,
        count,
        on_time / count,
        (served - on_time) / count,
        refused / count,
        (count - served - refused) / count,
        _compute_credit_share({kind.name: kind}, requests),
        _compute_quantile(outputs, 0.5),
        _compute_quantile(outputs, 0.99),
        *_compute_largest_served(requests),
    )


def _compute_largest_served(requests: Sequence[ClientRequest]) -> tuple[float, float]:
    ordered = sorted(requests, key=lambda request: request.prompt_tokens, reverse=True)
    tenth = max(1, len(ordered) // 10)
    largest, next_largest = ordered[:tenth], ordered[tenth : 3 * tenth]
    return _compute_served_share(largest), _compute_served_share(next_largest)


def _compute_served_share(requests: Sequence[ClientRequest]) -> float:
    if not requests:
        return 1.0
    return sum(request.is_served for request in requests) / len(requests)


def _was_rejected(request: ClientRequest) -> bool:
    return bool(request.attempts) and bool(request.attempts[-1].code)


def _compute_credit_share(
    kinds: dict[str, Kind], requests: Iterable[ClientRequest]
) -> float:
    earned = total = 0.0
    for request in requests:
        kind = kinds[request.kind]
        total += _compute_credit(kind, request)
        if request.is_on_time:
            earned += _compute_credit(kind, request)
        elif request.is_served:
            earned += (
                _compute_credit(kind, request) * kind.late_credit / kind.on_time_credit
            )
    return earned / total if total else 1.0


def _compute_worst_windows(
    kinds: dict[str, Kind], requests: Sequence[ClientRequest]
) -> float:
    windows: dict[int, list[ClientRequest]] = {}
    for request in requests:
        windows.setdefault(int(request.sent_at / WINDOW_SECONDS), []).append(request)
    shares = sorted(_compute_credit_share(kinds, group) for group in windows.values())
    return statistics.mean(shares[:WORST_WINDOW_COUNT]) if shares else 1.0


def _compute_credit(kind: Kind, request: ClientRequest) -> float:
    return kind.on_time_credit * (request.credit_factor if kind.is_stream else 1.0)


def _compute_hold_cost(kind: Kind, request: ClientRequest) -> float:
    """Return the credit lost by holding a request before its rejection."""
    if request.is_served:
        return 0.0
    held_seconds = sum(
        attempt.ended_at - attempt.sent_at
        for attempt in request.attempts
        if attempt.code and attempt.ended_at is not None
    )
    timeout = kind.client_timeout
    if kind.is_stream:
        timeout = min(timeout, max(2.0, 4 * kind.target_latency, 8 * kind.max_gap))
    free_seconds, full_seconds = (
        FREE_HOLD_SHARE * kind.target_latency,
        FULL_HOLD_SHARE * timeout,
    )
    share = min(
        1.0, max(0.0, (held_seconds - free_seconds) / (full_seconds - free_seconds))
    )
    return share * _compute_credit(kind, request)


def _compute_retry_cost(kind: Kind, request: ClientRequest) -> float:
    """Return the credit lost by rejecting the retry of a rejected request."""
    was_retried = len(request.attempts) > 1 and request.attempts[0].code
    if not was_retried or request.is_served or not _was_rejected(request):
        return 0.0
    return RETRY_COST_SHARE * _compute_credit(kind, request)


def _compute_wasted_prefill(history: History) -> float:
    prefilled = sum(run.prefilled_tokens for run in history.runs)
    wasted = sum(run.prefilled_tokens for run in history.runs if not run.is_complete)
    return wasted / prefilled if prefilled else 0.0


def _compute_quantile(values: Sequence[float], probability: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * probability))]
