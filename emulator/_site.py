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
    # A request is on time if its response or first event arrives within this many
    # seconds, and a stream if also no gap between its events is longer than max_gap.
    target_latency: float
    max_gap: float
    # Seconds that clients wait for a response.
    client_timeout: float
    # Credit, the score of a served request: of mean size and on time, and late.
    on_time_credit: float
    late_credit: float
    # Mean tokens of a prompt.
    prompt_tokens: int = 0
    # Tokens of the prompt prefix that requests share.
    shared_tokens: int = 0
    # Mean events of a stream; 0 for plain requests.
    events: int = 0
    # Run time of a plain request in seconds, before the server's factors.
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
    # Maximum batch size in requests.
    slots: int
    # Seconds of a step with one request, and added seconds for each further request.
    step_seconds: float
    step_seconds_per_request: float
    # Prompt tokens prefilled per second, and the most in one step.
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
    """Describe a period in which some kinds have a higher or lower request rate."""

    start: float
    seconds: float
    factor: float
    # Empty for all kinds.
    kinds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Site:
    """Describe a deployment and its traffic."""

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
    # Share of requests whose client disconnects before its timeout.
    disconnect_share: float = 0.02
    # Share of requests whose client retries more often and almost without delay.
    abuser_share: float = 0.0
    # Most seconds for which gateways may still accept a revoked key.
    revoke: float = 5.0
    # Values of the gateways' settings section `promises` that replace the emulator's
    # defaults.
    promises: dict[str, float] = field(default_factory=dict)
    # Values of the gateways' settings section `rollout`; empty if there is none.
    rollout: dict[str, float] = field(default_factory=dict)

    def shrink(self, divisor: int) -> Site:
        """Return a site with as much traffic for each server, but fewer servers."""
        return replace(
            self,
            kinds=tuple(replace(it, rate=it.rate / divisor) for it in self.kinds),
            engines={
                name: replace(model, count=max(1, model.count // divisor))
                for name, model in self.engines.items()
            },
            services={
                name: replace(model, count=max(1, model.count // divisor))
                for name, model in self.services.items()
            },
            vms=max(2, self.vms // divisor),
        )
