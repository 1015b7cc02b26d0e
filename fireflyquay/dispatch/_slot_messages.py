"""Requests for slots and the decisions on them."""

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
    """Request a slot on a backend server of a service."""

    # The entry VM and its sequence number; unique together.
    owner: Incarnation
    number: int
    attempt_id: AttemptId
    service: ServiceId
    account: ClientAccountId
    # Ranks of the client account and of the route; lower ranks are served first.
    rank: tuple[int, int]
    zone: ZoneId
    prompt_tokens: int
    max_output_tokens: int
    # Tokens that the request consumes of the quota of its client account.
    quota_tokens: float
    # Seconds from now until the latency objective, negative if it has passed; until the
    # client gives up waiting for output; until the deadline of the whole request.
    seconds_to_objective: float
    seconds_to_give_up: float
    seconds_to_deadline: float
    # Longest allowed gap between two stream events in seconds; 0 without a stream.
    max_gap: float
    # Hash of the caller, path and body.
    fingerprint: Fingerprint
    # Whether the request was sent to another backend server before.
    is_retry: bool = False
    # Backend servers that must not be chosen.
    excluded: tuple[BackendServerId, ...] = ()


class Grant(Message):
    """Grant a slot to a request."""

    owner: Incarnation
    number: int
    backend: BackendServerId
    # Seconds that the request waited.
    waited: float
    # Seconds until the expected first output.
    forecast: float


class Refusal(Message):
    """Refuse a slot request; the decision is final."""

    owner: Incarnation
    number: int
    code: Code
    # Seconds after which the client should retry.
    retry_after: float
    # Cause of the refusal, for the log.
    reason: str


Decision = Grant | Refusal
