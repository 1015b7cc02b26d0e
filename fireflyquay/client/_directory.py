"""Directory of entry VMs, fetched from the entry VMs themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from fireflyquay.world import DECODE_ERRORS

from ._answer import EntriesUnreachable
from ._http_exchange import ConnectionLost, HttpClient, send_request

ENTRIES_PATH = "/v1/entries"
LIST_REQUEST_TIMEOUT_SECONDS = 2.0
MAX_LIST_TTL_SECONDS = 3600.0


class ListedEntry(msgspec.Struct, frozen=True):
    """Hold the address of one listed entry VM."""

    host: str
    port: int


class EntryListBody(msgspec.Struct, frozen=True):
    """Hold the JSON body that lists entry VMs."""

    entries: tuple[ListedEntry, ...]
    # TTL of the list, in seconds.
    keep_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Address:
    """Identify an entry VM by host and port."""

    host: str
    port: int


class EntryDirectory:
    """Cache the list of entry VMs for its TTL."""

    def __init__(
        self, seeds: Sequence[tuple[str, int]], token: str, http: HttpClient
    ) -> None:
        self._seeds = tuple(Address(host, port) for host, port in seeds)
        self._token = token
        self._http = http
        self._entries: tuple[ListedEntry, ...] = ()
        self._expires_at = 0.0

    async def get_entries(
        self, deadline: float, refresh: bool = False
    ) -> tuple[ListedEntry, ...]:
        """Return the listed entry VMs; fetch the list if it expired or refresh is set.

        The deadline is a time of the event loop's clock. Raises EntriesUnreachable if
        no entry VM returns a list before it.
        """
        now = asyncio.get_running_loop().time()
        if self._entries and now < self._expires_at and not refresh:
            return self._entries
        for address in self._list_known_addresses():
            if await self._try_fetch_entries(address, deadline):
                return self._entries
        raise EntriesUnreachable("No entry VM returned a list of entry VMs.")

    def invalidate(self) -> None:
        """Mark the cached list as expired."""
        self._expires_at = 0.0

    def _list_known_addresses(self) -> list[Address]:
        known = [Address(entry.host, entry.port) for entry in self._entries]
        return list(dict.fromkeys([*known, *self._seeds]))

    async def _try_fetch_entries(self, address: Address, deadline: float) -> bool:
        loop = asyncio.get_running_loop()
        timeout = min(LIST_REQUEST_TIMEOUT_SECONDS, deadline - loop.time())
        if timeout <= 0:
            return False
        headers = (("Authorization", f"Bearer {self._token}"),)
        try:
            response = await send_request(
                self._http, address, "GET", ENTRIES_PATH, headers, b"", timeout
            )
            body = msgspec.json.decode(response.body, type=EntryListBody)
        except (ConnectionLost, *DECODE_ERRORS):
            return False
        if response.status != 200 or not body.entries:
            return False
        self._entries = body.entries
        self._expires_at = loop.time() + min(body.keep_seconds, MAX_LIST_TTL_SECONDS)
        return True
