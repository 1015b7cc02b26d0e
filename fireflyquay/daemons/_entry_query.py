"""Concurrent queries to the listed entry VMs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fireflyquay.client import Client, EntriesUnreachable, ListedEntry
from fireflyquay.world import Code, FireflyquayError

from ._context import Context

if TYPE_CHECKING:
    from fireflyquay.links import HttpClient

QUERY_TIMEOUT_SECONDS = 3.0
MAX_CONCURRENT_QUERIES = 16
STATUS_OK = 200
REJECTED_TOKEN_STATUSES = (401, 403)


@dataclass(frozen=True, slots=True)
class EntryResponse:
    """Hold the response of one entry VM."""

    host: str
    port: int
    # None if there was no response with status 200.
    body: bytes | None
    # HTTP status, or 0 without a response.
    status: int = 0


async def query_entries(context: Context, target: str) -> list[EntryResponse]:
    """Query listed entry VMs; raise if none responds or all reject the token."""
    seeds = context.get_entry_addresses()
    http = context.make_http_client()
    listed = await _list_entries_or_seeds(seeds, context.get_token(), http)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    headers = {"Authorization": f"Bearer {context.get_token()}"}
    responses = await asyncio.gather(
        *(_query_entry(http, semaphore, entry, target, headers) for entry in listed)
    )
    if all(response.status in REJECTED_TOKEN_STATUSES for response in responses):
        raise FireflyquayError(
            Code.UNKNOWN_CUSTOMER, "The entry VMs rejected the bearer token."
        )
    if all(response.status == 0 for response in responses):
        raise EntriesUnreachable("No entry VM responded.")
    return list(responses)


async def _list_entries_or_seeds(
    seeds: list[tuple[str, int]], token: str, http: HttpClient
) -> tuple[ListedEntry, ...]:
    try:
        return await Client(seeds, token, http).list_entries(QUERY_TIMEOUT_SECONDS)
    except EntriesUnreachable:
        return tuple(ListedEntry(host, port) for host, port in seeds)


async def _query_entry(
    http: HttpClient,
    semaphore: asyncio.Semaphore,
    entry: ListedEntry,
    target: str,
    headers: dict[str, str],
) -> EntryResponse:
    from fireflyquay.links import HttpFailure

    host, port = entry.host, entry.port
    async with semaphore:
        try:
            http_response = await http.request(
                host, port, "GET", target, headers, b"", QUERY_TIMEOUT_SECONDS
            )
        except HttpFailure:
            return EntryResponse(host, port, None, 0)
    body = http_response.body if http_response.status == STATUS_OK else None
    return EntryResponse(host, port, body, http_response.status)
