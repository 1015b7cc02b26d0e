"""Freeze the coordinator while a worker leaves that never reports `draining`."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from fleet_2 import Fleet, Record, run_case
from fleet_2._fleet import CONTACT_SECONDS, DRAIN_SECONDS

# `node_freeze` of the site lasts 3.5 s at most.
FREEZE_SECONDS = 3.5
# From the begin of the freeze to the removal of the worker's entry.
LEAVE_AFTER_SECONDS = 1.5
# The worker serves for `drainMs` after its entry is removed, and a little longer.
SERVES_SECONDS = DRAIN_SECONDS + 1.5
REQUESTS_PER_SECOND = 20.0


async def case(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Return whether a request reached the worker later than allowed."""
    await fleet.start(gateways=4, plain=3)
    loop = asyncio.get_running_loop()
    coordinator = await fleet.find_coordinator()
    record.write(f"edge-{coordinator.number} coordinates")
    sent: dict[str, tuple[int, float]] = {}
    tasks: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        gateway = fleet.gateways[number]
        sent_at = loop.time()
        name = f"{number:04x}{len(sent):012x}"
        sent[name] = (number, sent_at)
        _, status, _ = await fleet.send(gateway, "/book/1", request_id=name)
        record.write(f"request {name} to edge-{number} answered {status}")

    async def press() -> None:
        calm = [it.number for it in fleet.gateways if it is not coordinator]
        while True:
            for number in calm:
                tasks.add(asyncio.create_task(send(number)))
            await asyncio.sleep(len(calm) / REQUESTS_PER_SECOND)

    pressing = asyncio.create_task(press())
    # All machines have been in touch for `contactMs`.
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    worker = fleet.workers[0]
    if has_trouble:
        record.write(f"edge-{coordinator.number} freezes")
        coordinator.signal(signal.SIGSTOP)
    frozen_at = loop.time()
    await asyncio.sleep(LEAVE_AFTER_SECONDS)
    fleet.store.remove("servers", worker.name)
    left_at = loop.time()
    record.write(f"the store accepts that worker {worker.name} is gone")
    await asyncio.sleep(frozen_at + FREEZE_SECONDS - loop.time())
    if has_trouble:
        coordinator.signal(signal.SIGCONT)
        record.write(f"edge-{coordinator.number} wakes")
    await asyncio.sleep(left_at + SERVES_SECONDS - loop.time())
    await worker.crash()
    record.write(f"worker {worker.name} exits")
    await asyncio.sleep(1.5)
    pressing.cancel()
    await asyncio.gather(pressing, *tasks, return_exceptions=True)
    late = 0
    for request in worker.received_requests:
        name = request.headers.get("x-request-id", "")
        seconds = request.received_at - left_at
        if seconds <= DRAIN_SECONDS or name not in sent or not request.was_executed:
            continue
        late += 1
        record.write(
            f"worker {worker.name} ran request {name}, taken by edge-{sent[name][0]}, "
            f"{seconds:.3f} s after it was gone (bound {DRAIN_SECONDS} s)"
        )
    record.write(f"{len(sent)} requests were sent, {late} reached the worker too late")
    return late > 0


run_case(Path(__file__).parent, case)
