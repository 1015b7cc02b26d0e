"""One client request in progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from xxhash import xxh64

from fireflyquay.links import HttpRequest, HttpResponder
from fireflyquay.world import BackendServerId, Fingerprint, ServiceId

from ._admission import Admission
from ._dialect import Exchange, RequestMetadata, Response

# What clients of streams bear between events and before the first one, as the platform
# states: the longest of a fixed time, a multiple of the objective and one of the gap.
STREAM_TIMEOUT_SECONDS = 2.0
STREAM_TIMEOUT_TARGET_FACTOR = 4.0
STREAM_TIMEOUT_GAP_FACTOR = 8.0


class Outcome(Enum):
    """Say how sending a request to a backend server ended."""

    DELIVERED = "DELIVERED"
    # The backend server did not run it and never will.
    NOT_RUN = "NOT_RUN"
    # Nothing was sent to the backend server.
    NOT_SENT = "NOT_SENT"
    # It can't be written as a request to any backend server.
    UNSENDABLE = "UNSENDABLE"
    # The backend server ran it and failed; the response is held back.
    FAILED = "FAILED"
    # It may have run; the client has no byte of a response.
    LOST = "LOST"
    # A stream broke off after the client got a part of it.
    CUT = "CUT"


@dataclass(slots=True)
class Call:
    """Track a request from its arrival to its response."""

    request: HttpRequest
    exchange: Exchange
    responder: HttpResponder
    admission: Admission
    service: ServiceId
    # Loop times: arrival, and when the route or the client ends it.
    arrived_at: float
    ends_at: float
    # Backend servers that it was sent to, the last one last.
    tried: list[BackendServerId] = field(default_factory=list)
    # Whether a backend server may have run it.
    may_have_run: bool = False
    # Whether its key is claimed.
    is_claimed: bool = False
    # A backend server's failure that is passed on if nothing better comes.
    held_failure: Response | None = None
    # Loop time of the first output, and seconds of the longest gap after it.
    first_output_at: float | None = None
    longest_gap: float = 0.0
    # Id of the last event that the client got.
    last_event: str = ""

    @property
    def rank(self) -> int:
        """Return the order of urgency, 0 first."""
        account = self.admission.account
        route = self.admission.route
        return route.rank if account is None else account.choose_rank(route)

    @property
    def metadata(self) -> RequestMetadata:
        """Return what the client's request says."""
        return self.exchange.metadata

    @property
    def output_timeout(self) -> float:
        """Return the seconds from arrival in which the client awaits output."""
        route = self.admission.route
        whole = self.ends_at - self.arrived_at
        if not route.is_stream:
            return whole
        gap = route.max_gap or 0.0
        silence = max(
            STREAM_TIMEOUT_SECONDS,
            STREAM_TIMEOUT_TARGET_FACTOR * route.target_latency,
            STREAM_TIMEOUT_GAP_FACTOR * gap,
        )
        return min(whole, silence)

    def compute_first_output_seconds(self) -> float | None:
        """Return the seconds from arrival to the first output, None without one."""
        if self.first_output_at is None:
            return None
        return round(self.first_output_at - self.arrived_at, 3)


def met_objectives(call: Call, now: float) -> bool:
    """Tell whether a call that ends now was answered within its objectives."""
    route = call.admission.route
    if not route.is_stream:
        return now - call.arrived_at <= route.target_latency
    first = call.compute_first_output_seconds()
    if first is None or first > route.target_latency:
        return False
    return route.max_gap is None or call.longest_gap <= route.max_gap


def fingerprint_request(call: Call) -> Fingerprint:
    """Return what a request has in common with a copy that the client sends again."""
    account = call.admission.account
    name = b"" if account is None else account.id.encode()
    # Neither a target nor a name holds the separator's NUL.
    digest = xxh64(b"\0".join((call.request.target, name, call.request.body)))
    return Fingerprint(digest.hexdigest())
