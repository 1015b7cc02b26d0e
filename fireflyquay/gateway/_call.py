"""One client request in progress."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from xxhash import xxh64

from fireflyquay.links import HttpRequest, HttpResponder
from fireflyquay.world import (
    AttemptId,
    BackendServerId,
    Fingerprint,
    RepeatRule,
    ServiceId,
    SoftwareVersion,
    SuspectId,
)

from ._admission import Admission
from ._dialect import Exchange, RequestMetadata, Response

# Time that clients of streams wait for the next event, as the platform defines it: the
# maximum of a fixed time and multiples of the target latency and of the gap objective.
STREAM_TIMEOUT_SECONDS = 2.0
STREAM_TIMEOUT_TARGET_FACTOR = 4.0
STREAM_TIMEOUT_GAP_FACTOR = 8.0


class Outcome(Enum):
    """Name the result of one attempt at a backend server."""

    DELIVERED = "DELIVERED"
    # The backend server states that it did not run the request and never will.
    NOT_RUN = "NOT_RUN"
    # Nothing was sent to the backend server.
    NOT_SENT = "NOT_SENT"
    # The request can't be encoded for any backend server.
    UNSENDABLE = "UNSENDABLE"
    # The backend server ran the request and failed; its response is withheld.
    FAILED = "FAILED"
    # The request may have run; the client has received no byte of a response.
    LOST = "LOST"
    # The response ended early after the client had received a part of it.
    CUT = "CUT"


@dataclass(slots=True, eq=False)
class Call:
    """Track a request from its arrival to its response."""

    request: HttpRequest
    exchange: Exchange
    responder: HttpResponder
    admission: Admission
    service: ServiceId
    # Loop times of the arrival and of the earlier deadline of route and client.
    arrived_at: float
    deadline_at: float
    # Backend servers that the request was sent to, in order.
    tried_backends: list[BackendServerId] = field(default_factory=list)
    # Backend servers that this VM knows to be no choice, though the coordinator granted
    # slots there.
    unusable_backends: list[BackendServerId] = field(default_factory=list)
    # Whether a backend server may have run the request.
    may_have_run: bool = False
    # Whether a grant was charged to the client account.
    is_charged: bool = False
    # Whether this call holds the claim on its idempotency key.
    is_claimed: bool = False
    # Failure response of a backend server, which is sent unless a retry succeeds.
    failure_response: Response | None = None
    # Loop time of the first output, and seconds of the longest gap after it.
    first_output_at: float | None = None
    longest_gap: float = 0.0
    # Software version at which the stream began; None if it has not begun.
    version: SoftwareVersion | None = None
    # Id of the last event that the client received.
    last_event_id: str = ""
    # Whether the client received a part of an event without its end.
    is_inside_event: bool = False
    # What could make this request crash backend servers.
    suspects: tuple[SuspectId, ...] = ()
    # Checks whether the last attempt ended with a crash of its backend server.
    crash_check: asyncio.Task[None] | None = None

    @property
    def rank(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        account = self.admission.account
        route = self.admission.route
        return route.rank if account is None else account.resolve_rank(route)

    @property
    def metadata(self) -> RequestMetadata:
        """Return the metadata of the client's request."""
        return self.exchange.metadata

    @property
    def stream(self) -> AttemptId:
        """Return the attempt that names the stream; empty if it can't be resumed."""
        if self.admission.route.repeat_rule is not RepeatRule.RESUMABLE:
            return AttemptId("")
        return self.metadata.resumed_attempt_id or self.metadata.attempt_id

    @property
    def output_timeout(self) -> float:
        """Return the seconds from arrival that the client waits for output."""
        route = self.admission.route
        total = self.deadline_at - self.arrived_at
        if not route.is_stream:
            return total
        gap = route.max_gap or 0.0
        stream_timeout = max(
            STREAM_TIMEOUT_SECONDS,
            STREAM_TIMEOUT_TARGET_FACTOR * route.target_latency,
            STREAM_TIMEOUT_GAP_FACTOR * gap,
        )
        return min(total, stream_timeout)

    async def send(self, response: Response) -> None:
        """Send a whole response to the client."""
        await self.responder.send(
            response.status,
            response.headers,
            response.body,
            response.ends_with_connection,
        )

    def compute_output_delay(self) -> float | None:
        """Return the seconds from arrival to the first output; None without output."""
        if self.first_output_at is None:
            return None
        return round(self.first_output_at - self.arrived_at, 3)


def met_objectives(call: Call, now: float) -> bool:
    """Return whether a call that ends now met its latency objectives."""
    route = call.admission.route
    if not route.is_stream:
        return now - call.arrived_at <= route.target_latency
    output_delay = call.compute_output_delay()
    if output_delay is None or output_delay > route.target_latency:
        return False
    return route.max_gap is None or call.longest_gap <= route.max_gap


def fingerprint_request(call: Call) -> Fingerprint:
    """Return a hash of a request's target, client account and body."""
    account = call.admission.account
    account_id = b"" if account is None else account.id.encode()
    # NUL is a safe separator: neither a target nor an account id contains it.
    digest = xxh64(b"\0".join((call.request.target, account_id, call.request.body)))
    return Fingerprint(digest.hexdigest())
