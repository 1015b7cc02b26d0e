"""Take the key of a connected client away with the last tenant of the config."""

from __future__ import annotations

import asyncio
from pathlib import Path

from fleet_2 import Fleet, Record, run_case
from fleetwire.tests.cluster import make_config_spec

REVOKE_SECONDS = 5.0


async def case(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Return whether a request with the removed key ran later than allowed."""
    await fleet.start(gateways=3, plain=2)
    worker_runs: set[str] = set()
    spec = make_config_spec(version=2)
    # Without the disruption, the key is removed too, but its tenant stays.
    spec["tenants"] = [] if has_trouble else [{"name": "hule", "apiKeys": []}]
    fleet.store.put("config", "main", spec)
    removed_at = asyncio.get_running_loop().time()
    record.write("the store accepts version 2, without the key")
    sent: dict[str, float] = {}
    for number in range(80):
        gateway = fleet.gateways[number % 3]
        now = asyncio.get_running_loop().time()
        name, status, _ = await fleet.send(gateway, "/book/1")
        sent[name] = now - removed_at
        record.write(f"request {name} sent {sent[name]:.3f} s later answered {status}")
        await asyncio.sleep(0.1)
    for worker in fleet.workers:
        worker_runs |= {it.attempt_id for it in worker.received_requests}
    late = [it for it, at in sent.items() if at > REVOKE_SECONDS and it in worker_runs]
    record.write(f"{len(late)} requests with the removed key ran too late")
    return bool(late)


run_case(Path(__file__).parent, case)
