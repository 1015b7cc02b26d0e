"""Notices that tell entry VMs of an accepted change at once."""

from __future__ import annotations

import msgspec

from fireflyquay.contracts import (
    StoredValue,
)

from ._context import Context

NOTICE_TARGET = "/v1/notice"
NOTICE_TIMEOUT_S = 2.0
# Entry VMs that pass a change on to the others.
NOTIFIED_ENTRIES = 2
STATUS_OK = 200


async def notify_entries(context: Context, stored: StoredValue) -> None:
    """Tell the entry VMs that were named, so that the change needs no store.

    Without any named the entry VMs learn of it from the store.
    """
    if not context.has_entries():
        return
    body = msgspec.json.encode(stored)
    headers = {
        "Authorization": f"Bearer {context.get_token()}",
        "Content-Type": "application/json",
    }
    told = 0
    for host, port in context.get_entries():
        told += await _notify(context, host, port, headers, body)
        if told >= NOTIFIED_ENTRIES:
            return
    if not told:
        context.warn("No entry VM took the notice; they learn it from the store.")


async def _notify(
    context: Context, host: str, port: int, headers: dict[str, str], body: bytes
) -> bool:
    from fireflyquay.links import HttpFailure

    try:
        reply = await context.open_http().request(
            host, port, "POST", NOTICE_TARGET, headers, body, NOTICE_TIMEOUT_S
        )
    except HttpFailure:
        return False
    return reply.status == STATUS_OK
