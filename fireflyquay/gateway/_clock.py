"""Clocks that measure the age of replicas; tests substitute their own."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod

MILLISECONDS_PER_SECOND = 1000.0


class AgeClock(ABC):
    """Measure the age of replicas, if possible also while the machine is suspended."""

    @abstractmethod
    def read(self) -> float:
        """Return the seconds since an arbitrary point in time."""

    @abstractmethod
    def read_unix_ms(self) -> float:
        """Return the time of day in milliseconds since the epoch."""


class BootClock(AgeClock):
    """Read the kernel's boot-time clock, which includes suspended time."""

    def read(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_unix_ms(self) -> float:
        """Return the time of day in milliseconds since the epoch."""
        return time.time() * MILLISECONDS_PER_SECOND


class LoopClock(AgeClock):
    """Read the clock of the running event loop, which tests control."""

    def read(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def read_unix_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return self.read() * MILLISECONDS_PER_SECOND
