"""Messages that decisions ask their daemon to send."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Incarnation

from ._message import Message


class Action:
    """Serve as the base of all actions."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class SendToMember(Action):
    """Send a message to an entry VM known by its incarnation."""

    peer: Incarnation
    message: Message


@dataclass(frozen=True, slots=True)
class SendToAddress(Action):
    """Send a message to an address whose incarnation is not known yet."""

    host: str
    peer_port: int
    message: Message
