"""Ways to bring changes to every node, compared on the same fleet and seeds."""

from __future__ import annotations

import json
from dataclasses import asdict

from fireflyquay.decisions import (
    BookSettings,
)
from fireflyquay.membership import (
    MembershipSettings,
)

from .membership import measure_size

ALL = 1_000_000
SIZE = 30
LOSS = 0.3
WAYS = {
    "three watchers, push and digests": BookSettings(),
    "three watchers, digests only": BookSettings(fanout=0),
    "three watchers, push only": BookSettings(digest_period=ALL),
    "three watchers, waits of 10 s": BookSettings(watch_wait=10.0, answer_grace=2.0),
    "every node watches, no gossip": BookSettings(
        watchers_per_zone=ALL, fanout=0, digest_period=ALL
    ),
}
VIEWS = {
    "ten peers": MembershipSettings(),
    "all peers in turn": MembershipSettings(view_random=ALL),
    "four peers": MembershipSettings(view_random=2),
}


def compare_ways(size: int = SIZE) -> dict:
    """Return figures by way, without and with lost answers of the store."""
    return {
        name: {
            "all_answers": asdict(measure_size(size, settings=settings)),
            "lost_answers": asdict(
                measure_size(size, settings=settings, store_loss=LOSS)
            ),
        }
        for name, settings in WAYS.items()
    }


def compare_views(size: int = 60) -> dict:
    """Return figures by the size of the partial view."""
    return {
        name: asdict(measure_size(size, member_settings=settings))
        for name, settings in VIEWS.items()
    }


def format_ways(figures: dict) -> str:
    """Return the figures as a readable table."""
    lines = [f"{'way':36} {'calls/s':>8} {'bytes':>8} {'p50':>6} {'max':>6} lossy max"]
    for name, row in figures.items():
        plain, lossy = row["all_answers"], row["lost_answers"]
        numbers = f"{plain['store_calls']:8} {plain['bytes']:8}"
        times = f"{plain['change_p50']:6} {plain['change_max']:6}"
        lines.append(f"{name:36} {numbers} {times} {lossy['change_max']:6}")
    return "\n".join(lines)


def main() -> None:
    """Print the tables and the JSON."""
    ways = compare_ways()
    print(format_ways(ways))
    views = compare_views()
    for name, row in views.items():
        print(name, row)
    print(json.dumps({"ways": ways, "views": views}, indent=2))


if __name__ == "__main__":
    main()
