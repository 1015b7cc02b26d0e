"""Base of the messages that entry VMs send each other."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Serve as the base of every message between entry VMs."""
