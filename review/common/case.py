"""Frame of a script: exit code, time limit and record."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import Record

TIME_LIMIT_SECONDS = 112.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_case(folder: Path, play: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    ``play`` gets the record and whether to bring about the disruption; it returns
    whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"disruption: {'yes' if has_trouble else 'no'}")

    async def run() -> bool:
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            return await play(record, has_trouble)

    try:
        has_held = asyncio.run(run())
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
        sys.exit(COULD_NOT_RUN)
    verdict = "the rule held" if has_held else "THE RULE WAS BROKEN"
    record.write(verdict)
    record.close()
    print(verdict)
    sys.exit(HELD if has_held else BROKEN)
