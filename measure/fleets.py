"""Messages and store requests by fleet size: ``python -m measure.fleets``.

Whole gateways run in virtual time, so the counts are the same in each run. The
processor time is that of the emulation, an upper bound of that of the gateways.
"""

from __future__ import annotations

import time
from dataclasses import replace

from emulator import History, Site, emulate, find_site

from ._pages import Row, plot_lines, write_report
from ._timing import fit_line

FLEET_SIZES = (8, 16, 30, 60)
# Number of VMs in the design; the figures are extrapolated to it.
TARGET_FLEET_SIZE = 390
TRAFFIC_SECONDS = 10.0
SETTLE_SECONDS = 10.0
# Requests per second of the whole fleet, independent of its size: idle and busy.
LOAD_LEVELS = (0.02, 1.0)
TITLE = "Messages and store calls by fleet size"


def run_fleet(vms: int, load: float) -> tuple[History, float]:
    """Emulate a fleet; return the history and the processor seconds used."""
    site: Site = replace(find_site("brolga"), vms=vms, load=load)
    started = time.process_time()
    history = emulate(site, TRAFFIC_SECONDS, settle=SETTLE_SECONDS)
    return history, time.process_time() - started


def measure_size(vms: int) -> Row:
    """Return the figures of one fleet size, idle and per request."""
    (idle, _), (busy, cpu_seconds) = (run_fleet(vms, load) for load in LOAD_LEVELS)
    seconds = idle.ended_at
    requests = len(busy.requests) - len(idle.requests)
    return {
        "VMs": vms,
        "messages a VM and second, idle": round(idle.messages / seconds / vms, 2),
        "messages a request": round((busy.messages - idle.messages) / requests, 2),
        "store calls a second, fleet": round(idle.store_calls / seconds, 2),
        "emulation, ms a request": round(1000 * cpu_seconds / len(busy.requests), 2),
    }


def main() -> None:
    """Measure all fleet sizes and write the report."""
    rows = [measure_size(vms) for vms in FLEET_SIZES]
    slopes: list[Row] = []
    for name in list(rows[0])[1:4]:
        points = [(float(row["VMs"]), float(row[name])) for row in rows]
        slope, intercept, residual = fit_line(points)
        slopes.append(
            {
                "figure": name,
                "base": round(intercept, 2),
                "a VM": round(slope, 4),
                "residual": round(residual, 2),
                f"at {TARGET_FLEET_SIZE}": round(
                    intercept + slope * TARGET_FLEET_SIZE, 1
                ),
            }
        )
    write_report("fleets", TITLE, {"Sizes": rows, "Slopes": slopes})
    plot_lines("fleets", rows, "VMs", list(rows[0])[1:4])


if __name__ == "__main__":
    main()
