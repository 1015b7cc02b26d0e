"""The union of all messages between entry VMs, for decoding."""

from __future__ import annotations

from fireflyquay.membership import MembershipMessage

from ._allowance_message import AllowanceMessage
from ._arbiter_message import (
    AskHome,
    Claim,
    Close,
    Fence,
    HomeAnswer,
    WitnessAnswer,
)
from ._book_message import BookBuckets, BookDigest, BookPull, BookPush, BookRevisions
from ._broker_duty import AskHeld
from ._cell_message import Deny, Held, NotBroker, Permit, Release, Unwant, Want
from ._quarantine import CrashReport

BookMessage = BookBuckets | BookDigest | BookPull | BookPush | BookRevisions
BrokerMessage = Held | Release | Unwant | Want
ClientMessage = AskHeld | Deny | NotBroker | Permit
WitnessMessage = Claim | Close | Fence
OwnershipMessage = AskHome | HomeAnswer | WitnessAnswer

PEER_MESSAGE = (
    MembershipMessage
    | BookMessage
    | BrokerMessage
    | ClientMessage
    | WitnessMessage
    | OwnershipMessage
    | AllowanceMessage
    | CrashReport
)
