"""Probes in progress: direct, indirect, and at the request of other members."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Incarnation


@dataclass(slots=True)
class PendingProbe:
    """Hold the state of a ping that has not been acknowledged."""

    target: Incarnation
    # Loop time in seconds after which relays are requested to ping the target.
    indirect_at: float
    # Loop time in seconds after which the probe has failed.
    fail_at: float
    # Whether relays have been requested to ping the target.
    is_indirect: bool = False
    # Member that requested the probe; None if this entry VM started it.
    requester: Incarnation | None = None
    # Sequence number in the requester's message.
    requester_sequence: int = 0


class ProbeTracker:
    """Track probes by sequence number, and find those that are late or failed."""

    def __init__(self, ack_timeout: float, indirect_timeout: float) -> None:
        self._ack_timeout = ack_timeout
        self._indirect_timeout = indirect_timeout
        self._sequence = 0
        self._probes: dict[int, PendingProbe] = {}

    def start(
        self,
        now: float,
        target: Incarnation,
        requester: Incarnation | None = None,
        requester_sequence: int = 0,
    ) -> int:
        """Register a probe and return its sequence number."""
        self._sequence += 1
        indirect_at = now + self._ack_timeout
        fail_at = indirect_at + self._indirect_timeout
        probe = PendingProbe(
            target, indirect_at, fail_at, False, requester, requester_sequence
        )
        self._probes[self._sequence] = probe
        return self._sequence

    def pop_probe(self, sequence: int) -> PendingProbe | None:
        """Remove and return the probe with a sequence number; None if there is none."""
        return self._probes.pop(sequence, None)

    def start_indirect_probes(self, now: float) -> list[tuple[int, PendingProbe]]:
        """Mark late probes of this VM as indirect; return them by sequence number."""
        late = []
        for sequence, probe in self._probes.items():
            if (
                probe.is_indirect
                or probe.requester is not None
                or now < probe.indirect_at
            ):
                continue
            probe.is_indirect = True
            late.append((sequence, probe))
        return late

    def pop_failed_targets(self, now: float) -> list[Incarnation]:
        """Remove failed probes, and return the targets of those this VM started."""
        failed = [s for s, probe in self._probes.items() if now >= probe.fail_at]
        probes = [self._probes.pop(sequence) for sequence in failed]
        return [probe.target for probe in probes if probe.requester is None]

    def clear(self) -> None:
        """Remove all probes."""
        self._probes.clear()
