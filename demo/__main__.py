"""Run traffic through gateways, kill the coordinator and check the guarantees."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

from fleetwire.tests.client import Client, ClientRequest, FinalState, Outcome
from fleetwire.tests.cluster import API_KEY, HOST, Cluster
from fleetwire.tests.fleet import GatewayProcess, run_gateway_processes

from fireflyquay.daemons import main as run_command

GATEWAYS = 3
ENGINES = 3
SERVICES = 2
REQUESTS_PER_KIND = 40
REQUEST_INTERVAL_SECONDS = 0.02
# Time from the first request to the kill of the coordinator.
KILL_AFTER_SECONDS = 1.0
# Share of the requests that must be served despite the kill.
MIN_SERVED_SHARE = 0.9
# Size of each streamed request.
PROMPT_AND_OUTPUT_TOKENS = (600, 40)
# Kinds of requests by the first part of their paths.
KIND_DESCRIPTIONS = {
    "draft": "long drafts, run once",
    "ask": "questions, resumed if interrupted",
    "book": "bookings, run once",
    "look": "lookups, idempotent",
}
STREAM_KINDS = ("draft", "ask")


async def main() -> int:
    """Run the demo; return 0 only if no guarantee was violated."""
    with tempfile.TemporaryDirectory(prefix="fireflyquay-") as folder:
        path = Path(folder)
        fleet = run_gateway_processes(path, GATEWAYS, SERVICES, ENGINES)
        async with fleet as (cluster, programs):
            print(
                f"Started {GATEWAYS} gateways, {ENGINES} engines, {SERVICES} services."
            )
            outcomes = await run_traffic(cluster, programs)
            return await print_report(cluster, programs, outcomes, path)


async def run_traffic(
    cluster: Cluster, programs: list[GatewayProcess]
) -> list[Outcome]:
    """Send all kinds of requests and kill the coordinator while they run."""
    directories = [(program.host, cluster.ports[2]) for program in programs]
    client = Client(directories, random.Random(1))
    send_task = asyncio.ensure_future(send_requests(client))
    await asyncio.sleep(KILL_AFTER_SECONDS)
    coordinator = find_coordinator(programs)
    await coordinator.kill()
    print(f"Killed the coordinator at {coordinator.host} with requests in progress.")
    outcomes = await send_task
    await client.close()
    return outcomes


async def send_requests(client: Client) -> list[Outcome]:
    """Send requests of all kinds in turn at a fixed interval."""
    tasks = []
    for number in range(REQUESTS_PER_KIND):
        for kind in KIND_DESCRIPTIONS:
            request = ClientRequest(
                f"/{kind}/{number}",
                API_KEY,
                HOST,
                is_idempotent=kind == "look",
                tokens=PROMPT_AND_OUTPUT_TOKENS if kind in STREAM_KINDS else None,
            )
            tasks.append(asyncio.ensure_future(client.send(request)))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    return await asyncio.gather(*tasks)


def find_coordinator(programs: list[GatewayProcess]) -> GatewayProcess:
    """Return the gateway that the others chose as coordinator most often."""
    incarnations = {}
    for program in programs:
        for event in program.events:
            if event["event"] == "started":
                incarnations[event["incarnation"]] = program
    chosen = Counter(
        event["after"]
        for program in programs
        for event in program.events
        if event["event"] == "coordinator changed" and event["after"] in incarnations
    )
    return incarnations[chosen.most_common(1)[0][0]] if chosen else programs[0]


async def print_report(
    cluster: Cluster,
    programs: list[GatewayProcess],
    outcomes: list[Outcome],
    folder: Path,
) -> int:
    """Print the trace of a request and a table of outcomes; check the guarantees."""
    logs = []
    for program in programs:
        path = folder / f"{program.host}.log"
        path.write_bytes(b"".join(program.log_lines))
        logs.append(str(path))
    shown = next(it for it in reversed(outcomes) if it.final_state is FinalState.SERVED)
    print(f"\nLog events of {shown.attempt_ids[-1]}:")
    await asyncio.to_thread(run_command, ["trace", shown.attempt_ids[-1], *logs])
    print(f"\n{'requests':34}" + "".join(f"{it.value:>11}" for it in FinalState))
    for kind, description in KIND_DESCRIPTIONS.items():
        own = [it for it in outcomes if it.request.target.split("/")[1] == kind]
        counts = Counter(it.final_state for it in own)
        print(f"{description:34}" + "".join(f"{counts[it]:11}" for it in FinalState))
    return check_guarantees(cluster, outcomes)


def check_guarantees(cluster: Cluster, outcomes: list[Outcome]) -> int:
    """Return 0 if no request ran twice and no client got a false NOT_RUN."""
    runs = Counter(
        arrival.attempt_id
        for worker in cluster.workers
        for arrival in worker.received_requests
        if arrival.was_executed
    )
    once = [
        it for it in outcomes if not it.request.is_idempotent and not is_resumable(it)
    ]
    run_twice = sum(runs[name] > 1 for it in once for name in it.attempt_ids)
    falsely_not_run = sum(
        it.final_state is FinalState.NOT_RUN and bool(runs[it.attempt_ids[-1]])
        for it in outcomes
    )
    served = sum(it.final_state is FinalState.SERVED for it in outcomes)
    print(
        f"\nSent {len(outcomes)}, served {served}; "
        f"run twice {run_twice}, falsely reported as not run {falsely_not_run}."
    )
    is_success = (
        not run_twice
        and not falsely_not_run
        and served >= MIN_SERVED_SHARE * len(outcomes)
    )
    print("All guarantees held." if is_success else "A guarantee was violated.")
    return 0 if is_success else 1


def is_resumable(outcome: Outcome) -> bool:
    """Return whether a request may be resumed at another engine."""
    return outcome.request.target.startswith("/ask/")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
