"""Configuration of routes, services and client accounts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._ids import ClientAccountId, ModelName, ServiceId


class RepeatRule(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "IDEMPOTENT"
    AT_MOST_ONCE = "AT_MOST_ONCE"
    # Runs once; an interrupted stream is resumed after its last event.
    RESUMABLE = "RESUMABLE"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's share of a route's requests."""

    service: ServiceId
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """How requests to one host and path prefix are served."""

    name: str
    host: str
    path_prefix: str
    # Whether the response is a stream of events.
    is_stream: bool
    repeat_rule: RepeatRule
    # Limit on the total time of a request, in seconds.
    timeout: float
    # Target time to the response or to a stream's first event, in seconds.
    target_latency: float
    # Priority; 0 is the most urgent.
    rank: int
    shares: tuple[ServiceShare, ...]
    # Maximum number of backend servers that one request is sent to.
    max_attempts: int
    # Whether requests are accepted without an API key.
    is_public: bool
    # Target for the longest gap between two events of a stream, in seconds.
    max_gap: float | None = None


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each model engine of a service."""

    # Maximum number of requests that one engine runs concurrently.
    slots: int
    # Tokens that fit into one engine's memory.
    memory_tokens: int
    # Output tokens per event of a stream.
    tokens_per_event: int
    models: tuple[ModelName, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers."""

    id: ServiceId
    # Connections that one backend server accepts from all entry VMs together.
    max_connections: int
    # None for plain services.
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of client requests."""

    max_header_bytes: int
    max_body_bytes: int
    # Seconds from a request's first byte to the end of its headers.
    header_timeout: float
    # Limit on the idle time of a connection, in seconds.
    idle_timeout: float


class QuotaUnit(StrEnum):
    """What a quota counts."""

    REQUEST = "REQUEST"
    TOKEN = "TOKEN"  # noqa: S105


@dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of a client account, summed over all VMs."""

    unit: QuotaUnit
    # Units per second (0 means no limit), and the size of a burst in units.
    rate: float
    burst: float
    # Tokens charged for a request that states no token counts.
    plain_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client's API keys, rank and quotas."""

    id: ClientAccountId
    keys: frozenset[str]
    # Overrides the route's rank; None keeps it.
    rank: int | None
    # At most one per unit.
    quotas: tuple[Quota, ...] = ()
    # Maximum number of concurrent requests; None means no limit.
    max_in_flight: int | None = None
    # Weight relative to other client accounts of the same rank. The client accounts
    # with None share one weight.
    share: float | None = None
    # Ranks by route name, which override all other ranks. Requests to other routes
    # are rejected. None allows all routes.
    route_ranks: dict[str, int] | None = None
    # Whether requests of this client account are served.
    is_active: bool = True

    def resolve_rank(self, route: Route) -> int:
        """Return the rank of this client account's requests on a route."""
        if self.route_ranks is not None:
            return self.route_ranks.get(route.name, route.rank)
        return route.rank if self.rank is None else self.rank

    def get_charged_tokens(self, tokens: int | None) -> float:
        """Return the tokens to charge; tokens is None if the request states none."""
        if tokens is not None:
            return float(tokens)
        return max((quota.plain_tokens for quota in self.quotas), default=0.0)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    limits: ClientLimits
    # Empty if requests carry no API keys.
    accounts: tuple[ClientAccount, ...]
