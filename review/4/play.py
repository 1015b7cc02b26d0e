"""Stop the coordinating gateway while one tenant asks for more than its quota."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

from common.case import run_case
from common.deployment import (
    HOST,
    PROMISES,
    Deployment,
    Record,
    make_config,
    make_route,
)
from common.raw_client import Channel, make_headers
from common.worker import Answering, Worker

KEY = "key-1"
# The least quota of a tenant at the small sites, in tokens.
RATE, BURST = 36000.0, 36000.0
WINDOW_SECONDS = 8.0
LIMIT = (RATE * WINDOW_SECONDS + BURST) * (1 + PROMISES["quota_overshoot"]) + PROMISES[
    "quota_slack"
]
PROMPT_TOKENS, OUTPUT_TOKENS = 6610, 390
REQUEST_TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
# The tenant asks for 4.1 times its quota: a quota is 1.8 times what is usual, and
# tenants send up to 7.5 times their usual.
REQUESTS_PER_SECOND = 21
TERM_AFTER_SECONDS = 5.0
END_SECONDS = 16.0
WORKERS = 5


async def send_one(
    deployment: Deployment, host: str, sent_at: dict[str, float], counts: Counter
) -> None:
    """Send one request over a new channel."""
    usage = f"{PROMPT_TOKENS},{OUTPUT_TOKENS}"
    headers = make_headers(
        HOST, KEY, 15000, X_Model="m", X_Token_Usage=usage, X_Prompt_Prefix="a1:6610"
    )
    try:
        channel = await Channel.open(host, deployment.client_port)
    except (OSError, TimeoutError):
        counts["no channel"] += 1
        return
    sent_at[headers["X-Request-Id"]] = asyncio.get_running_loop().time()
    await channel.send("POST", "/cert/1", headers, headers["X-Request-Id"].encode())
    answer = await channel.receive()
    channel.close()
    counts[answer.status if answer.is_whole else "cut"] += 1


async def press(
    deployment: Deployment, sent_at: dict[str, float], counts: Counter
) -> None:
    """Send the tenant's requests to all gateways in turn, at a fixed rate."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    tasks = []
    for number in range(int(END_SECONDS * REQUESTS_PER_SECOND)):
        host = deployment.gateways[number % len(deployment.gateways)].host
        tasks.append(asyncio.ensure_future(send_one(deployment, host, sent_at, counts)))
        next_at = started_at + (number + 1) / REQUESTS_PER_SECOND
        await asyncio.sleep(max(0.0, next_at - loop.time()))
    await asyncio.gather(*tasks)


async def stop_coordinator(deployment: Deployment, record: Record) -> None:
    """Stop the coordinating gateway as the platform does, and start it again."""
    await asyncio.sleep(TERM_AFTER_SECONDS)
    gateway = deployment.find_coordinator()
    record.write(f"{gateway.host} coordinates")
    gateway.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(PROMISES["stop_grace"]):
            await gateway.wait()
    except TimeoutError:
        await gateway.kill()
    await gateway.start()


def find_highest_usage(sent_at: dict[str, float], workers: list[Worker]) -> float:
    """Return the most tokens that were sent and run within some window."""
    runs = sorted(
        (sent_at[name], ran_at)
        for worker in workers
        for name, ran_at in worker.runs
        if name in sent_at
    )
    return max(
        sum(
            REQUEST_TOKENS
            for sent, ran in runs
            if start <= sent and ran <= start + WINDOW_SECONDS
        )
        for start, _ in runs
    )


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the tenant's usage stayed within its quota."""
    deployment = Deployment(record)
    event = b"id: 1\ndata: report\n\n"
    answering = Answering(0.1, event, content_type="text/event-stream")
    workers = [
        Worker("llm", record, deployment, answering, logs_runs=False)
        for _ in range(WORKERS)
    ]
    route = {"kind": "streaming", "maxAttempts": 1, "timeoutMs": 15000}
    quota = {"unit": "token_count", "plainTokens": 200}
    engine = {"slots": 10, "kvCapacity": 529743, "stride": 5, "models": [{"name": "m"}]}
    config = make_config(
        [make_route("cert", "llm", targetLatencyMs=800, targetGapMs=200, **route)],
        [
            {
                "name": "llm",
                "healthPath": "/health",
                "maxConnections": 370,
                "engine": engine,
            }
        ],
        [{"name": "hule", "apiKeys": [KEY], "ratePerS": RATE, "burst": BURST, **quota}],
    )
    sent_at: dict[str, float] = {}
    counts: Counter = Counter()
    try:
        await deployment.store.start()
        for worker in workers:
            await worker.start()
        await deployment.start(config)
        await asyncio.sleep(4.0)
        record.write(f"the tenant sends {REQUESTS_PER_SECOND} requests a second")
        tasks = [press(deployment, sent_at, counts)]
        if has_trouble:
            tasks.append(stop_coordinator(deployment, record))
        await asyncio.gather(*tasks)
        usage = find_highest_usage(sent_at, workers)
        record.write(f"answers: {dict(counts)}")
        per_second = Counter(
            int(at - min(sent_at.values()))
            for worker in workers
            for _, at in worker.runs
        )
        record.write(f"requests run in each second: {sorted(per_second.items())}")
        record.write(
            f"most tokens sent and run in {WINDOW_SECONDS:g} s: {usage:.0f}; "
            f"allowed: {LIMIT:.0f}"
        )
        return usage <= LIMIT
    finally:
        await deployment.close()
        for worker in workers:
            await worker.close()


run_case(Path(__file__).parent, play)
