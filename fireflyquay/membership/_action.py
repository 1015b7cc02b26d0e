"""Actions that the protocol returns to its caller: messages to send."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.world import Incarnation

from ._message import Message


class Action:
    """Represent an action that the caller performs for the protocol."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class SendToMember(Action):
    """Send a message to a known member."""

    target: Incarnation
    message: Message


@dataclass(frozen=True, slots=True)
class SendToAddress(Action):
    """Send a message to an address at which no member is known."""

    host: str
    peer_port: int
    message: Message
