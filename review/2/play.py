"""Kill all gateways just after the workers of one software version have left."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path

from common.case import run_case
from common.deployment import HOST, Deployment, Record, make_config, make_route
from common.raw_client import Channel, make_headers
from common.stream_worker import EVENTS, StreamWorker

KEY = "key-1"
TIMEOUT_MS = 12000
STREAMS = 36
# Both versions serve side by side for so long before anything happens.
SIDE_BY_SIDE_SECONDS = 32.0
# From the start of the streams until the old version's entries are removed, from then
# until all gateways are killed, and until they start again.
LEAVE_AFTER_SECONDS, KILL_AFTER_SECONDS, DOWN_SECONDS = 1.0, 0.8, 1.0
# Workers serve for `drainMs` and a little longer after the removal of their entries.
SERVING_SECONDS = 2.5
CLIENT_RETRIES = 3
# Whether clients name the attempt that brought the first event, as newer pages have it.
NAMES_FIRST_ATTEMPT = os.environ.get("RESUMES", "1") != "0"
RETRY_SECONDS = 1.2


@dataclass
class Stream:
    """Hold what a client has of one stream."""

    first_attempt: str = ""
    last_event: int = 0
    texts: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    is_complete: bool = False

    @property
    def versions(self) -> list[str]:
        """Return the versions that wrote it, in order."""
        return list(dict.fromkeys(text.split()[0] for text in self.texts))

    def add(self, body: bytes) -> None:
        """Add the whole events of an answer."""
        for event in body.split(b"\n\n")[:-1]:
            number, text = event.decode().split("\n")
            self.last_event = int(number.removeprefix("id: "))
            self.texts.append(text.removeprefix("data: "))


async def take(deployment: Deployment, number: int, record: Record) -> Stream:
    """Send one request, and resume its stream after a broken channel."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + TIMEOUT_MS / 1000
    stream = Stream()
    body = f"question {number}".encode()
    for attempt in range(1 + CLIENT_RETRIES):
        gateway = deployment.gateways[(number + attempt) % len(deployment.gateways)]
        left_ms = int((ends_at - loop.time()) * 1000)
        headers = make_headers(HOST, KEY, left_ms, X_Model="m", X_Token_Usage="628,290")
        headers["X-Prompt-Prefix"] = f"a1:60,{number:x}:568"
        if stream.last_event:
            if NAMES_FIRST_ATTEMPT:
                headers["Resumes"] = stream.first_attempt
            headers["Last-Event-Id"] = str(stream.last_event)
        try:
            channel = await Channel.open(gateway.host, deployment.client_port)
        except (OSError, TimeoutError):
            stream.statuses.append(-1)
            await asyncio.sleep(RETRY_SECONDS)
            continue
        await channel.send("POST", "/note/1", headers, body)
        answer = await channel.receive()
        channel.close()
        stream.statuses.append(answer.status)
        if answer.status == 200:
            stream.first_attempt = stream.first_attempt or headers["X-Request-Id"]
            stream.add(answer.body)
            if answer.is_whole:
                stream.is_complete = True
                break
        await asyncio.sleep(RETRY_SECONDS)
    record.write(
        f"stream {number}: answers {stream.statuses} (-1: no channel), "
        f"{len(stream.texts)} events, versions {stream.versions}, "
        f"complete: {stream.is_complete}"
    )
    return stream


async def disturb(
    deployment: Deployment, old: list[StreamWorker], record: Record, has_trouble: bool
) -> None:
    """Take the old version's workers away, and kill all gateways at once."""
    await asyncio.sleep(LEAVE_AFTER_SECONDS)
    for worker in old:
        worker.remove_entry()
    if has_trouble:
        await asyncio.sleep(KILL_AFTER_SECONDS)
        await asyncio.gather(*[gateway.kill() for gateway in deployment.gateways])
        await asyncio.sleep(DOWN_SECONDS)
        for gateway in deployment.gateways:
            await gateway.start()
    await asyncio.sleep(SERVING_SECONDS)
    for worker in old:
        worker.finish()
    record.write("the workers of the old version may end")


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether no client has a stream that two versions wrote."""
    deployment = Deployment(record)
    # The last worker of the old version is one of six.
    old = [StreamWorker("llm", "v1", record, deployment)]
    new = [StreamWorker("llm", "v2", record, deployment) for _ in range(5)]
    engine = {"slots": 10, "kvCapacity": 529743, "stride": 5, "models": [{"name": "m"}]}
    service = {"name": "llm", "healthPath": "/health", "maxConnections": 370}
    route = make_route(
        "note",
        "llm",
        kind="streaming",
        streamResume=True,
        timeoutMs=TIMEOUT_MS,
        targetLatencyMs=300,
        targetGapMs=200,
    )
    config = make_config(
        [route],
        [{**service, "engine": engine}],
        [{"name": "hule", "apiKeys": [KEY], "priority": 1}],
    )
    try:
        await deployment.store.start()
        for worker in [*old, *new]:
            await worker.start()
        await deployment.start(config)
        await asyncio.sleep(SIDE_BY_SIDE_SECONDS)
        disturbance = asyncio.ensure_future(
            disturb(deployment, old, record, has_trouble)
        )
        streams = await asyncio.gather(
            *[take(deployment, number, record) for number in range(STREAMS)]
        )
        await disturbance
        mixed = [it for it in streams if len(it.versions) > 1]
        whole = [it for it in mixed if it.is_complete and len(it.texts) == EVENTS]
        record.write(
            f"of {STREAMS} streams, {len(mixed)} were written by two versions, "
            f"{len(whole)} of them ended as complete"
        )
        return not mixed
    finally:
        await deployment.close()
        for worker in [*old, *new]:
            worker.close()


run_case(Path(__file__).parent, play)
