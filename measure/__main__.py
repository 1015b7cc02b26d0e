"""Run all comparisons, or one: ``python -m measure [NAME]``.

Writes JSON, tables and plots under docs/measurements.
"""

from __future__ import annotations

import argparse
import subprocess
import sys

# Processor time and memory: these vary from run to run.
COMMANDS = {
    "transport": ["measure.transport"],
    "grants": ["measure.grants"],
    "fleets": ["measure.fleets"],
    "recovery": ["measure.recovery"],
}


def run(name: str) -> int:
    """Run one measurement in a process of its own and return its status."""
    print(name, flush=True)
    command = [sys.executable, "-m", *COMMANDS[name]]
    return subprocess.run(command, check=False).returncode


def main() -> int:
    """Run the named measurements; return 0 only if all went well."""
    parser = argparse.ArgumentParser(prog="python -m measure", description=__doc__)
    parser.add_argument("name", nargs="?", choices=COMMANDS)
    name = parser.parse_args().name
    failed = [one for one in ([name] if name else COMMANDS) if run(one)]
    for one in failed:
        print(f"{one} failed", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
