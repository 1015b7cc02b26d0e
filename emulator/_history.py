"""Records of requests, attempts, runs, faults and planned changes."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempt:
    """Represent one transmission of a client's request to a gateway."""

    id: str
    # Number of the client's request.
    request: int
    # Host of the gateway, and API key of the client account.
    host: str
    key: str
    sent_at: float
    # When the response ended or the client stopped waiting; None before that.
    ended_at: float | None = None
    # HTTP status; 0 if no response began.
    status: int = 0
    retry_after: float | None = None
    is_complete: bool = False
    client_disconnected: bool = False
    # Error code if the gateway itself rejected the request; empty otherwise.
    code: str = ""
    # Ids of the received events, in order.
    events: list[int] = field(default_factory=list)
    # When the first chunk of the body arrived, and the longest pause between two chunks
    # in seconds.
    first_output_at: float | None = None
    longest_gap: float = 0.0


@dataclass(slots=True)
class Run:
    """Represent the arrival and run of one attempt at a backend server."""

    # Id of the attempt.
    attempt: str
    server: str
    service: str
    # Host of the gateway that sent it.
    host: str
    arrived_at: float
    account: str = ""
    # Id of the last event that the client already has; 0 if it has none.
    resumed_after: int = 0
    began_at: float | None = None
    ended_at: float | None = None
    is_declined: bool = False
    is_complete: bool = False
    # Prompt tokens that the server had to prefill.
    prefilled_tokens: int = 0
    kind: str = ""
    # Software version of the server.
    version: str = ""
    # When the server sent a response that its software made fail or slow.
    bad_at: float | None = None


@dataclass(slots=True)
class ClientRequest:
    """Represent a client's request with all its attempts."""

    number: int
    kind: str
    account: str
    rank: int
    sent_at: float
    prompt_tokens: int
    events: int
    # Credit of this request as a multiple of its kind's mean.
    credit_factor: float
    # Body that makes each backend server that runs the request crash; empty for normal
    # requests. Repetitions of the request have the same body.
    poison: str = ""
    # Parts of the prompt that other requests may share.
    shared_parts: tuple[str, ...] = ()
    attempts: list[Attempt] = field(default_factory=list)
    # When the client disconnected before its timeout; None if it didn't.
    gave_up_at: float | None = None
    # Seconds from sending the request to the first output of the successful attempt;
    # None without one.
    first_output: float | None = None
    # Whether the target latency and, for a stream, the maximum gap were met.
    is_on_time: bool = False
    is_served: bool = False
    ended_at: float | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """Represent an injected fault of a host, a backend server or the store."""

    # One of kill, freeze, cut, store, server.
    kind: str
    target: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Represent an acknowledged change by an operator."""

    # One of leaving, gone, key removed, stop, version, rollout ordered, rollout
    # completed, rollout rolled back.
    kind: str
    target: str
    at: float


@dataclass(slots=True)
class RolloutRecord:
    """Represent an operator's order to move a service to a software version."""

    service: str
    target: str
    # Whether the target's software fails or is slow.
    is_bad: bool
    ordered_at: float
    # Time limit of the verdict.
    ends_at: float
    # State that was written last, and when.
    state: str = ""
    stated_at: float | None = None


@dataclass(slots=True)
class History:
    """Hold the records of one emulation."""

    requests: list[ClientRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    planned_changes: list[PlannedChange] = field(default_factory=list)
    rollouts: list[RolloutRecord] = field(default_factory=list)
    # What unexpected errors of gateways ended, with the gateway's host.
    unexpected_errors: list[str] = field(default_factory=list)
    # Number of calls to the store, and of messages between VMs.
    store_calls: int = 0
    messages: int = 0
    # Quota by account: tokens per second, and burst in tokens.
    quotas: dict[str, tuple[float, float]] = field(default_factory=dict)
    ended_at: float = 0.0

    @property
    def attempts(self) -> list[Attempt]:
        """Return the attempts of all requests."""
        return [attempt for request in self.requests for attempt in request.attempts]

    def is_fault_free(self, host: str, since: float, until: float) -> bool:
        """Return whether a host and the store had no fault in a time span."""
        return not any(
            fault.since < until
            and fault.until > since
            and fault.target in (host, "", "store")
            for fault in self.faults
        )
