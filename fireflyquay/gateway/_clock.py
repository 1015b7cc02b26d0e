"""Clocks of a gateway."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class AgeClock(ABC):
    """Measure the age of beliefs, also across a suspension of the machine."""

    @abstractmethod
    def read(self) -> float:
        """Return seconds since an arbitrary moment."""


class BootClock(AgeClock):
    """Read the kernel's clock that counts suspended time."""

    def read(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock(AgeClock):
    """Read the running loop's clock, which tests control."""

    def read(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()
