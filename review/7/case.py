"""Put an entry that can't be read among the workers', and kill all gateways."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import msgspec
from fleet_2 import Fleet, Record, run_case

# An object of the store holds 1,048,576 bytes at most; this one holds 4,500.
BROKEN_PARTS = 400
UNREADABLE = b'{"service":"plain","history":[%s]}' % b",".join(
    [b'{"t":None}'] * BROKEN_PARTS
)
RECOVERY_SECONDS = 12.0
DOWN_SECONDS = 0.8
REQUESTS = 40


async def case(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Return whether less than a quarter is served once the gateways are back."""
    await fleet.start(gateways=3, plain=3)
    before = await send_all(fleet, record, "before the final fault")
    if has_trouble:
        fleet.store.put("servers", "another-writer", msgspec.Raw(UNREADABLE))
        record.write(
            f"another writer left an entry of {len(UNREADABLE)} bytes that is no JSON"
        )
    await asyncio.sleep(2.0)
    with_entry = await send_all(fleet, record, "beside that entry")
    for gateway in fleet.gateways:
        gateway.signal(signal.SIGKILL)
    record.write("all gateways are killed")
    for gateway in fleet.gateways:
        await gateway.end()
    await asyncio.sleep(DOWN_SECONDS)
    for gateway in fleet.gateways:
        await gateway.start()
    record.write("all gateways start again")
    await asyncio.sleep(RECOVERY_SECONDS + 1.0)
    after = await send_all(fleet, record, f"{RECOVERY_SECONDS} s later")
    record.write(f"served {before}, {with_entry}, then {after} of {REQUESTS} requests")
    if 4 * before < REQUESTS:
        raise RuntimeError("too few requests were served before the fault")
    return 4 * after < REQUESTS


async def send_all(fleet: Fleet, record: Record, when: str) -> int:
    """Send requests to all gateways in turn; return how many were served."""
    served = 0
    for number in range(REQUESTS):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        name, status, _ = await fleet.send(gateway, "/look/1")
        record.write(f"{when}: {name} to edge-{gateway.number} answered {status}")
        served += status == 200
        await asyncio.sleep(0.05)
    return served


run_case(Path(__file__).parent, case)
