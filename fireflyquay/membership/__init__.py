"""Gossip membership of entry VMs, in the manner of SWIM."""

from ._action import Action, SendToAddress, SendToMember
from ._member_table import ChangeKind
from ._membership import Membership
from ._membership_message import (
    Ack,
    JoinRequest,
    JoinResponse,
    MemberBuckets,
    MemberDigest,
    MemberRecord,
    MembershipMessage,
    Ping,
    PingRequest,
)
from ._membership_settings import MembershipSettings
from ._message import Message
from ._rendezvous import rank_members

__all__ = [
    "Ack",
    "Action",
    "ChangeKind",
    "JoinRequest",
    "JoinResponse",
    "MemberBuckets",
    "MemberDigest",
    "MemberRecord",
    "Membership",
    "MembershipMessage",
    "MembershipSettings",
    "Message",
    "Ping",
    "PingRequest",
    "SendToAddress",
    "SendToMember",
    "rank_members",
]
