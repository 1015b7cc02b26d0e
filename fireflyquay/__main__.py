"""Entry point of the command line, `python -m fireflyquay`."""

import sys

from fireflyquay.signals import defer_signals


def run() -> int:
    """Run one command; signals wait until it can handle them."""
    defer_signals()
    from fireflyquay.daemons import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
