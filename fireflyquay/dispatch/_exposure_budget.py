"""Budget of requests for a version on trial, reserved by conditional writes.

Guards against a bad version under any load: coordinators that do not know of each other
reserve from the same sum, and what a lost one had reserved stays reserved.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._rollout_messages import PartId, ProgressPart, RolloutProgress, ServerEvidence

# Parts of the stated share and slack that coordinators reserve. The rest covers counts
# of entry VMs that are late or wrong.
SHARE_MARGIN = 0.9
SLACK_MARGIN = 0.9
# Least number of requests that are reserved at a time, and the same as a multiple of a
# backend server's slots: fewer would never fill it.
MIN_BLOCK = 6
BLOCK_SLOTS_FACTOR = 2
# Seconds of the service's load whose share is reserved at a time.
BLOCK_SECONDS = 0.5
# Weight of the latest interval in the moving average of the service's load.
RATE_WEIGHT = 0.3
# Bounds the stored record. Each coordinator of the same roll-out writes one part.
MAX_PARTS = 64


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Hold the bounds that are guaranteed to operators for roll-outs."""

    # Largest part of a service's requests that a bad version gets.
    exposure_share: float
    # Further requests that it may get.
    exposure_slack: float
    # Seconds after the 50th bad response from which it gets none.
    rollback: float


class ExposureBudget:
    """Count a coordinator's requests, and its reservations for the target.

    Nothing is granted beyond the reservations of an acknowledged record.
    """

    def __init__(self, part: PartId, bounds: RolloutBounds) -> None:
        self.part = part
        self._bounds = bounds
        self.seen = 0
        self.granted = 0
        # Reserved by this coordinator, as acknowledged.
        self.reserved = 0
        # Slots of a backend server of the target.
        self.server_slots = 1
        # Whether a block is being spent, until nothing of it is left.
        self._is_spending = False
        self._rate = 0.0
        self._measured_at: float | None = None
        self._measured_seen = 0

    @property
    def unspent(self) -> int:
        """Return the requests that may still be granted to the target."""
        return max(0, self.reserved - self.granted)

    @property
    def may_spend(self) -> bool:
        """Return whether a request may be granted to the target now.

        Saves until a block can fill a backend server, since a version may be bad under
        load only.
        """
        if not self.unspent:
            self._is_spending = False
        elif self.unspent >= self._block:
            self._is_spending = True
        return self._is_spending

    def adopt(self, progress: RolloutProgress) -> None:
        """Use the reservations of a record that was read or written."""
        part = progress.parts.get(self.part)
        self.reserved = 0 if part is None else part.reserved

    def compute_allowance(
        self, progress: RolloutProgress, trial_share: float = 1.0
    ) -> int:
        """Return the requests that all coordinators may reserve together.

        Until the trial is over, one block of the slack is kept for its end: a version
        may turn bad after its first responses.
        """
        slack = 0.0 if progress.has_lost_history else self._bounds.exposure_slack
        slack *= SLACK_MARGIN
        if trial_share < 1.0:
            spread = (slack - self._block) * max(0.0, trial_share)
            slack = min(slack, max(self._block, spread))
        share = self._bounds.exposure_share * SHARE_MARGIN
        return int(progress.seen * share + slack)

    def needs_block(self, now: float) -> bool:
        """Return whether less than a block is reserved."""
        self._measure(now)
        return self.unspent < self._block

    def make_part(
        self, progress: RolloutProgress, evidence: tuple[ServerEvidence, ...]
    ) -> ProgressPart:
        """Return this coordinator's part without further reservations."""
        known = progress.parts.get(self.part, ProgressPart())
        seen = max(self.seen, known.seen)
        return ProgressPart(seen, known.reserved, evidence)

    def reserve(
        self, progress: RolloutProgress, trial_share: float = 1.0
    ) -> RolloutProgress:
        """Return the record with another block, if the bound allows a whole one.

        What is reserved can't be used by another coordinator.
        """
        part = progress.parts[self.part]
        room = self.compute_allowance(progress, trial_share) - progress.reserved
        missing = self._block - max(0, part.reserved - self.granted)
        block = missing if 0 < missing <= room else 0
        grown = ProgressPart(part.seen, part.reserved + block, part.evidence)
        return replace_part(progress, self.part, grown)

    @property
    def _block(self) -> int:
        share = self._bounds.exposure_share
        filling = BLOCK_SLOTS_FACTOR * self.server_slots
        return max(MIN_BLOCK, filling, int(self._rate * share * BLOCK_SECONDS))

    def _measure(self, now: float) -> None:
        if self._measured_at is None:
            self._measured_at, self._measured_seen = now, self.seen
            return
        elapsed = now - self._measured_at
        if elapsed < BLOCK_SECONDS:
            return
        rate = (self.seen - self._measured_seen) / elapsed
        self._rate += RATE_WEIGHT * (rate - self._rate)
        self._measured_at, self._measured_seen = now, self.seen


def replace_part(
    progress: RolloutProgress, part_id: PartId, part: ProgressPart
) -> RolloutProgress:
    """Return the record with one coordinator's part replaced."""
    if part_id not in progress.parts and len(progress.parts) >= MAX_PARTS:
        return progress
    return RolloutProgress(
        progress.target,
        progress.phase,
        progress.started_ms,
        {**progress.parts, part_id: part},
        progress.reason,
        progress.has_lost_history,
        progress.restore_count,
    )


def merge_parts(
    known: RolloutProgress, found: RolloutProgress
) -> dict[PartId, ProgressPart]:
    """Return the parts of two records of a roll-out; counts only grow.

    The store may have come back from a copy that lacks what was acknowledged.
    """
    merged = dict(found.parts)
    for part_id, part in known.parts.items():
        other = merged.get(part_id)
        if other is None or _rank(other) < _rank(part):
            merged[part_id] = part
    return merged


def _rank(part: ProgressPart) -> tuple[int, int]:
    return part.reserved, part.seen
