"""Claims of keys that clients draw for requests that may run only once."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ._call import Call


class KeyClaims(ABC):
    """Let each key run once, however often its client sends it."""

    @abstractmethod
    async def claim(self, call: Call) -> bool:
        """Claim a call's key and tell whether it has one that needs a claim.

        Raises Rejected if the key was claimed before or nobody can tell.
        """

    @abstractmethod
    async def release(self, call: Call) -> None:
        """Give a key back whose request has not run."""
