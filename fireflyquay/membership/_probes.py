"""Probes under way: pings sent, helpers asked, and pings made for others."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Incarnation


@dataclass(slots=True)
class Probe:
    """Hold one ping that waits for its answer."""

    target: Incarnation
    # Loop time after which helpers are asked, in seconds.
    indirect_at: float
    # Loop time after which the target counts as unreachable, in seconds.
    fail_at: float
    is_indirect: bool = False
    # Who asked for it and under which number, when made for another.
    requester: Incarnation | None = None
    requester_sequence: int = 0


class ProbeTracker:
    """Number probes and tell which need help or have failed."""

    def __init__(self, ack_timeout: float, indirect_timeout: float) -> None:
        self._ack_timeout = ack_timeout
        self._indirect_timeout = indirect_timeout
        self._sequence = 0
        self._probes: dict[int, Probe] = {}

    def start(
        self,
        now: float,
        target: Incarnation,
        requester: Incarnation | None = None,
        requester_sequence: int = 0,
    ) -> int:
        """Register a probe and return its number."""
        self._sequence += 1
        indirect_at = now + self._ack_timeout
        fail_at = indirect_at + self._indirect_timeout
        probe = Probe(
            target, indirect_at, fail_at, False, requester, requester_sequence
        )
        self._probes[self._sequence] = probe
        return self._sequence

    def pop_probe(self, sequence: int) -> Probe | None:
        """Remove and return the probe with this number."""
        return self._probes.pop(sequence, None)

    def start_indirect_probes(self, now: float) -> list[tuple[int, Probe]]:
        """Return own probes for which helpers are to be asked now."""
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
        """Remove failed probes and return the targets of our own."""
        failed = [s for s, probe in self._probes.items() if now >= probe.fail_at]
        probes = [self._probes.pop(sequence) for sequence in failed]
        return [probe.target for probe in probes if probe.requester is None]

    def clear(self) -> None:
        """Forget all probes."""
        self._probes.clear()
