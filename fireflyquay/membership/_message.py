"""Base of messages between entry VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages between entry VMs; the class's tag names the type."""
