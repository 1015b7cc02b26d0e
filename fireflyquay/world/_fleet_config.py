"""The configuration of routes, services and client accounts that is in force."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._ids import ClientAccountId, ModelName, ServiceId


class RepeatRule(StrEnum):
    """Say whether a request may run more than once."""

    IDEMPOTENT = "IDEMPOTENT"
    AT_MOST_ONCE = "AT_MOST_ONCE"
    # Runs once; a broken stream goes on after its last event.
    RESUMABLE = "RESUMABLE"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service a part of a route's requests."""

    service: ServiceId
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Describe how requests to a host and path prefix are served."""

    name: str
    host: str
    path_prefix: str
    # Whether the response is a stream of events.
    is_stream: bool
    repeat_rule: RepeatRule
    # Seconds that a request may take in all.
    timeout: float
    # Seconds to the response, or to a stream's first event.
    target_latency: float
    # 0 is the most urgent.
    rank: int
    shares: tuple[ServiceShare, ...]
    # Backend servers that one request may be sent to.
    max_attempts: int
    # Whether requests need no key.
    is_public: bool
    # Seconds between two events of a stream that is on time.
    max_gap: float | None = None


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Describe the model engines of a service."""

    # Requests that one engine runs at once.
    slots: int
    # Tokens that fit into one engine's memory.
    memory_tokens: int
    # Output tokens in one event of a stream.
    tokens_per_event: int
    models: tuple[ModelName, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a group of interchangeable backend servers."""

    id: ServiceId
    # Connections that one backend server accepts from all entry VMs.
    max_connections: int
    # None for plain services.
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bound what clients may send, and how slowly."""

    max_header_bytes: int
    max_body_bytes: int
    # Seconds from a request's first byte to the end of its headers.
    header_timeout: float
    # Seconds that a connection may stay idle.
    idle_timeout: float


class QuotaUnit(StrEnum):
    """Say what a quota counts."""

    REQUEST = "REQUEST"
    TOKEN = "TOKEN"  # noqa: S105


@dataclass(frozen=True, slots=True)
class Quota:
    """Bound what a client account may use over all VMs together."""

    unit: QuotaUnit
    # Units per second, and the units beyond them at once; a rate of 0 has no limit.
    rate: float
    burst: float
    # Tokens of a request that names no token counts.
    plain_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Hold a client's keys, rank and quotas."""

    id: ClientAccountId
    keys: frozenset[str]
    # Goes before the route's rank; None leaves the route's.
    rank: int | None
    # At most one of each unit.
    quotas: tuple[Quota, ...] = ()
    # Requests in progress at once; None has no limit.
    max_in_flight: int | None = None
    # Weight against other client accounts of the same rank; None shares one weight
    # with all that have none.
    share: float | None = None
    # Ranks by route, which then go before all others; routes that are absent are
    # refused. None allows all routes.
    route_ranks: dict[str, int] | None = None
    # Whether its requests are served.
    is_active: bool = True

    def resolve_rank(self, route: Route) -> int:
        """Return the rank of this client account's requests on a route."""
        if self.route_ranks is not None:
            return self.route_ranks.get(route.name, route.rank)
        return route.rank if self.rank is None else self.rank

    def resolve_quota_tokens(self, tokens: int | None) -> float:
        """Return what a request counts by tokens; None if it names no counts."""
        if tokens is not None:
            return float(tokens)
        return max((quota.plain_tokens for quota in self.quotas), default=0.0)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Hold one version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    limits: ClientLimits
    # Empty if requests carry no keys.
    accounts: tuple[ClientAccount, ...]
