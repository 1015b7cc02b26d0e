"""Base of messages between entry VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Represent a message between entry VMs; the tag identifies its class."""
