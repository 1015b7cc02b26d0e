"""Errors that no code expects, kept from ending what they have no part in."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from types import TracebackType

import logbook

LOG = logbook.Logger("errors")

# Causes whose trace is logged; all errors are counted.
MAX_LOGGED_CAUSES = 100

# File and line at which an error was raised, and its type.
_Cause = tuple[str, int, str]


class UnexpectedErrors:
    """Count the unexpected errors of one VM, and log each cause once.

    Work that only observes, advises or handles one of many things is contained: its
    error ends neither the request that it belongs to nor what is handled beside it.
    """

    def __init__(self) -> None:
        self.count = 0
        # Called with the name of the work at each error.
        self.on_error: Callable[[str], None] | None = None
        self._logged: set[_Cause] = set()

    def contain(self, work: str, **details: object) -> _Containment:
        """Return a context that records an error instead of raising it."""
        return _Containment(self, work, details)

    def add(self, work: str) -> None:
        """Count an error that is logged elsewhere."""
        self.count += 1
        if self.on_error is not None:
            self.on_error(work)

    def record(self, work: str, error: Exception, **details: object) -> None:
        """Count an error; log it with its trace if its cause is new."""
        self.add(work)
        cause = _find_cause(error)
        if cause in self._logged or len(self._logged) >= MAX_LOGGED_CAUSES:
            return
        self._logged.add(cause)
        LOG.error(
            "unexpected error",
            exc_info=(type(error), error, error.__traceback__),
            extra={"work": work, "cause": repr(error), **details},
        )


class _Containment:
    """Record an error that leaves a block; cancellations and exits pass through."""

    __slots__ = ("_details", "_errors", "_work")

    def __init__(
        self, errors: UnexpectedErrors, work: str, details: dict[str, object]
    ) -> None:
        self._errors = errors
        self._work = work
        self._details = details

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        self._errors.record(self._work, error, **self._details)
        return True


def _find_cause(error: Exception) -> _Cause:
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    if not frames:
        return "", 0, type(error).__name__
    return frames[0].filename, frames[0].lineno or 0, type(error).__name__
