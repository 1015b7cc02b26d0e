"""What a site has and who sends to it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fireflyquay.world import RepeatRule


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of request."""

    name: str
    service: str
    repeat_rule: RepeatRule
    # Requests a second of the whole site.
    rate: float
    rank: int
    # Seconds to the response or first event that are on time, and between events.
    target_latency: float
    max_gap: float
    # Seconds that clients wait.
    client_timeout: float
    # Credit of a mean request that is on time, and of one that is late.
    on_time_credit: float
    late_credit: float
    # Mean tokens read, of which the first are shared by all, and events made.
    prompt_tokens: int = 0
    shared_tokens: int = 0
    events: int = 0
    # Seconds that a plain request runs.
    work: float = 0.0
    # Times that a client comes back.
    max_retries: int = 1

    @property
    def is_stream(self) -> bool:
        """Tell whether the response is a stream of events."""
        return self.events > 0


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Describe the model engines of a service."""

    count: int
    # Requests in one batch.
    slots: int
    # Seconds of a step with one request, and more for each further one.
    step_seconds: float
    step_seconds_per_request: float
    # Tokens read in a second, and at once between two steps.
    prefill_rate: float
    chunk_tokens: int
    # Output tokens in one event.
    tokens_per_event: int
    # Tokens of running requests and kept prompts.
    memory_tokens: int
    # Requests that wait at an engine before it declines.
    queue_limit: int = 4
    # Slowest engine's time as a multiple of the fastest one's.
    spread: float = 1.2


@dataclass(frozen=True, slots=True)
class ServiceModel:
    """Describe the plain servers of a service."""

    count: int
    slots: int
    queue_limit: int = 4
    spread: float = 1.5


@dataclass(frozen=True, slots=True)
class Wave:
    """Multiply the arrivals of some kinds for a while."""

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
    # Seconds one way between zones, inside one, and to clients.
    cross_zone_delay: float = 0.0014
    same_zone_delay: float = 0.0003
    client_delay: float = 0.001
    accounts: int = 5
    # Quota of each account over its mean use; 0 sets none.
    quota_factor: float = 0.0
    # All arrivals over those that the kinds name.
    load: float = 1.0
    waves: tuple[Wave, ...] = ()
    # Prompt and output sizes vary with this log-normal deviation.
    size_deviation: float = 0.6
    # Part of the clients that leave before their time, and part that come back at once.
    disconnect_share: float = 0.02
    abuser_share: float = 0.0
    # Seconds between keys' removal and the last request under them.
    revoke: float = 5.0
    # Further settings of the gateways' promises.
    promises: dict[str, float] = field(default_factory=dict)

    def with_load(self, load: float) -> Site:
        """Return the site under another load."""
        return replace(self, load=load)
