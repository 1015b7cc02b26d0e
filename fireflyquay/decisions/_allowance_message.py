"""Messages by which entry VMs hold a contract's limits together."""

from __future__ import annotations

import msgspec

from fireflyquay.membership._bounds import Amount, Count
from fireflyquay.membership._message import Message
from fireflyquay.world import CustomerId, Incarnation


class Need(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a part of one contract's limits beyond what the holder owns."""

    customer: CustomerId
    # Shares of the limit, from 0 to 1, and the least that is of any use.
    requests: Amount
    least_requests: Amount
    tokens: Amount
    least_tokens: Amount
    # Units beyond the holder's own.
    in_flight: Count
    # Units beyond the holder's own that running requests hold.
    running: Count


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Lend a part of one contract's limits."""

    customer: CustomerId
    # Shares of the limit, from 0 to 1.
    requests: Amount
    tokens: Amount
    # Units.
    in_flight: Count
    # Saved-up requests and tokens that the holder may add to its buckets.
    saved_requests: Amount
    saved_tokens: Amount


class LentUnits(msgspec.Struct, frozen=True, array_like=True):
    """Bound the in-flight units that one holder may have of a steward."""

    holder: Incarnation
    units: Count


class PledgedShare(msgspec.Struct, frozen=True, array_like=True):
    """Leave a part of one contract's limits to a steward."""

    customer: CustomerId
    # Shares of the limit, from 0 to 1.
    requests: Amount
    tokens: Amount
    in_flight: Amount
    # Saved-up requests and tokens handed over.
    saved_requests: Amount
    saved_tokens: Amount
    # Units beyond its own that the member's running requests hold.
    running: Count = 0
    # Bounds on what lost stewards lent of units that the member offers to the
    # steward, and seconds until all of that must have ended.
    orphaned: tuple[LentUnits, ...] = ()
    orphaned_for: Amount = 0.0


class Call(msgspec.Struct, frozen=True, array_like=True):
    """Name a contract whose limits are in demand."""

    customer: CustomerId
    # Part of a member's in-flight floor that is asked for, from 0 to 1.
    in_flight: Amount
    # Part of a member's floors of requests and tokens.
    rates: Amount = 1.0
    # What the steward has lent at most, and may lend until its next call.
    lent: tuple[LentUnits, ...] = ()


class KeptShare(msgspec.Struct, frozen=True, array_like=True):
    """Name the share of the in-flight limit that a steward still counts on."""

    customer: CustomerId
    in_flight: Amount


class AllowanceAsk(Message, frozen=True, tag="allowance_ask", array_like=True):
    """Ask a steward for leases."""

    # Loop time of the holder at sending; the lease runs from here.
    asked_at: Amount
    needs: tuple[Need, ...]


class AllowanceLease(Message, frozen=True, tag="allowance_lease", array_like=True):
    """Answer an ask."""

    asked_at: Amount
    # Seconds from asked_at on the holder's clock.
    lasting: Amount
    loans: tuple[Loan, ...]


class PledgeCall(Message, frozen=True, tag="pledge_call", array_like=True):
    """Ask a member for the part of its floors that it does not need."""

    # Loop time of the steward at sending; the pledge runs from here.
    called_at: Amount
    # Seconds from called_at on the steward's clock.
    lasting: Amount
    calls: tuple[Call, ...]


class Pledge(Message, frozen=True, tag="pledge", array_like=True):
    """Answer a call."""

    called_at: Amount
    # Seconds from called_at on the steward's clock, as in the call.
    lasting: Amount
    shares: tuple[PledgedShare, ...]


class ReturnAsk(Message, frozen=True, tag="return_ask", array_like=True):
    """Ask a steward for in-flight shares that were pledged to it."""

    customers: tuple[CustomerId, ...]


class PledgeReturn(Message, frozen=True, tag="pledge_return", array_like=True):
    """Tell which in-flight shares the steward still counts on."""

    # The newest call whose pledge the steward had when it answered.
    called_at: Amount
    kept: tuple[KeptShare, ...]


class LoansTaken(Message, frozen=True, tag="loans_taken", array_like=True):
    """Tell that the steward counts what lost stewards lent of a member's units."""

    # Loop time of the steward at sending; its later calls include the bounds.
    taken_at: float
    # Loop time of the steward at the call that the offer answered.
    called_at: float
    customers: tuple[CustomerId, ...]


class FloorLeft(Message, frozen=True, tag="floor_left", array_like=True):
    """Tell that the sender uses its floors no more and has lent none of them."""


class CountMe(Message, frozen=True, tag="count_me", array_like=True):
    """Ask a member to count the sender before it uses a floor of its own."""

    # Hash of the incarnations that the sender counts.
    digest: int


class Counted(Message, frozen=True, tag="counted", array_like=True):
    """Tell that the member counts the newcomer from now on."""

    # Seconds until what the member has given away fits its smaller floors.
    rates_wait: Amount
    in_flight_wait: Amount


AllowanceMessage = (
    AllowanceAsk
    | AllowanceLease
    | PledgeCall
    | Pledge
    | ReturnAsk
    | PledgeReturn
    | LoansTaken
    | FloorLeft
    | CountMe
    | Counted
)
