"""Reports of measurements: JSON, tables and plots in docs/measurements."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

REPORT_FOLDER = Path(__file__).parent.parent / "docs" / "measurements"
Row = dict[str, object]


def format_table(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for row in rows:
        cells = ("-" if row.get(name) is None else str(row[name]) for name in names)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_report(name: str, title: str, tables: dict[str, list[Row]], note="") -> None:
    """Write the JSON file and the Markdown page of a measurement; print the page."""
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    (REPORT_FOLDER / f"{name}.json").write_text(json.dumps(tables, indent=1) + "\n")
    parts = [f"# {title}", "", f"Written by `python -m measure.{name}`. {note}".strip()]
    for heading, rows in tables.items():
        parts += ["", f"## {heading}", "", format_table(rows)]
    text = "\n".join(parts) + "\n"
    (REPORT_FOLDER / f"{name}.md").write_text(text)
    print(text)


def plot_bars(name: str, rows: Sequence[Row], group: str, bar: str, value: str) -> None:
    """Save a bar chart of column `value`, grouped by `group`."""
    groups = list(dict.fromkeys(row[group] for row in rows))
    bars = list(dict.fromkeys(row[bar] for row in rows))
    width = 0.8 / len(bars)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for position, label in enumerate(bars):
        heights = [row[value] for row in rows if row[bar] == label]
        positions = [number + position * width for number in range(len(groups))]
        axes.bar(positions, heights, width, label=str(label))
    axes.set_xticks([n + 0.4 for n in range(len(groups))], groups, fontsize=7)
    axes.set_ylabel(value.replace("_", " "))
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(REPORT_FOLDER / f"{name}.png", metadata={"Software": None})
    pyplot.close(figure)


def plot_lines(name: str, rows: Sequence[Row], x: str, values: Sequence[str]) -> None:
    """Save a line chart of columns over column `x`."""
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for value in values:
        axes.plot([r[x] for r in rows], [r[value] for r in rows], "o-", label=value)
    axes.set_xlabel(x.replace("_", " "))
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(REPORT_FOLDER / f"{name}.png", metadata={"Software": None})
    pyplot.close(figure)
