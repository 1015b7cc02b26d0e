"""Writes trail records with this entry VM's name, time and sequence."""

from __future__ import annotations

from fireflyquay.membership import (
    Action,
)
from fireflyquay.world import Incarnation, Request, Step, TrailRecord, Verdict

from ._action import (
    Record,
)


class Recorder:
    """Number and stamp the decisions of one entry VM."""

    def __init__(self, own: Incarnation, epoch_offset: float) -> None:
        self._own = own
        # Seconds to add to loop time to get seconds since the epoch.
        self._epoch_offset = epoch_offset
        self._sequence = 0

    def record(
        self,
        now: float,
        request: Request,
        step: Step,
        target: str = "",
        why: str = "",
        verdict: Verdict | None = None,
    ) -> Action:
        """Return the action that adds a record to the trail."""
        self._sequence += 1
        record = TrailRecord(
            key=request.key,
            attempt=request.attempt,
            step=step,
            node=self._own,
            at=now + self._epoch_offset,
            sequence=self._sequence,
            customer=request.customer,
            kind=request.kind.name,
            target=target,
            why=why,
            verdict=verdict.value if verdict else "",
        )
        return Record(record)
