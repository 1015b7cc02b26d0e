"""Stand-ins and process control for the scripts of this review.

A store, workers and clients that speak the users' pages over loopback, and a gateway
process started with the command of the deploy file. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import resource
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
PAGE_ITEMS = 50
PORT_RANGE = (12_000, 32_000)
NOT_RUN_STATUSES = (408, 421, 429, 503)
_ids = itertools.count(1)


class Record:
    """Write what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f}  {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text)


def reserve_ports(count: int, hosts: tuple[str, ...] = ("127.0.0.1",)) -> list[int]:
    """Return ports that are free on all hosts.

    They lie below those that the system gives to outgoing connections, which could take
    one before it is listened on.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        if port in found:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        found.append(port)
    return found


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class Message:
    """Hold a request or a response as read from a connection."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader, has_body: bool = True) -> Message:
    """Read one message; raise EOFError or OSError if the connection ends before."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


class Server:
    """Serve HTTP/1.1 on loopback, one request at a time on a connection."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.host, self.port = host, port
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen, or start the process."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1024
        )

    async def stop(self, resets: bool = False) -> None:
        """End as a process does: the listener and all connections are closed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            if resets:
                reset(writer)
            else:
                writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        raise NotImplementedError


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes, has_length: bool = True
) -> bytes:
    """Return a whole response."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in headers)]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store(Server):
    """Stand in for the platform's store."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.revision = 100
        self.objects: dict[tuple[str, str], dict] = {}
        # Seconds until each answer.
        self.delay = 0.004

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write the spec of an object unconditionally."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self._write(kind, name, old, spec=spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        if self.objects.pop((kind, name), None) is not None:
            self.revision += 1

    def _write(self, kind: str, name: str, old: dict | None, **changes: object) -> dict:
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": old["metadata"]["created"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {
            "metadata": metadata,
            "spec": old["spec"] if old else None,
            "status": old["status"] if old else None,
        }
        item.update(changes)
        self.objects[kind, name] = item
        return item

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        while True:
            request = await read_message(reader)
            await asyncio.sleep(self.delay)
            status, value = self._answer(request)
            headers = [("Content-Type", "application/json")]
            writer.write(encode_response(status, headers, json.dumps(value).encode()))
            await writer.drain()

    def _answer(self, request: Message) -> tuple[int, object]:
        method, target, _ = request.first_line.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(it) for it in url.path.strip("/").split("/")]
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else ""
        if method == "GET" and not name:
            return 200, self._list(kind, query.get("after", ""))
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        old = self.objects.get((kind, name))
        if method == "POST":
            if old is not None:
                return 409, old
            return 200, self._write(kind, name, None, spec=body.get("spec"))
        if old is None:
            return 404, {}
        if method == "GET":
            return 200, old
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            self.remove(kind, name)
            return 200, old
        field = "status" if len(parts) > 3 else "spec"
        if body.get(field) == old[field]:
            return 200, old
        return 200, self._write(kind, name, old, **{field: body.get(field)})

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, it] for it in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return {"items": items, "more": more, "currentRev": self.revision}


class Worker(Server):
    """Stand in for a worker; each start is a new instance."""

    def __init__(
        self,
        port: int,
        service: str,
        record: Record,
        work_ms: float = 20.0,
        slots: int = 6,
        keep_alive_s: float = 60.0,
        zone: str = "gladstone",
    ) -> None:
        super().__init__(port)
        self.service, self.zone = service, zone
        self.slots, self.work_ms = slots, work_ms
        self.keep_alive_s = keep_alive_s
        self.id = f"i-{port:05d}{next(_ids):06x}"
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.runs: list[str] = []
        self.running = 0
        self._record = record

    def register(self, store: Store, state: str = "ready") -> None:
        """Write the worker's entry."""
        spec = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": len(self.runs),
            "born": self.born,
        }
        store.put("servers", self.id, spec)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        while True:
            try:
                async with asyncio.timeout(self.keep_alive_s):
                    request = await read_message(reader)
            except TimeoutError:
                return
            if not await self.answer(request, reader, writer):
                return

    def make_headers(self, request: Message) -> list[tuple[str, str]]:
        """Return the headers of each response."""
        return [
            ("X-Request-Id", request.headers.get("x-request-id", "")),
            ("X-Worker-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", f"timeout={int(self.keep_alive_s)}"),
        ]

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection is kept."""
        headers = self.make_headers(request)
        if request.first_line.startswith("GET /health"):
            writer.write(encode_response(200, [("X-Instance-Id", self.id)], b""))
            return True
        if request.headers.get("x-expect-instance") not in (None, self.id):
            headers.append(("X-Not-Executed", "1"))
            writer.write(encode_response(421, headers, b""))
            return True
        identity = request.headers.get("x-request-id", "")
        self.runs.append(identity)
        self._record.write(f"{self.id} runs {identity}")
        self.running += 1
        try:
            return await self.run(request, reader, writer, headers)
        finally:
            self.running -= 1

    async def run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: list[tuple[str, str]],
    ) -> bool:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_ms / 1000)
        body = f"done by {self.id} for {request.headers['x-request-id']}".encode()
        seal = ("X-Response-Seal", SEAL)
        writer.write(encode_response(200, [*headers, seal], body))
        await writer.drain()
        return True


def make_route(name: str, service: str, kind: str, **changes: object) -> dict:
    """Return a route as in the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "affinity": False,
        "streamResume": False,
        **changes,
    }


