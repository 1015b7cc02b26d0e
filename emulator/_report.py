"""Tables and plots of emulation results."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from ._exposure import RolloutSummary
from ._summary import Summary


@dataclass(frozen=True, slots=True)
class EmulationResult:
    """Hold the summary of one emulation."""

    site: str
    day: str
    way: str
    seed: int
    summary: Summary
    rollouts: tuple[RolloutSummary, ...] = ()


def format_kinds(result: EmulationResult) -> str:
    """Return a table of one emulation with a row for each kind of request.

    The last two columns are the served shares of its largest requests.
    """
    head = ("kind", "asked", "on time", "late", "refused", "failed", "p50", "p99")
    rows = [(*head, "largest 1/10", "next 1/5")]
    for kind in result.summary.kinds:
        shares = (
            kind.on_time,
            kind.late,
            kind.refused,
            kind.failed,
            kind.p50,
            kind.p99,
            kind.largest_tenth_served,
            kind.next_fifth_served,
        )
        rows.append((kind.kind, str(kind.asked), *(f"{value:.3f}" for value in shares)))
    return _align(rows)


def format_rollouts(result: EmulationResult) -> str:
    """Return a table of one emulation with a row for each roll-out."""
    head = ("service", "target", "bad", "state", "after", "right", "requests")
    rows = [(*head, "exposed", "allowed", "late")]
    for it in result.rollouts:
        rows.append(
            (
                it.service,
                it.target,
                str(it.is_bad),
                it.state or "-",
                "-" if it.seconds is None else f"{it.seconds:.2f}",
                str(it.is_right),
                str(it.requests),
                str(it.exposed),
                f"{it.allowed:.0f}",
                str(it.late),
            )
        )
    return _align(rows)


def format_ways(results: Sequence[EmulationResult]) -> str:
    """Return a table of the mean results of each scheduler variant over its seeds."""
    # "from" and "to" are the lowest and highest worth. The columns after them are
    # fields of Summary in its order and are explained there.
    head = ("site", "day", "way", "worth", "from", "to", "whole", "windows", "kind")
    rows = [(*head, "held", "again", "waste")]
    for site, day, way in dict.fromkeys(
        (result.site, result.day, result.way) for result in results
    ):
        group = [
            result.summary
            for result in results
            if (result.site, result.day, result.way) == (site, day, way)
        ]
        worths = [summary.worth for summary in group]
        values = (
            statistics.mean(worths),
            min(worths),
            max(worths),
            _mean(group, "whole"),
            _mean(group, "worst_windows"),
            _mean(group, "worst_kind"),
            _mean(group, "held"),
            _mean(group, "refused_again"),
            _mean(group, "wasted_prefill"),
        )
        rows.append((site, day, way, *(f"{value:.3f}" for value in values)))
    return _align(rows)


def plot_ways(results: Sequence[EmulationResult], path: Path) -> None:
    """Write a plot of the mean worth of each variant and its range over the seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(result.way for result in results))
    figure, axes = pyplot.subplots(figsize=(8, 0.5 * len(names) + 1.5))
    for position, name in enumerate(names):
        worths = [result.summary.worth for result in results if result.way == name]
        axes.plot([min(worths), max(worths)], [position, position], "-", color="gray")
        axes.plot([statistics.mean(worths)], [position], "o", color="black")
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel("worth (emulated)")
    figure.tight_layout()
    figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)


def _mean(group: Sequence[Summary], name: str) -> float:
    return statistics.mean(getattr(summary, name) for summary in group)


def _align(rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
