"""Cost of membership and books per node, detection and propagation times."""

from __future__ import annotations

import argparse
import json
import statistics
import tracemalloc
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from fireflyquay.decisions import (
    BookSettings,
    ContractBook,
)
from fireflyquay.membership import (
    MembershipSettings,
)
from fireflyquay.membership._member_beliefs import introduce
from fireflyquay.membership._member_table import MemberTable

from ._member_fleet import MeasuredFleet, build_contract_value, build_vm

SIZES = (3, 9, 30, 60, 120)
FLEET_SIZE = 390
CLIENT_ACCOUNTS = 940
WARM_UP_SECONDS = 30.0
STEADY_SECONDS = 20.0
# Time for lost answers to show before changes are timed.
LOSS_SECONDS = 20.0
CHANGES = 5
KILLS = 3


@dataclass(frozen=True)
class SizeResult:
    """Hold the figures of one fleet size."""

    nodes: int
    # Sent messages and bytes, per node and second.
    messages: float
    bytes: float
    # Microseconds per node and second of decisions, and of encoding and decoding.
    decision_us: float
    codec_us: float
    # Seconds until every other node counted a killed one as lost.
    detection_mean: float
    detection_max: float
    # Seconds until a changed contract was in force, over all nodes and changes.
    change_p50: float
    change_max: float
    # Calls to the store per second by the whole fleet.
    store_calls: float


def measure_size(
    size: int,
    seed: int = 1,
    settings: BookSettings | None = None,
    member_settings: MembershipSettings | None = None,
    store_loss: float = 0.0,
) -> SizeResult:
    """Run one fleet and return its figures."""
    fleet = MeasuredFleet(
        size,
        seed,
        settings or BookSettings(),
        member_settings or MembershipSettings(),
    )
    network = fleet.network
    network.run(WARM_UP_SECONDS)
    decisions = sum(node.seconds for node in fleet.nodes)
    before = (network.messages, network.bytes, network.codec_seconds)
    calls = fleet.store.calls
    network.run(STEADY_SECONDS)
    node_seconds = size * STEADY_SECONDS
    spent = sum(node.seconds for node in fleet.nodes) - decisions
    messages = (network.messages - before[0]) / node_seconds
    volume = (network.bytes - before[1]) / node_seconds
    codec = (network.codec_seconds - before[2]) / node_seconds
    calls = fleet.store.calls - calls
    fleet.store.loss = store_loss
    network.run(LOSS_SECONDS if store_loss else 0.0)
    changes = [t for n in range(CHANGES) for t in _time_change(fleet, n)]
    kills = [_time_kill(fleet, n) for n in range(min(KILLS, size - 2))]
    return SizeResult(
        nodes=size,
        messages=round(messages, 2),
        bytes=round(volume, 1),
        decision_us=round(spent / node_seconds * 1e6, 1),
        codec_us=round(codec * 1e6, 1),
        detection_mean=round(statistics.mean(kills), 2),
        detection_max=round(max(kills), 2),
        change_p50=round(statistics.median(changes), 2),
        change_max=round(max(changes), 2),
        store_calls=round(calls / STEADY_SECONDS, 2),
    )


def measure_membership(sizes: Sequence[int] = SIZES) -> dict:
    """Return figures by fleet size, and each slope carried to the full fleet."""
    results = [measure_size(size) for size in sizes]
    fields = ("messages", "bytes", "decision_us", "codec_us", "store_calls")
    slopes = {name: _extrapolate(results, name) for name in fields}
    return {
        "sizes": [asdict(result) for result in results],
        "fleet_size": FLEET_SIZE,
        "extrapolated": slopes,
        "state_bytes": measure_state(),
    }


def measure_state() -> dict[str, int]:
    """Return bytes of memory of a full fleet's members and books on one node."""
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    table = MemberTable(retention=600.0, max_dead=1024)
    for number in range(FLEET_SIZE):
        table.apply(0.0, introduce(build_vm(number)))
    members = tracemalloc.get_traced_memory()[0]
    book = ContractBook()
    for number in range(CLIENT_ACCOUNTS):
        book.apply(build_contract_value(number, 1.0, None, number + 1))
    contracts = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        f"{FLEET_SIZE}_members": members - base,
        f"{CLIENT_ACCOUNTS}_contracts": contracts - members,
    }


def _extrapolate(results: Sequence[SizeResult], name: str) -> dict[str, float]:
    """Fit a line through the larger sizes, above the size of the partial view."""
    points = [(r.nodes, getattr(r, name)) for r in results if r.nodes >= 30]
    if len(points) < 2:
        return {}
    slope, base = statistics.linear_regression(*zip(*points, strict=True))
    spread = max(abs(base + slope * x - y) for x, y in points)
    return {
        "per_node": round(slope, 4),
        "at_fleet_size": round(base + slope * FLEET_SIZE, 1),
        "largest_residual": round(spread, 2),
    }


def _time_change(fleet: MeasuredFleet, number: int) -> list[float]:
    fleet.network.run(1.37)
    return fleet.time_change(2.0 + number)


def _time_kill(fleet: MeasuredFleet, number: int) -> float:
    fleet.network.run(3.11)
    return fleet.time_kill(number)


def format_table(figures: dict) -> str:
    """Return the figures as a readable table."""
    rows = figures["sizes"]
    names = list(rows[0])
    lines = [" ".join(f"{name:>14}" for name in names)]
    lines += [" ".join(f"{row[name]:>14}" for name in names) for row in rows]
    for name, fit in figures["extrapolated"].items():
        lines.append(f"{name} at {figures['fleet_size']} nodes by slope: {fit}")
    lines.append(f"state in bytes: {figures['state_bytes']}")
    return "\n".join(lines)


def main() -> None:
    """Print the table and the JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    figures = measure_membership(parser.parse_args().sizes)
    print(format_table(figures))
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
