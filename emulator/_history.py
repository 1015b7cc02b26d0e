"""Records of what clients, backend servers and the store observed."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempt:
    """Record one attempt of a client to get a request served by one gateway."""

    id: str
    # Number of the client's request.
    request: int
    # Host of the gateway, and API key of the client account.
    host: str
    key: str
    sent_at: float
    # When the response was complete or cut off; None before that.
    ended_at: float | None = None
    # HTTP status; 0 if no response began.
    status: int = 0
    retry_after: float | None = None
    is_complete: bool = False
    client_disconnected: bool = False
    # Code of the gateway's own error response; empty for others.
    code: str = ""
    # Ids of the received events, in order.
    events: list[int] = field(default_factory=list)
    # When the first bytes of the body arrived, and the longest pause in seconds
    # between two parts after that.
    first_output_at: float | None = None
    longest_gap: float = 0.0


@dataclass(slots=True)
class Run:
    """Record the arrival and run of one attempt at a backend server."""

    # Id of the attempt.
    attempt: str
    server: str
    service: str
    # Host of the gateway that sent it.
    host: str
    arrived_at: float
    account: str = ""
    # Last event that the client already has; 0 if the stream starts at the first.
    resumed_after: int = 0
    began_at: float | None = None
    ended_at: float | None = None
    is_declined: bool = False
    is_complete: bool = False
    # Prompt tokens that the server had to prefill.
    prefilled_tokens: int = 0


@dataclass(slots=True)
class ClientRequest:
    """Record a client's request with all its attempts."""

    number: int
    kind: str
    account: str
    rank: int
    sent_at: float
    prompt_tokens: int
    events: int
    # Credit of this request as a multiple of its kind's mean.
    credit_factor: float
    # Body of a request that crashes each backend server that runs it, the same in all
    # its repetitions; empty for other requests.
    poison: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    # When the client gave up before its timeout; None if it didn't.
    gave_up_at: float | None = None
    # Seconds from the first attempt to the first output of the one that was served;
    # None if none was.
    first_output: float | None = None
    is_on_time: bool = False
    is_served: bool = False
    ended_at: float | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """Record an injected fault of a host, a backend server or the store."""

    # One of kill, freeze, cut, store, server.
    kind: str
    target: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Record an acknowledged change that an operator made."""

    # One of leaving, gone, key removed, stop, version.
    kind: str
    target: str
    at: float


@dataclass(slots=True)
class History:
    """Hold everything that was observed in one emulation."""

    requests: list[ClientRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    planned_changes: list[PlannedChange] = field(default_factory=list)
    # Number of calls to the store, and of messages between VMs.
    store_calls: int = 0
    messages: int = 0
    # Quota by account: tokens per second, and burst in tokens.
    quotas: dict[str, tuple[float, float]] = field(default_factory=dict)
    ended_at: float = 0.0

    @property
    def attempts(self) -> list[Attempt]:
        """Return the attempts of all requests."""
        return [it for request in self.requests for it in request.attempts]

    def is_fault_free(self, host: str, since: float, until: float) -> bool:
        """Return whether no fault affected a host or the store in a time span."""
        return not any(
            it.since < until and it.until > since and it.target in (host, "", "store")
            for it in self.faults
        )
