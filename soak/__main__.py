"""Run the soak: ``python -m soak --seeds 50``; prints each seed and what broke.

Faults and traffic of one seed are drawn alike; processes keep real time.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time

from ._play import play

SECONDS = 8.0
GATEWAYS = 4


def main() -> int:
    """Play each seed; return 0 only if nothing broke."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=0, help="how many; 0 for none")
    parser.add_argument("--minutes", type=float, default=0.0, help="or for how long")
    parser.add_argument("--first", type=int, help="first seed; drawn by default")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="of faults")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--mutant", default="", help="name in soak.mutants")
    arguments = parser.parse_args()
    seed = arguments.first
    if seed is None:
        seed = random.SystemRandom().randrange(10**9)
    ends_at = time.monotonic() + 60 * arguments.minutes
    broken = played = 0
    while played < arguments.seeds or time.monotonic() < ends_at:
        verdict = asyncio.run(
            play(seed, arguments.seconds, arguments.gateways, arguments.mutant)
        )
        print(
            f"seed {seed}: {verdict.requests} requests, {verdict.faults} faults, "
            f"{verdict.served:.0%} served after them, "
            f"{len(verdict.violations)} promises broken",
            flush=True,
        )
        for violation in verdict.violations[:10]:
            print(f"  {violation}", flush=True)
        broken += bool(verdict.violations)
        played += 1
        seed += 1
    print(f"{played} seeds, {broken} with a promise broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
