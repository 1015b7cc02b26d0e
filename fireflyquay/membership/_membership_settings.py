"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Bound the membership protocol's delays and traffic; times in seconds."""

    probe_period: float = 0.2
    # Wait for a direct answer before helpers are asked.
    ack_timeout: float = 0.3
    # Further wait for an answer through helpers.
    indirect_timeout: float = 0.4
    # Helpers asked per late probe.
    indirect_probe_count: int = 3
    # Time that a suspect has to refute before it is declared dead.
    suspicion_timeout: float = 1.5
    # Updates are sent this often per decimal digit of the fleet's size.
    dissemination_factor: float = 4.0
    max_rumors: int = 6
    # Peers probed in turn: next by hash order, and drawn at random.
    view_successors: int = 2
    view_random_peers: int = 8
    view_refresh_period: float = 10.0
    digest_period: float = 10.0
    join_period: float = 1.0
    max_joins_per_period: int = 3
    # An address that doesn't answer is tried again after at most this.
    max_join_backoff: float = 10.0
    # Members in one message to a newcomer.
    join_chunk_size: int = 64
    # Dead members are remembered this long, and at most this many.
    dead_retention: float = 600.0
    max_dead: int = 1024
    # A gap between events above this means that the process was paused.
    pause_threshold: float = 1.0
