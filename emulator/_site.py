"""Description of an emulated site: servers, network, clients and their traffic."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fireflyquay.world import RepeatRule


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of request."""

    name: str
    service: str
    repeat_rule: RepeatRule
    # Requests per second at the whole site.
    rate: float
    rank: int
    # Longest seconds to the response or first event, and between two events, for which
    # the request counts as on time.
    target_latency: float
    max_gap: float
    # Seconds that clients wait for a response.
    client_timeout: float
    # Credit for a request of mean size that is served on time, and for a late one.
    on_time_credit: float
    late_credit: float
    # Mean tokens of a prompt, those of its shared prefix, and mean events of a stream.
    prompt_tokens: int = 0
    shared_tokens: int = 0
    events: int = 0
    # Seconds that a plain request runs.
    work: float = 0.0
    max_retries: int = 1

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self.events > 0


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Describe the model engines of a service."""

    count: int
    # Most requests in one batch.
    slots: int
    # Seconds of a step with one request, and added seconds for each further request.
    step_seconds: float
    step_seconds_per_request: float
    # Prompt tokens prefilled per second, and at most in one step.
    prefill_rate: float
    chunk_tokens: int
    tokens_per_event: int
    # Tokens in memory, of which half may hold cached prompt prefixes.
    memory_tokens: int
    # Requests that an engine queues before it declines further ones.
    queue_limit: int = 4
    # Run time of the slowest server as a multiple of the fastest one's.
    spread: float = 1.2


@dataclass(frozen=True, slots=True)
class ServiceModel:
    """Describe the servers of a plain service."""

    count: int
    slots: int
    queue_limit: int = 4
    spread: float = 1.5


@dataclass(frozen=True, slots=True)
class Wave:
    """Multiply the request rate of some kinds for some seconds."""

    start: float
    seconds: float
    factor: float
    # Empty for all kinds.
    kinds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Site:
    """Describe a whole deployment and its traffic."""

    name: str
    kinds: tuple[Kind, ...]
    engines: dict[str, EngineModel]
    services: dict[str, ServiceModel]
    vms: int = 8
    zones: tuple[str, ...] = ("a", "b", "c")
    # One-way delays in seconds between zones, in one zone, and to clients.
    cross_zone_delay: float = 0.0014
    same_zone_delay: float = 0.0003
    client_delay: float = 0.001
    accounts: int = 5
    # Quota of each account as a multiple of its mean use; 0 for no quota.
    quota_factor: float = 0.0
    # Factor on the request rates of all kinds.
    load: float = 1.0
    waves: tuple[Wave, ...] = ()
    # Deviation of the log-normal distribution of prompt and output sizes.
    size_deviation: float = 0.6
    # Share of requests whose client disconnects before its timeout, and share whose
    # client retries at once and more often.
    disconnect_share: float = 0.02
    abuser_share: float = 0.0
    # Longest seconds from a key's revocation to the last request accepted with it.
    revoke: float = 5.0
    # Settings in the gateways' section `promises` that replace the emulator's.
    promises: dict[str, float] = field(default_factory=dict)

    def with_load(self, load: float) -> Site:
        """Return the site with another load factor."""
        return replace(self, load=load)
