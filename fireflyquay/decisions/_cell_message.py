"""Messages between entry VMs and the broker of a cell of backend servers."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from fireflyquay.membership._bounds import Amount, Count, Finite
from fireflyquay.membership._message import Message
from fireflyquay.world import (
    BackendServerId,
    Code,
    CustomerId,
    PoolId,
    RequestKey,
    Tier,
)


class Outcome(StrEnum):
    """Tell how the use of a permit ended."""

    FINISHED = "FINISHED"
    # The backend server answered with an error or was not reached.
    FAILED = "FAILED"
    # The backend server's process died while it ran the request.
    CRASHED = "CRASHED"
    CANCELLED = "CANCELLED"
    # Nothing was dispatched under the permit.
    UNUSED = "UNUSED"


class Want(Message):
    """Ask the broker for a slot; repeated until a permit or denial arrives."""

    pool: PoolId
    key: RequestKey
    attempt: Count
    tier: Tier
    customer: CustomerId
    # Weight of the customer against others of its tier.
    share: Amount
    prompt_tokens: Count
    # Upper bound of output tokens.
    max_tokens: Count
    prefix_hash: str
    # Seconds left until the answer is no longer useful.
    budget: Finite
    # Backend servers that this attempt must not go to.
    excluded: tuple[BackendServerId, ...] = ()


class Unwant(Message):
    """Withdraw a want; nothing was dispatched for it and nothing will be."""

    pool: PoolId
    key: RequestKey
    attempt: Count


class Permit(Message):
    """Allow one dispatch to one backend server."""

    pool: PoolId
    key: RequestKey
    attempt: Count
    server: BackendServerId
    # Seconds from receipt within which the dispatch must start.
    lifetime: Amount


class Deny(Message):
    """Refuse a want for good."""

    pool: PoolId
    key: RequestKey
    attempt: Count
    code: Code
    # Seconds after which a new attempt makes sense; None for never.
    retry_after: Amount | None


class Release(Message):
    """Give a slot back and tell what was observed while it was held."""

    pool: PoolId
    key: RequestKey
    attempt: Count
    server: BackendServerId
    outcome: Outcome
    # Prompt tokens that the backend server computed, without cached ones.
    prefill_tokens: Count = 0
    # From dispatch to the first token, or to the end without one.
    prefill_seconds: Amount = 0.0
    output_tokens: Count = 0
    # From the first token to the last.
    decode_seconds: Amount = 0.0


class Hold(msgspec.Struct, frozen=True, array_like=True):
    """Describe one request that an entry VM has running."""

    key: RequestKey
    attempt: Count
    server: BackendServerId
    tokens: Count
    tier: Tier


class Held(Message):
    """List everything that the sender has running in the pool."""

    pool: PoolId
    holds: tuple[Hold, ...]


class NotBroker(Message):
    """Tell that the receiver of a want is not the broker of its cell."""

    pool: PoolId
    key: RequestKey
    attempt: Count
