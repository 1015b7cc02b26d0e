"""Run the soak: ``python -m soak --seeds 50``; prints each seed and what broke.

Faults and traffic of one seed are drawn alike; processes keep real time.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time

from ._soak_run import run_soak

DEFAULT_FAULT_SECONDS = 8.0
DEFAULT_GATEWAY_COUNT = 4


def main() -> int:
    """Play each seed; return 0 only if nothing broke."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=0, help="how many; 0 for none")
    parser.add_argument("--minutes", type=float, default=0.0, help="or for how long")
    parser.add_argument("--first", type=int, help="first seed; drawn by default")
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_FAULT_SECONDS, help="of faults"
    )
    parser.add_argument("--gateways", type=int, default=DEFAULT_GATEWAY_COUNT)
    parser.add_argument("--mutant", default="", help="name in soak.mutants")
    arguments = parser.parse_args()
    seed = arguments.first
    if seed is None:
        seed = random.SystemRandom().randrange(10**9)
    ends_at = time.monotonic() + 60 * arguments.minutes
    broken = played = 0
    while played < arguments.seeds or time.monotonic() < ends_at:
        result = asyncio.run(
            run_soak(seed, arguments.seconds, arguments.gateways, arguments.mutant)
        )
        print(
            f"seed {seed}: {result.request_count} requests, {result.fault_count} faults, "
            f"{result.served_share:.0%} served after them, "
            f"{len(result.violations)} promises broken",
            flush=True,
        )
        for violation in result.violations[:10]:
            print(f"  {violation}", flush=True)
        broken += bool(result.violations)
        played += 1
        seed += 1
    print(f"{played} seeds, {broken} with a promise broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
