"""Command that runs scenario files: ``python -m proofs.run FILE...``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from ._language import ScenarioError, parse_scenarios
from ._runner import run_scenario


def main() -> int:
    """Run the scenarios; return 0, 1 for violations or 2 for an unreadable file."""
    parser = argparse.ArgumentParser(prog="python -m proofs.run", description=__doc__)
    parser.add_argument("files", nargs="+", metavar="FILE")
    failed_count = 0
    for name in parser.parse_args().files:
        try:
            scenarios = parse_scenarios(Path(name).read_text())
        except (OSError, UnicodeDecodeError, ScenarioError) as error:
            print(f"{name}: {error}", file=sys.stderr)
            return 2
        for scenario in scenarios:
            result = run_scenario(scenario)
            print(
                f"{result.title}: {result.served_share:.0%} of "
                f"{result.request_count} served"
            )
            for violation in result.violations:
                print(f"  {violation}")
            failed_count += bool(result.violations)
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
