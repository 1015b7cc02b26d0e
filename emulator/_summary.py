"""What a play was worth: by kind, in parts, and what it cost."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ._history import ClientRequest, History
from ._site import Kind, Site

# Seconds of one window; the two worst count by themselves.
WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
# Weights of the whole, the worst windows and the worst kind.
WHOLE_WEIGHT, WINDOW_WEIGHT, KIND_WEIGHT = 0.6, 0.25, 0.15
# A request held before its refusal costs nothing up to this part of its objective, and
# all of its credit from this part of the time that its client had.
FREE_HOLD_SHARE, FULL_HOLD_SHARE = 1 / 8, 3 / 4
# Part of the credit of a request that came back and was refused again.
REPEAT_COST_SHARE = 0.3
# Part of the credit that these prices weigh; the bench weighs them so on busy days.
COST_WEIGHT = 0.12


@dataclass(frozen=True, slots=True)
class KindSummary:
    """Hold how one kind of request was served."""

    kind: str
    asked: int
    on_time: float
    late: float
    refused: float
    failed: float
    # Part of the owed credit.
    credit_share: float
    # Seconds to the first output.
    p50: float
    p99: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Hold what a whole play was worth."""

    kinds: tuple[KindSummary, ...]
    # Parts of the owed credit: all, the worst windows, the worst kind.
    whole: float
    worst_windows: float
    worst_kind: float
    # Parts of the owed credit: held before a refusal, and refused again.
    held: float
    refused_again: float
    # Part of the prompt tokens that was read for nothing.
    wasted_prefill: float
    # Per VM and second.
    messages_per_vm_second: float
    store_calls_per_vm_second: float

    @property
    def worth(self) -> float:
        """Return the credit less the prices."""
        credit_share = (
            WHOLE_WEIGHT * self.whole
            + WINDOW_WEIGHT * self.worst_windows
            + KIND_WEIGHT * self.worst_kind
        )
        return credit_share - COST_WEIGHT * (self.held + self.refused_again)


def summarize(site: Site, history: History) -> Summary:
    """Return a play's figures."""
    kinds = {kind.name: kind for kind in site.kinds}
    owed = [it for it in history.requests if it.gave_up_at is None]
    groups = {
        name: [it for it in owed if it.kind == name]
        for name in kinds
        if any(it.kind == name for it in owed)
    }
    summary = tuple(
        _summarize_kind(kinds[name], group) for name, group in groups.items()
    )
    total = sum(_compute_credit(kinds[it.kind], it) for it in owed)
    seconds = max(1.0, history.ended_at)
    return Summary(
        summary,
        _compute_credit_share(kinds, owed),
        _compute_worst_windows(kinds, owed),
        min((it.credit_share for it in summary), default=1.0),
        sum(_compute_hold_cost(kinds[it.kind], it) for it in owed) / total,
        sum(_compute_repeat_cost(kinds[it.kind], it) for it in owed) / total,
        _compute_wasted_prefill(history),
        history.messages / seconds / site.vms,
        history.store_calls / seconds / site.vms,
    )


def _summarize_kind(kind: Kind, requests: Sequence[ClientRequest]) -> KindSummary:
    count = len(requests)
    outputs = [it.first_output for it in requests if it.first_output is not None]
    on_time = sum(it.is_on_time for it in requests)
    served = sum(it.is_served for it in requests)
    refused = sum(not it.is_served and _was_rejected(it) for it in requests)
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
    )


def _was_rejected(request: ClientRequest) -> bool:
    return bool(request.attempts) and bool(request.attempts[-1].code)


def _compute_credit_share(
    kinds: dict[str, Kind], requests: Iterable[ClientRequest]
) -> float:
    earned = owed = 0.0
    for it in requests:
        kind = kinds[it.kind]
        owed += _compute_credit(kind, it)
        if it.is_on_time:
            earned += _compute_credit(kind, it)
        elif it.is_served:
            earned += _compute_credit(kind, it) * kind.late_credit / kind.on_time_credit
    return earned / owed if owed else 1.0


def _compute_worst_windows(
    kinds: dict[str, Kind], requests: Sequence[ClientRequest]
) -> float:
    windows: dict[int, list[ClientRequest]] = {}
    for it in requests:
        windows.setdefault(int(it.sent_at / WINDOW_SECONDS), []).append(it)
    shares = sorted(_compute_credit_share(kinds, group) for group in windows.values())
    return statistics.mean(shares[:WORST_WINDOWS]) if shares else 1.0


def _compute_credit(kind: Kind, request: ClientRequest) -> float:
    return kind.on_time_credit * (request.credit_factor if kind.is_stream else 1.0)


def _compute_hold_cost(kind: Kind, request: ClientRequest) -> float:
    """Return the credit that holding a request before its refusal costs."""
    if request.is_served:
        return 0.0
    held = sum(
        it.ended_at - it.sent_at
        for it in request.attempts
        if it.code and it.ended_at is not None
    )
    patience = kind.client_timeout
    if kind.is_stream:
        patience = min(patience, max(2.0, 4 * kind.target_latency, 8 * kind.max_gap))
    free, full = FREE_HOLD_SHARE * kind.target_latency, FULL_HOLD_SHARE * patience
    share = min(1.0, max(0.0, (held - free) / (full - free)))
    return share * _compute_credit(kind, request)


def _compute_repeat_cost(kind: Kind, request: ClientRequest) -> float:
    """Return the credit that refusing a returned request costs."""
    came_back = len(request.attempts) > 1 and request.attempts[0].code
    if not came_back or request.is_served or not _was_rejected(request):
        return 0.0
    return REPEAT_COST_SHARE * _compute_credit(kind, request)


def _compute_wasted_prefill(history: History) -> float:
    read = sum(run.prefilled_tokens for run in history.runs)
    wasted = sum(run.prefilled_tokens for run in history.runs if not run.is_complete)
    return wasted / read if read else 0.0


def _compute_quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
