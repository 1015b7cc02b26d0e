"""Emulate sites and compare scheduler variants: ``python -m emulator --help``.

Runs with the same seed give the same results.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

from ._emulation import emulate
from ._exposure import summarize_rollouts
from ._report import (
    EmulationResult,
    format_kinds,
    format_rollouts,
    format_ways,
    plot_ways,
)
from ._sites import DAYS, SITES, find_site
from ._summary import summarize
from ._ways import WAYS, find_way

DEFAULT_SECONDS = 20.0
# Environment variable and its value, which fix the iteration order of sets, so that
# runs with the same seed are identical.
HASH_SEED = ("PYTHONHASHSEED", "0")


def main() -> int:
    """Run the emulations that the arguments select and return the exit code."""
    if os.environ.get(HASH_SEED[0]) != HASH_SEED[1]:
        environment = {**os.environ, HASH_SEED[0]: HASH_SEED[1]}
        command = [sys.executable, "-m", "emulator", *sys.argv[1:]]
        os.execve(sys.executable, command, environment)
    arguments = make_parser().parse_args()
    results = []
    for way in arguments.ways or ["today"]:
        for seed in range(1, arguments.seeds + 1):
            results.append(run_emulation(arguments, way, seed))
            if not arguments.ways:
                print(format_kinds(results[-1]), end="\n\n")
            if results[-1].rollouts:
                print(format_rollouts(results[-1]), end="\n\n")
    print(format_ways(results))
    if arguments.plot:
        plot_ways(results, Path(arguments.plot))
    return 0


def run_emulation(
    arguments: argparse.Namespace, way: str, seed: int
) -> EmulationResult:
    """Run a site with one scheduler variant and one seed, and return its summary."""
    site = find_site(arguments.site, arguments.day)
    variant = find_way(way)
    with variant.install():
        history = emulate(site, arguments.seconds, seed, variant.settings)
    return EmulationResult(
        site.name,
        arguments.day,
        way,
        seed,
        summarize(site, history),
        tuple(summarize_rollouts(history)),
    )


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m emulator", description=__doc__)
    parser.add_argument("site", choices=sorted(SITES))
    parser.add_argument("--day", choices=DAYS, default="quiet")
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_SECONDS,
        help="seconds of traffic in virtual time",
    )
    parser.add_argument(
        "--seeds",
        type=int,
        default=1,
        help="number of runs of each variant, with the seeds 1, 2, ...",
    )
    parser.add_argument(
        "--ways",
        nargs="+",
        metavar="WAY",
        choices=[way.name for way in WAYS],
        help="scheduler variants to compare: "
        + "; ".join(f"{way.name} ({way.description})" for way in WAYS),
    )
    parser.add_argument(
        "--plot", metavar="FILE", help="file for a PNG plot of the variants"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
