"""Tells clients which VMs to use, and the platform whether this one is ready."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from fireflyquay.links import HttpRequest, HttpResponder

from ._dialect import Dialect

# Seconds that clients keep a list: a stopping VM gets no new ones after that.
ENTRIES_TTL_SECONDS = 2.0


class Directory:
    """Answer clients and the platform."""

    def __init__(
        self,
        dialect: Dialect,
        list_addresses: Callable[[str], Sequence[str]],
        is_ready: Callable[[], bool],
        max_keep: float,
    ) -> None:
        self._dialect = dialect
        # Returns the addresses of VMs that are fit for clients of a zone.
        self._list_addresses = list_addresses
        self._is_ready = is_ready
        self._ttl = min(ENTRIES_TTL_SECONDS, max_keep)

    async def serve_entries(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Answer with the addresses that clients may use."""
        addresses = self._list_addresses(request.query.get("zone", ""))
        if not addresses:
            await responder.send(503, {}, b"")
            return
        body = self._dialect.encode_entries(addresses, self._ttl)
        await responder.send(200, {"Content-Type": "application/json"}, body)

    async def serve_readiness(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Answer whether this VM takes requests."""
        await responder.send(200 if self._is_ready() else 503, {}, b"")