def make_config(routes: list[dict], services: list[str], version: int = 3) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": it, "healthPath": "/health", "maxConnections": 110}
            for it in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


class Gateway:
    """Run one gateway as a process, with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        ports: list[int],
        store_port: int,
        folder: Path,
        max_fds: int = 4100,
        memory_mb: int = 150,
        zone: str = "gladstone",
        seeds: tuple[str, ...] = (),
        further: str = "",
    ) -> None:
        self.host = f"127.0.0.{number}"
        self.port, self.ready_port, self.directory_port, self.peer_port = ports[:4]
        self.metrics_port = ports[4]
        self._max_fds = max_fds
        self.log_path = folder / f"gateway-{number}.log"
        self._path = folder / f"gateway-{number}.toml"
        self._path.write_text(
            f"""[vm]
name = "edge-gladstone-{number}"
zone = "{zone}"
region = "qld-central"
client_address = "{self.host}:{self.port}"
ready_address = "{self.host}:{self.ready_port}"
directory_address = "{self.host}:{self.directory_port}"
peer_address = "{self.host}:{self.peer_port}"
peer_port = {self.peer_port}
cpu_share = 0.537
cpu_speed = 2
link_mbps = 1000.0
memory_mb = {memory_mb}
metrics_address = "{self.host}:{self.metrics_port}"
seeds = {json.dumps(list(seeds))}

[store]
address = "127.0.0.1:{store_port}"

[promises]
revoke = 5.0
stop_grace = 8
repeat_ratio = 0.2
repeat_slack = 56
repeat_window = 10
quota_overshoot = 0.1
quota_slack = 140000
quota_window = 8
max_keep = 5
apply = 2.0
drain = 2.0
{further}"""
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start to listen, or start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        [role] = deploy["roles"].values()
        command = role["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "FIREFLYQUAY_NODE_FILE": str(self._path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        # The platform limits the descriptors of each process.
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_fds, self._max_fds))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def read_memory_mb(self) -> float:
        """Return the resident memory in units of 1,048,576 bytes."""
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(it for it in text.splitlines() if it.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            answer = await call(self.host, self.ready_port, "GET", "/ready", {}, b"", 1)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self, seconds: float = 15.0) -> bool:
        """Return whether the process becomes ready in time; if not, print its log."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        print(self.log_path.read_text(errors="replace")[-2000:], file=sys.stderr)
        return False


class Answer:
    """Hold a complete response."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


class Channel:
    """Send requests on one kept connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, host: str, port: int, seconds: float = 1.0) -> Channel:
        """Connect; raise OSError or TimeoutError."""
        async with asyncio.timeout(seconds):
            return cls(*await asyncio.open_connection(host, port))

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        seconds: float,
    ) -> Answer:
        """Return the whole response; raise OSError, EOFError or TimeoutError."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        async with asyncio.timeout(seconds):
            self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await self.writer.drain()
            message = await read_message(self.reader)
        status = int(message.first_line.split(" ")[1])
        return Answer(status, message.headers, message.body)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    seconds: float,
) -> Answer:
    """Send one request on a new connection."""
    channel = await Channel.open(host, port, min(1.0, seconds))
    try:
        all_headers = {"Host": f"{host}:{port}", **headers}
        return await channel.send(method, target, all_headers, body, seconds)
    finally:
        channel.close()


def make_id() -> str:
    """Return a new request id."""
    return f"{next(_ids):08x}{int.from_bytes(os.urandom(4)):08x}"


def make_client_headers(identity: str, deadline_ms: int = 1500) -> dict[str, str]:
    """Return the headers of a client request."""
    return {
        "Host": HOST,
        "X-Request-Id": identity,
        "X-Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    }


def run_case(main, folder: Path, has_trouble: bool) -> None:
    """Run a case and exit with its verdict: 1 broken, 0 held, 2 could not run."""

    async def run() -> int:
        """Run the case within its time."""
        record = Record(folder)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(115):
                    return await main(record, Path(temporary), has_trouble)
            except Exception as error:
                record.conclude(f"could not run: {error!r}")
                return 2

    sys.exit(asyncio.run(run()))
