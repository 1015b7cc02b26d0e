"""Serves both kinds of work through gateways, kills one midway, shows what held."""

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
# Seconds between requests.
SPACING = 0.02
# Seconds after the first request at which a gateway is killed.
KILL_AFTER = 1.0
# Part of the requests that must be served in spite of it.
LEAST_SERVED = 0.9
# Prompt and output tokens of a draft.
TOKENS = (600, 40)
# Work by the route that carries it.
KINDS = {
    "draft": "long drafts, run once",
    "ask": "questions, resumed after a break",
    "book": "bookings, run once",
    "look": "lookups, may be repeated",
}
STREAMS = ("draft", "ask")


async def main() -> int:
    """Run the demo; return 0 only if every promise held."""
    with tempfile.TemporaryDirectory(prefix="fireflyquay-") as folder:
        path = Path(folder)
        fleet = run_gateway_processes(path, GATEWAYS, SERVICES, ENGINES)
        async with fleet as (cluster, programs):
            print(f"{GATEWAYS} gateways, {ENGINES} engines, {SERVICES} services.")
            outcomes = await serve(cluster, programs)
            return await report(cluster, programs, outcomes, path)


async def serve(cluster: Cluster, programs: list[GatewayProcess]) -> list[Outcome]:
    """Send all kinds of work and kill the coordinator midway."""
    directories = [(program.host, cluster.ports[2]) for program in programs]
    client = Client(directories, random.Random(1))
    sending = asyncio.ensure_future(send_all(client))
    await asyncio.sleep(KILL_AFTER)
    victim = find_coordinator(programs)
    await victim.kill()
    print(f"Killed the coordinating gateway at {victim.host} with work in progress.")
    outcomes = await sending
    await client.close()
    return outcomes


async def send_all(client: Client) -> list[Outcome]:
    """Send each kind's requests, spread over a few seconds."""
    tasks = []
    for number in range(REQUESTS_PER_KIND):
        for kind in KINDS:
            request = ClientRequest(
                f"/{kind}/{number}",
                API_KEY,
                HOST,
                is_idempotent=kind == "look",
                tokens=TOKENS if kind in STREAMS else None,
            )
            tasks.append(asyncio.ensure_future(client.send(request)))
            await asyncio.sleep(SPACING)
    return await asyncio.gather(*tasks)


def find_coordinator(programs: list[GatewayProcess]) -> GatewayProcess:
    """Return the gateway to which another one turned last."""
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


async def report(
    cluster: Cluster,
    programs: list[GatewayProcess],
    outcomes: list[Outcome],
    folder: Path,
) -> int:
    """Print a request's trace and a table; check what backend servers ran."""
    logs = []
    for program in programs:
        path = folder / f"{program.host}.log"
        path.write_bytes(b"".join(program.log_lines))
        logs.append(str(path))
    shown = next(it for it in reversed(outcomes) if it.final_state is FinalState.SERVED)
    print(f"\nWhat the logs tell of {shown.attempt_ids[-1]}:")
    await asyncio.to_thread(run_command, ["trace", shown.attempt_ids[-1], *logs])
    print(f"\n{'work':34}" + "".join(f"{it.value:>11}" for it in FinalState))
    for kind, words in KINDS.items():
        own = [it for it in outcomes if it.request.target.split("/")[1] == kind]
        counts = Counter(it.final_state for it in own)
        print(f"{words:34}" + "".join(f"{counts[it]:11}" for it in FinalState))
    return judge(cluster, outcomes)


def judge(cluster: Cluster, outcomes: list[Outcome]) -> int:
    """Return 0 if nothing ran twice and no client was told wrong."""
    runs = Counter(
        arrival.attempt_id
        for worker in cluster.workers
        for arrival in worker.received_requests
        if arrival.was_executed
    )
    once = [
        it for it in outcomes if not it.request.is_idempotent and not is_resumed(it)
    ]
    doubled = sum(runs[name] > 1 for it in once for name in it.attempt_ids)
    wrong = sum(
        it.final_state is FinalState.NOT_RUN and bool(runs[it.attempt_ids[-1]])
        for it in outcomes
    )
    served = sum(it.final_state is FinalState.SERVED for it in outcomes)
    print(
        f"\nSent {len(outcomes)}, served {served}; "
        f"run twice {doubled}, wrongly told not to have run {wrong}."
    )
    held = not doubled and not wrong and served >= LEAST_SERVED * len(outcomes)
    print("All promises held." if held else "A promise was broken.")
    return 0 if held else 1


def is_resumed(outcome: Outcome) -> bool:
    """Tell whether a request may go on at another engine."""
    return outcome.request.target.startswith("/ask/")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
