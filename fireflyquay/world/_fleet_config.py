"""Configuration of routes, services and client accounts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ._ids import ClientAccountId, ModelName, ServiceId


class RepeatRule(StrEnum):
    """State whether a request may run more than once."""

    # The request is resent if it may have run, also after a response of status 5xx.
    IDEMPOTENT = "IDEMPOTENT"
    # The request is not resent if it may have run.
    AT_MOST_ONCE = "AT_MOST_ONCE"
    # The request is resent if it may have run, also after a response of status 5xx, and
    # a cut stream is resumed after its last event.
    RESUMABLE = "RESUMABLE"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Assign a share of a route's requests to a service."""

    service: ServiceId
    # Relative to the weights of the route's other shares.
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Configure how requests to one host and path prefix are served."""

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
    # Priority rank; 0 is served first.
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
    """Hold the capacity of each model engine of a service."""

    # Maximum number of requests that an engine runs concurrently.
    slots: int
    # Maximum number of tokens in an engine's memory.
    memory_tokens: int
    # Output tokens per event of a stream.
    tokens_per_event: int
    models: tuple[ModelName, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """Configure a group of interchangeable backend servers."""

    id: ServiceId
    # Maximum number of connections of all entry VMs together to one backend server.
    max_connections: int
    # None for plain services.
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limit the size and duration of client requests."""

    max_header_bytes: int
    max_body_bytes: int
    # Seconds from a request's first byte to the end of its headers.
    header_timeout: float
    # Limit on the idle time of a connection, in seconds.
    idle_timeout: float


class QuotaUnit(StrEnum):
    """Name the unit that a quota counts."""

    REQUEST = "REQUEST"
    TOKEN = "TOKEN"  # noqa: S105


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit the rate of a client account over all VMs together."""

    unit: QuotaUnit
    # Units per second; 0 means no limit.
    rate: float
    # Maximum number of units in a burst.
    burst: float
    # Tokens charged for a request that states no token counts.
    plain_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Hold a client's API keys, rank and quotas.

    In a fleet with contracts, each customer's contract becomes one client account.
    """

    id: ClientAccountId
    keys: frozenset[str]
    # Priority rank that overrides the route's; None to use the route's.
    rank: int | None
    # At most one per unit.
    quotas: tuple[Quota, ...] = ()
    # Maximum number of concurrent requests; None means no limit.
    max_in_flight: int | None = None
    # Weight relative to other client accounts of the same rank. All client accounts
    # with None together have a weight of 1.
    share: float | None = None
    # Ranks by route name, which override all other ranks; requests to other routes are
    # rejected at admission. None if all routes are allowed.
    route_ranks: dict[str, int] | None = None
    # Whether requests of this client account are served.
    is_active: bool = True

    def resolve_rank(self, route: Route) -> int:
        """Return the rank of this client account's requests on a route."""
        if self.route_ranks is not None:
            return self.route_ranks.get(route.name, route.rank)
        return route.rank if self.rank is None else self.rank

    def get_charged_tokens(self, tokens: int | None) -> float:
        """Return the tokens charged for a request; tokens is None if it states none."""
        if tokens is not None:
            return float(tokens)
        return max((quota.plain_tokens for quota in self.quotas), default=0.0)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Hold one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    limits: ClientLimits
    accounts: tuple[ClientAccount, ...]
    # Whether requests carry API keys, except on public routes: without accounts, no key
    # is valid then. None if a VM of an earlier build did not state it.
    requires_keys: bool | None = None

    @property
    def states_keys(self) -> bool:
        """Return whether it is known which requests carry API keys."""
        return self.requires_keys is not None or bool(self.accounts)
