"""HTTP handlers for the directory of entry VMs and the readiness check."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from fireflyquay.links import HttpRequest, HttpResponder

from ._dialect import Dialect

# Seconds for which clients use a list of addresses. A VM that leaves the list gets no
# new clients after this time.
ENTRY_VMS_TTL_SECONDS = 2.0


class DirectoryHandlers:
    """Serve the directory to clients and the readiness check to the platform."""

    def __init__(
        self,
        dialect: Dialect,
        list_entry_addresses: Callable[[str], Sequence[str]],
        is_ready: Callable[[], bool],
        max_ttl_seconds: float,
    ) -> None:
        self._dialect = dialect
        # Returns the addresses of entry VMs for clients of an availability zone.
        self._list_entry_addresses = list_entry_addresses
        self._is_ready = is_ready
        self._ttl_seconds = min(ENTRY_VMS_TTL_SECONDS, max_ttl_seconds)

    async def serve_entries(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Respond with the addresses of entry VMs that the client may use."""
        addresses = self._list_entry_addresses(request.query.get("zone", ""))
        if not addresses:
            await responder.send(503, {}, b"")
            return
        body = self._dialect.encode_entries(addresses, self._ttl_seconds)
        await responder.send(200, {"Content-Type": "application/json"}, body)

    async def serve_readiness(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Respond with 200 if this VM accepts requests, else 503."""
        await responder.send(200 if self._is_ready() else 503, {}, b"")
