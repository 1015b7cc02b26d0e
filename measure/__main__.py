"""Run all measurements, or one: ``python -m measure [NAME]``.

The results are written as JSON, tables and plots to docs/measurements.
"""

from __future__ import annotations

import argparse
import subprocess
import sys

# Modules of the measurements; figures of processor time vary from run to run.
COMMANDS = {
    "transport": ["measure.transport"],
    "grants": ["measure.grants"],
    "fleets": ["measure.fleets"],
    "recovery": ["measure.recovery"],
}


def run(name: str) -> int:
    """Run one measurement in a separate process and return its exit status."""
    print(name, flush=True)
    command = [sys.executable, "-m", *COMMANDS[name]]
    return subprocess.run(command, check=False).returncode


def main() -> int:
    """Run the selected measurements; return 0 only if all succeeded."""
    parser = argparse.ArgumentParser(prog="python -m measure", description=__doc__)
    parser.add_argument("name", nargs="?", choices=COMMANDS)
    name = parser.parse_args().name
    failed = [it for it in ([name] if name else COMMANDS) if run(it)]
    for it in failed:
        print(f"{it} failed", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
