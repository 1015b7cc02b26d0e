"""Base class and helpers of the oracle's checks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterator

from emulator import History, Run, Site


class Check(ABC):
    """Find violations of one guarantee."""

    @abstractmethod
    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a message for each violation."""


def group_started_runs(history: History) -> dict[str, list[Run]]:
    """Return the started runs by attempt id; an unknown id has none."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        if run.began_at is not None:
            runs[run.attempt].append(run)
    return runs
