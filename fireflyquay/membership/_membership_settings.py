"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Configure timing and limits of the membership protocol; times are in seconds."""

    probe_period: float = 0.2
    # Time without a direct answer after which relays are requested to ping.
    ack_timeout: float = 0.3
    # Additional time for an answer through relays.
    indirect_timeout: float = 0.4
    # Number of members that are requested to ping the target of an indirect probe.
    relays_per_probe: int = 3
    # Time after which a member that has not refuted its suspicion is declared dead.
    suspicion_timeout: float = 1.5
    # Transmissions of a rumor per factor of ten in the number of members; at least 2.
    dissemination_factor: float = 4.0
    max_rumors_per_message: int = 6
    # Probed peers that follow the member in hash order.
    successor_count: int = 2
    # Probed peers that are selected at random.
    random_peer_count: int = 8
    view_refresh_period: float = 10.0
    digest_period: float = 10.0
    join_period: float = 1.0
    max_joins_per_period: int = 3
    # Longest time between join requests to an address that doesn't answer.
    max_join_backoff: float = 10.0
    max_members_per_join_response: int = 64
    # Time for which dead members stay in the table.
    dead_retention: float = 600.0
    # Above this number, the oldest dead members are removed earlier.
    max_dead_members: int = 1024
    # A longer time between two events means that the process was paused.
    pause_threshold: float = 1.0
