"""Messages and records of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from fireflyquay.world import EntryVm, Incarnation, MemberState, RegionId, ZoneId

from ._bounds import Count
from ._message import Message


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Hold what an entry VM gossips of itself and others believe of it."""

    vm: EntryVm
    state: MemberState
    # Refutation number; only the entry VM itself raises it.
    generation: int
    # Whole seconds since its start, as last told.
    uptime: int


class Rumor(msgspec.Struct, frozen=True, array_like=True):
    """Carry the full record of one member."""

    incarnation: Incarnation
    zone: ZoneId
    region: RegionId
    host: str
    http_port: Count
    peer_port: Count
    state: MemberState
    generation: Count
    # Whole seconds since its start.
    uptime: Count
    strength: Count = 100

    def build_vm(self) -> EntryVm:
        """Return the entry VM that this speaks of."""
        return EntryVm(
            incarnation=self.incarnation,
            zone=self.zone,
            region=self.region,
            host=self.host,
            http_port=self.http_port,
            peer_port=self.peer_port,
            strength=self.strength,
        )


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Carry updates on other messages."""

    rumors: tuple[Rumor, ...] = ()


class Ping(Message):
    """Ask the target for a sign of life."""

    target: Incarnation
    sequence: Count
    gossip: Gossip


class Ack(Message):
    """Answer a ping, directly or through a helper."""

    sequence: Count
    gossip: Gossip


class PingRequest(Message):
    """Ask a helper to ping a target that did not answer."""

    target: Incarnation
    sequence: Count


class JoinRequest(Message):
    """Introduce the sender to an address and ask for its members."""

    rumor: Rumor


class JoinResponse(Message, tag="JoinAnswer"):
    """Carry a part of the members to a newcomer."""

    rumors: tuple[Rumor, ...]


class MemberDigest(Message):
    """Carry a hash per bucket of the sender's members."""

    buckets: tuple[int, ...]


class MemberBuckets(Message):
    """Carry all members of the buckets that differ."""

    indices: tuple[Count, ...]
    rumors: tuple[Rumor, ...]
    # Whether the receiver should send what is newer or missing here.
    wants_answer: bool


MembershipMessage = (
    Ack | JoinResponse | JoinRequest | MemberBuckets | MemberDigest | Ping | PingRequest
)
