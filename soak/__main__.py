"""Command that runs the soak test: ``python -m soak --seeds 50``.

The seed determines the faults and the traffic, but not the timing, since the processes
run in real time.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from pathlib import Path

from fleetwire.tests.fleet import REPOSITORY_ROOT

from ._soak_run import run_soak

DEFAULT_FAULT_SECONDS = 8.0
DEFAULT_GATEWAY_COUNT = 4


def main() -> int:
    """Run the seeds and print violations; return 0 without any, 1 with some."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=0, help="minimum number of seeds to run"
    )
    parser.add_argument(
        "--minutes",
        type=float,
        default=0.0,
        help="keep starting seeds for this many minutes",
    )
    parser.add_argument("--first", type=int, help="first seed; random by default")
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_FAULT_SECONDS,
        help="seconds of faults for each seed",
    )
    parser.add_argument("--gateways", type=int, default=DEFAULT_GATEWAY_COUNT)
    parser.add_argument("--mutant", default="", help="name of a mutant in soak.mutants")
    parser.add_argument(
        "--production",
        type=Path,
        default=REPOSITORY_ROOT,
        help="checkout of the build that the gateways start with",
    )
    arguments = parser.parse_args()
    seed = arguments.first
    if seed is None:
        seed = random.SystemRandom().randrange(10**9)
    ends_at = time.monotonic() + 60 * arguments.minutes
    failed = seed_count = 0
    while seed_count < arguments.seeds or time.monotonic() < ends_at:
        result = asyncio.run(
            run_soak(
                seed,
                arguments.seconds,
                arguments.gateways,
                arguments.mutant,
                production=arguments.production.resolve(),
            )
        )
        print(
            f"seed {seed}: {result.request_count} requests, "
            f"{result.fault_count} faults, "
            f"{result.served_share:.0%} served after the faults, "
            f"{len(result.violations)} violations",
            flush=True,
        )
        for violation in result.violations[:10]:
            print(f"  {violation}", flush=True)
        failed += bool(result.violations)
        seed_count += 1
        seed += 1
    print(f"{seed_count} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
