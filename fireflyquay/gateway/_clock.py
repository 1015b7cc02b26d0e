"""Clocks for ages, which tests replace."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class AgeClock(ABC):
    """Clock for the age of replicas; keeps counting while the machine is suspended."""

    @abstractmethod
    def read(self) -> float:
        """Return the seconds since an arbitrary point in time."""


class BootClock(AgeClock):
    """The kernel's clock that includes suspended time."""

    def read(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock(AgeClock):
    """The clock of the running event loop, which tests control."""

    def read(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()
