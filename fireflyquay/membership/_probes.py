"""Probes under way: pings sent, helpers asked, and pings made for others."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Incarnation


@dataclass(slots=True)
class Probe:
    """Hold one ping that waits for its answer."""

    target: Incarnation
    # Loop time after which helpers are asked, in seconds.
    ask_at: float
    # Loop time after which the target counts as unreachable, in seconds.
    fail_at: float
    asked: bool = False
    # Who asked for it and under which number, when made for another.
    origin: Incarnation | None = None
    origin_sequence: int = 0


class ProbeSet:
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
        origin: Incarnation | None = None,
        origin_sequence: int = 0,
    ) -> int:
        """Register a probe and return its number."""
        self._sequence += 1
        ask_at = now + self._ack_timeout
        fail_at = ask_at + self._indirect_timeout
        probe = Probe(target, ask_at, fail_at, False, origin, origin_sequence)
        self._probes[self._sequence] = probe
        return self._sequence

    def finish(self, sequence: int) -> Probe | None:
        """Remove and return the probe with this number."""
        return self._probes.pop(sequence, None)

    def take_late(self, now: float) -> list[tuple[int, Probe]]:
        """Return own probes for which helpers are to be asked now."""
        late = []
        for sequence, probe in self._probes.items():
            if probe.asked or probe.origin is not None or now < probe.ask_at:
                continue
            probe.asked = True
            late.append((sequence, probe))
        return late

    def take_failed(self, now: float) -> list[Incarnation]:
        """Remove failed probes and return the targets of our own."""
        failed = [s for s, probe in self._probes.items() if now >= probe.fail_at]
        probes = [self._probes.pop(sequence) for sequence in failed]
        return [probe.target for probe in probes if probe.origin is None]

    def clear(self) -> None:
        """Forget all probes."""
        self._probes.clear()
