"""Check of a roll-out: its verdict, and what an untried version received."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import RolloutState

from ._configuration import EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_SECONDS
from ._history import History, RolloutRecord

# Bad responses after which a version must receive nothing within ROLLBACK_SECONDS.
PROVING_RESPONSES = 50


@dataclass(frozen=True, slots=True)
class RolloutSummary:
    """Hold the results of one roll-out."""

    service: str
    target: str
    is_bad: bool
    # Empty if no state was written.
    state: str
    # Seconds from the order to the state that was written last; None without one.
    seconds: float | None
    # Whether the version's verdict is right and came within the time limit.
    is_right: bool
    # Runs of the service and of the target between the order and its time limit, and
    # how many the target was allowed.
    requests: int
    exposed: int
    allowed: float
    # Runs of a bad target that arrived too long after it had proved bad.
    late: int

    @property
    def keeps_bounds(self) -> bool:
        """Return whether a bad version received no more than it was allowed."""
        return not self.is_bad or (self.exposed <= self.allowed and not self.late)


def summarize_rollouts(history: History) -> list[RolloutSummary]:
    """Return the summaries of all roll-outs of an emulation."""
    return [_summarize(history, record) for record in history.rollouts]


def _summarize(history: History, record: RolloutRecord) -> RolloutSummary:
    since, until = record.ordered_at, record.ends_at
    service = [run for run in history.runs if run.service == record.service]
    within = [run for run in service if since <= run.arrived_at <= until]
    target = [run for run in service if run.version == record.target]
    exposed = sum(run.version == record.target for run in within)
    wanted = RolloutState.ROLLED_BACK if record.is_bad else RolloutState.COMPLETED
    stated_at = record.stated_at
    in_time = stated_at is not None and stated_at <= until
    bad_times = sorted(run.bad_at for run in target if run.bad_at is not None)
    late = 0
    if len(bad_times) >= PROVING_RESPONSES:
        last = bad_times[PROVING_RESPONSES - 1] + ROLLBACK_SECONDS
        late = sum(run.arrived_at > last for run in target)
    return RolloutSummary(
        record.service,
        record.target,
        record.is_bad,
        record.state,
        None if stated_at is None else stated_at - since,
        record.state == wanted and in_time,
        len(within),
        exposed,
        EXPOSURE_SHARE * len(within) + EXPOSURE_SLACK,
        late,
    )
