"""What clients, backend servers and the store saw, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempt:
    """Record one attempt of a client at one gateway."""

    id: str
    request: int
    host: str
    key: str
    sent_at: float
    # When the gateway answered or broke off; None while it has not.
    ended_at: float | None = None
    # 0 if no response began.
    status: int = 0
    retry_after: float | None = None
    # Whether the response was whole.
    is_complete: bool = False
    # Whether the client closed the connection.
    client_disconnected: bool = False
    # Code of a response of the gateway's own.
    code: str = ""
    # Ids of the events that came, in order.
    events: list[int] = field(default_factory=list)
    # Time of the first event or of the whole response, and the longest pause after.
    first_output_at: float | None = None
    longest_gap: float = 0.0


@dataclass(slots=True)
class Run:
    """Record one arrival at a backend server."""

    attempt: str
    server: str
    service: str
    host: str
    arrived_at: float
    account: str = ""
    # First event that was asked for, 0 for all.
    resumed_after: int = 0
    began_at: float | None = None
    ended_at: float | None = None
    is_declined: bool = False
    is_complete: bool = False
    # Prompt tokens that it read.
    prefilled_tokens: int = 0


@dataclass(slots=True)
class ClientRequest:
    """Record a request over all its attempts."""

    number: int
    kind: str
    account: str
    rank: int
    sent_at: float
    prompt_tokens: int
    events: int
    credit_factor: float
    # Names a request that crashes what runs it and comes again; empty for others.
    poison: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    gave_up_at: float | None = None
    # Seconds to the first output of the attempt that was served, None if none was.
    first_output: float | None = None
    is_on_time: bool = False
    is_served: bool = False
    ended_at: float | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """Record that something was wrong with a host, a server or the store."""

    kind: str
    target: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Record an acknowledged change of the operators."""

    # leaving, gone, key removed, version.
    kind: str
    target: str
    at: float


@dataclass(slots=True)
class History:
    """Collect all that was seen."""

    requests: list[ClientRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    planned_changes: list[PlannedChange] = field(default_factory=list)
    # Calls to the store, and messages between VMs.
    store_calls: int = 0
    messages: int = 0
    # Quotas by account: tokens a second, and at once.
    quotas: dict[str, tuple[float, float]] = field(default_factory=dict)
    ended_at: float = 0.0

    @property
    def attempts(self) -> list[Attempt]:
        """Return all attempts of all requests."""
        return [it for request in self.requests for it in request.attempts]

    def is_fault_free(self, host: str, since: float, until: float) -> bool:
        """Tell whether nothing was wrong with a host or the store in a time."""
        return not any(
            it.since < until and it.until > since and it.target in (host, "", "store")
            for it in self.faults
        )
