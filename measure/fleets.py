"""Messages, store calls and state by the size of a fleet: ``python -m measure.fleets``.

Counts are taken in virtual time from whole gateways and are the same in each run; the
processor time is that of the emulation, an upper bound of the gateways' own.
"""

from __future__ import annotations

import time
from dataclasses import replace

from emulator import History, Site, emulate, find_site

from ._pages import Row, draw_lines, write_pages
from ._timing import fit

SIZES = (8, 16, 30, 60)
# Size that the design is for.
FLEET_SIZE = 390
SECONDS = 10.0
SETTLE_SECONDS = 10.0
# Requests a second over the whole fleet, whatever its size.
LOADS = (0.02, 1.0)
TITLE = "Messages and store calls by fleet size"


def play_size(vms: int, load: float) -> tuple[History, float]:
    """Play a fleet of a size; return what was seen and the processor seconds."""
    site: Site = replace(find_site("brolga"), vms=vms, load=load)
    began = time.process_time()
    history = emulate(site, SECONDS, settle=SETTLE_SECONDS)
    return history, time.process_time() - began


def measure_size(vms: int) -> Row:
    """Return a size's figures, idle and per request."""
    (idle, _), (busy, taken) = (play_size(vms, load) for load in LOADS)
    seconds = idle.ended_at
    requests = len(busy.requests) - len(idle.requests)
    return {
        "VMs": vms,
        "messages a VM and second, idle": round(idle.messages / seconds / vms, 2),
        "messages a request": round((busy.messages - idle.messages) / requests, 2),
        "store calls a second, fleet": round(idle.store_calls / seconds, 2),
        "emulation, ms a request": round(1000 * taken / len(busy.requests), 2),
    }


def main() -> None:
    """Measure all sizes and write the page."""
    rows = [measure_size(vms) for vms in SIZES]
    slopes: list[Row] = []
    for name in list(rows[0])[1:4]:
        points = [(float(row["VMs"]), float(row[name])) for row in rows]
        slope, base, residual = fit(points)
        slopes.append(
            {
                "figure": name,
                "base": round(base, 2),
                "a VM": round(slope, 4),
                "residual": round(residual, 2),
                f"at {FLEET_SIZE}": round(base + slope * FLEET_SIZE, 1),
            }
        )
    write_pages("fleets", TITLE, {"Sizes": rows, "Slopes": slopes})
    draw_lines("fleets", rows, "VMs", list(rows[0])[1:4])


if __name__ == "__main__":
    main()
