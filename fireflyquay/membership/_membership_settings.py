"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Timing and limits of the membership protocol; times are in seconds."""

    probe_period: float = 0.2
    # Time without a direct answer after which helpers are asked to ping.
    ack_timeout: float = 0.3
    # Additional time for an answer through helpers.
    indirect_timeout: float = 0.4
    # Helpers per indirect probe.
    relays_per_probe: int = 3
    # Time after which a suspect that has not refuted is declared dead.
    suspicion_timeout: float = 1.5
    # A rumor is sent this many times for each decimal digit of the fleet's size.
    dissemination_factor: float = 4.0
    max_rumors_per_message: int = 6
    # Peers that are probed: successors in hash order, and members chosen at random.
    successor_count: int = 2
    random_peer_count: int = 8
    view_refresh_period: float = 10.0
    digest_period: float = 10.0
    join_period: float = 1.0
    max_joins_per_period: int = 3
    # Longest time between join requests to an address that doesn't answer.
    max_join_backoff: float = 10.0
    # Members per message to a joining VM.
    max_members_per_join_response: int = 64
    # Dead members are kept for this time, and at most this many.
    dead_retention: float = 600.0
    max_dead_members: int = 1024
    # A longer time between two events means that the process was paused.
    pause_threshold: float = 1.0
