"""What entry VMs ask of a grantor, and what it answers."""

from __future__ import annotations

from fireflyquay.membership import (
    Message,
)
from fireflyquay.world import (
    AttemptId,
    BackendServerId,
    ClientAccountId,
    Code,
    Fingerprint,
    Incarnation,
    ServiceId,
    ZoneId,
)


class SlotRequest(Message, tag="Ask"):
    """Ask for a place at a backend server of a service."""

    # Entry VM and its number of the ask; together they are unique.
    owner: Incarnation
    number: int
    attempt: AttemptId
    service: ServiceId
    account: ClientAccountId
    # Ranks of the client account and the route; lower goes first.
    rank: tuple[int, int]
    zone: ZoneId
    prompt_tokens: int
    output_tokens: int
    # Tokens that the request takes of the client account's quota.
    quota_tokens: float
    # Seconds from now: to the objective, which may have passed; to when the client
    # gives up waiting for output; to the end of its whole time.
    to_objective: float
    to_give_up: float
    to_end: float
    # Seconds between two events that are on time; 0 where there are no events.
    max_gap: float
    # Of caller, path and body.
    fingerprint: Fingerprint
    # Whether the request was sent to a backend server before.
    is_retry: bool = False
    # Backend servers that are not to be chosen.
    excluded: tuple[BackendServerId, ...] = ()


class Grant(Message):
    """Give an ask a place."""

    owner: Incarnation
    number: int
    backend: BackendServerId
    # Seconds that the ask waited.
    waited: float
    # Seconds to the first output that the grantor expects.
    forecast: float


class Refusal(Message):
    """Refuse an ask for good."""

    owner: Incarnation
    number: int
    code: Code
    # Seconds after which the client should come back.
    retry_after: float
    # What decided it, for the log.
    reason: str


Decision = Grant | Refusal
