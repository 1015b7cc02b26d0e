"""What all checks of the oracle share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterator

from emulator import History, Run, Site


class Check(ABC):
    """Find breaches of one promise."""

    @abstractmethod
    def find(self, site: Site, history: History) -> Iterator[str]:
        """Yield a sentence for each breach."""


def group_runs(history: History) -> dict[str, list[Run]]:
    """Return what began to run, by attempt and in order."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        if run.began_at is not None:
            runs[run.attempt].append(run)
    return runs
