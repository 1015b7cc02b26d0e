"""Stand-in of the platform: object store and list of VMs, which may lag."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from fireflyquay.links import HttpRequest, HttpResponder
from fireflyquay.world import VmListing

from ._base import SWITCH_POLL_SECONDS, ErrorBody, StandIn, run_main, send_json
from ._objects import ObjectTable, RateLimiter, StoredObject

MAX_VALUE_BYTES = 1024 * 1024


class Outage(StrEnum):
    """List the ways in which the store fails."""

    NONE = "NONE"
    # Requests get status 503 at once.
    REFUSE = "REFUSE"
    # Requests wait until the outage ends.
    HANG = "HANG"


class PlatformSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the switches of the platform."""

    outage: Outage = Outage.NONE
    # Seconds by which each request is delayed.
    delay: float = 0.0
    # Number of next writes that are applied but get no response.
    lost_write_answers: int = 0
    writes_per_second: float = 400.0
    # Includes listings of objects and of VMs.
    reads_per_second: float = 2000.0
    # Seconds by which the list of VMs lags.
    vm_lag: float = 0.0


class Platform(StandIn):
    """Serve objects below /objects and the list of VMs at /vms."""

    def __init__(self) -> None:
        super().__init__(PlatformSwitches())
        self.objects = ObjectTable()
        # Requests by kind (read, write, list, vms), and rate-limited ones as "limited".
        self.counts: Counter[str] = Counter()
        self._reads = RateLimiter()
        self._writes = RateLimiter()
        self._vm_snapshots: deque[tuple[float, tuple[VmListing, ...]]] = deque()

    def set_vms(self, vms: Sequence[VmListing]) -> None:
        """Set the current VMs, which are listed after `vm_lag` seconds."""
        now = asyncio.get_running_loop().time()
        self._vm_snapshots.append((now, tuple(vms)))

    def list_vms(self) -> tuple[VmListing, ...]:
        """Return the VMs as they were `vm_lag` seconds ago."""
        visible_at = asyncio.get_running_loop().time() - self.switches.vm_lag
        while len(self._vm_snapshots) > 1 and self._vm_snapshots[1][0] <= visible_at:
            self._vm_snapshots.popleft()
        if not self._vm_snapshots or self._vm_snapshots[0][0] > visible_at:
            return ()
        return self._vm_snapshots[0][1]

    async def handle_control(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Serve a control request, with a path below /standin/."""
        if request.path == "/standin/counts":
            await send_json(responder, 200, self.counts)
            return
        if request.path != "/standin/vms":
            await super().handle_control(request, responder)
            return
        try:
            self.set_vms(msgspec.json.decode(request.body, type=list[VmListing]))
        except msgspec.DecodeError as error:
            await send_json(responder, 400, ErrorBody("NOT_RUN", str(error)))
            return
        await send_json(responder, 200, {})

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Serve a request for objects or VMs."""
        kind = _classify_request(request)
        if kind is None:
            await _send_error(
                responder, 404, "Unknown method or path; expected /objects or /vms."
            )
            return
        self.counts[kind] += 1
        if not self._try_acquire(kind):
            self.counts["limited"] += 1
            await _send_error(
                responder, 429, "Too many requests; the rate limit is exceeded."
            )
            return
        await asyncio.sleep(self.switches.delay)
        if not await self._apply_outage(responder):
            return
        match kind:
            case "read":
                await self._serve_read(request, responder)
            case "write":
                await self._serve_write(request, responder)
            case "vms":
                await send_json(responder, 200, self.list_vms())
            case _:
                await self._serve_list(request, responder)

    def _try_acquire(self, kind: str) -> bool:
        now = asyncio.get_running_loop().time()
        if kind == "write":
            return self._writes.try_acquire(now, self.switches.writes_per_second)
        return self._reads.try_acquire(now, self.switches.reads_per_second)

    async def _apply_outage(self, responder: HttpResponder) -> bool:
        while self.switches.outage is Outage.HANG:
            await asyncio.sleep(SWITCH_POLL_SECONDS)
            if responder.disconnected.is_set():
                responder.abort()
                return False
        if self.switches.outage is Outage.NONE:
            return True
        await _send_error(responder, 503, "The store is unavailable.")
        return False

    async def _serve_read(self, request: HttpRequest, responder: HttpResponder) -> None:
        found = self.objects.read(_get_object_path(request))
        if found is None:
            await _send_error(responder, 404, "The object does not exist.")
            return
        headers = {
            "x-object-version": str(found.version),
            "x-store-revision": str(found.revision),
        }
        await responder.send(200, headers, found.value)

    async def _serve_write(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        expected = request.headers.get("if-match", "").strip('"')
        if not expected.isdecimal():
            await _send_error(
                responder,
                400,
                "The header If-Match must contain the expected version, an integer.",
            )
            return
        if len(request.body) > MAX_VALUE_BYTES:
            await _send_error(responder, 413, "The value is larger than 1 MiB.")
            return
        path = _get_object_path(request)
        written = self.objects.write(path, request.body, int(expected))
        if self.switches.lost_write_answers > 0:
            self.switches.lost_write_answers -= 1
            responder.abort()
            return
        if written is None:
            current = self.objects.read(path)
            await send_json(
                responder, 409, {"version": current.version if current else 0}
            )
            return
        result = {"version": written.version, "revision": written.revision}
        await send_json(responder, 200, result)

    async def _serve_list(self, request: HttpRequest, responder: HttpResponder) -> None:
        prefix = request.query.get("prefix", "")
        await self._send_page(responder, self.objects.list(prefix))

    async def _send_page(
        self, responder: HttpResponder, found: list[StoredObject]
    ) -> None:
        page = {"items": found, "revision": self.objects.revision}
        await send_json(responder, 200, page)


def _classify_request(request: HttpRequest) -> str | None:
    match request.method, request.path:
        case "GET", "/objects":
            return "list"
        case "GET", "/vms":
            return "vms"
    if not request.path.startswith("/objects/"):
        return None
    return {"GET": "read", "PUT": "write"}.get(request.method)


def _get_object_path(request: HttpRequest) -> str:
    return request.path.removeprefix("/objects/")


async def _send_error(responder: HttpResponder, status: int, sentence: str) -> None:
    await send_json(responder, status, ErrorBody("NOT_RUN", sentence))


if __name__ == "__main__":
    run_main(Platform())
