"""What all checks of the oracle share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterator

from emulator import Evidence, Run, Site


class Check(ABC):
    """Find breaches of one promise."""

    @abstractmethod
    def find(self, site: Site, evidence: Evidence) -> Iterator[str]:
        """Yield a sentence for each breach."""


def group_started_runs(evidence: Evidence) -> dict[str, list[Run]]:
    """Return what began to run, by attempt and in order."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in evidence.runs:
        if run.began_at is not None:
            runs[run.attempt].append(run)
    return runs
