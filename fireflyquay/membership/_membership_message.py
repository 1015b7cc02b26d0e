"""Messages and records of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from fireflyquay.world import EntryVm, Incarnation, MemberState, RegionId, ZoneId

from ._field_types import NonNegativeInt
from ._message import Message


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Hold the latest known state of a member."""

    vm: EntryVm
    state: MemberState
    # SWIM's incarnation number, which only the member itself raises, to refute rumors.
    # (Incarnation identifies a process in this project.)
    generation: int
    # Whole seconds since the member's start, as last received.
    uptime: int


class Rumor(msgspec.Struct, frozen=True, array_like=True):
    """Carry the record of one member."""

    incarnation: Incarnation
    zone: ZoneId
    region: RegionId
    host: str
    http_port: NonNegativeInt
    peer_port: NonNegativeInt
    state: MemberState
    generation: NonNegativeInt
    # Whole seconds since the member's start.
    uptime: NonNegativeInt
    # Capacity in percent of the reference VM's.
    strength: NonNegativeInt = 100

    def build_vm(self) -> EntryVm:
        """Return the entry VM that this rumor describes."""
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
    """Carry rumors in another message."""

    rumors: tuple[Rumor, ...] = ()


class Ping(Message):
    """Probe a member."""

    target: Incarnation
    sequence: NonNegativeInt
    gossip: Gossip


class Ack(Message):
    """Acknowledge a ping, directly or through a relay."""

    sequence: NonNegativeInt
    gossip: Gossip


class PingRequest(Message):
    """Request a relay to ping a target that did not answer."""

    target: Incarnation
    sequence: NonNegativeInt


class JoinRequest(Message):
    """Announce the sender to an address, and request the members known there."""

    rumor: Rumor


class JoinResponse(Message, tag="JoinAnswer"):
    """Send a part of the known members to a joining VM."""

    rumors: tuple[Rumor, ...]


class MemberDigest(Message):
    """Send a hash of the sender's members per bucket."""

    bucket_hashes: tuple[int, ...]


class MemberBuckets(Message):
    """Send the members of the buckets whose hashes differ."""

    bucket_indices: tuple[NonNegativeInt, ...]
    rumors: tuple[Rumor, ...]
    # Whether the receiver responds with its rumors that these lack or that differ.
    wants_answer: bool


MembershipMessage = (
    Ack | JoinResponse | JoinRequest | MemberBuckets | MemberDigest | Ping | PingRequest
)
