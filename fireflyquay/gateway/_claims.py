"""Claims on idempotency keys, for requests that may run only once."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ._call import Call


class KeyClaims(ABC):
    """Ensure that the request of an idempotency key runs at most once."""

    @abstractmethod
    async def claim(self, call: Call) -> bool:
        """Claim a call's key; return False if it has none that needs a claim.

        Raises RejectionError if the key is claimed or the claim can't be verified.
        """

    @abstractmethod
    async def release(self, call: Call) -> None:
        """Release the key of a request that has not run."""
