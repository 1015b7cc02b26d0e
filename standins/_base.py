"""Base of all stand-ins: HTTP server, switches and command line."""

from __future__ import annotations

import argparse
import asyncio
import signal
from abc import ABC, abstractmethod
from typing import Any

import msgspec

from fireflyquay.links import HttpLimits, HttpRequest, HttpResponder, HttpServer

from ._loopback import PortReservation

HOST = "127.0.0.1"
# Interval of polling a switch that delays requests.
SWITCH_POLL_SECONDS = 0.02
JSON_HEADERS = {"content-type": "application/json"}


class ErrorBody(msgspec.Struct, frozen=True):
    """Represent the JSON body of an error response."""

    verdict: str
    sentence: str
    code: str = ""


class StandIn(ABC):
    """Serve HTTP on loopback; tests change the behavior through switches."""

    limits = HttpLimits(max_body_bytes=4 * 1024 * 1024)

    def __init__(self, switches: msgspec.Struct) -> None:
        # Read on every request; tests may set its attributes directly.
        self.switches: Any = switches
        self.host = HOST
        self.port = 0
        self._server: HttpServer | None = None
        # Keeps the port of a crashed stand-in until it listens again.
        self._reservation: PortReservation | None = None
        self._restart_task: asyncio.Task[None] | None = None

    async def start(self, host: str = HOST, port: int = 0) -> int:
        """Start listening and return the port."""
        self.host = host
        if not port:
            self._reservation = PortReservation(1)
            port = self._reservation.ports[0]
        self._server = HttpServer(self._dispatch, self.limits)
        self.port = await self._server.start(host, port)
        return self.port

    async def close(self) -> None:
        """Close all connections and stop."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._server is not None:
            await self._server.close(0)
        if self._reservation is not None:
            self._reservation.release()

    def crash(self, downtime: float) -> None:
        """Close all connections and refuse new ones for `downtime` seconds."""
        if self._restart_task is not None and not self._restart_task.done():
            return
        self.discard_state()
        self._restart_task = asyncio.create_task(self._restart_after(downtime))

    def discard_state(self) -> None:
        """Discard the state that a crashed process loses."""
        return None

    def apply_switches(self, patch: dict[str, Any]) -> None:
        """Change some switches; raise msgspec.ValidationError for invalid ones."""
        fields = {**msgspec.to_builtins(self.switches), **patch}
        validated = msgspec.convert(fields, type=type(self.switches))
        for name in patch:
            setattr(self.switches, name, getattr(validated, name))

    @abstractmethod
    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Serve a request for the outside system."""

    async def handle_control(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Serve a control request, with a path below /standin/."""
        if request.path != "/standin/switch":
            await send_json(
                responder,
                404,
                ErrorBody("NOT_RUN", "Unknown path; expected /standin/switch."),
            )
            return
        if request.method == "POST":
            try:
                patch = msgspec.json.decode(request.body, type=dict[str, Any])
                self.apply_switches(patch)
            except msgspec.DecodeError as error:
                await send_json(responder, 400, ErrorBody("NOT_RUN", str(error)))
                return
        await send_json(responder, 200, self.switches)

    async def _dispatch(self, request: HttpRequest, responder: HttpResponder) -> None:
        if request.path.startswith("/standin/"):
            await self.handle_control(request, responder)
            return
        await self.handle(request, responder)

    async def _restart_after(self, downtime: float) -> None:
        assert self._server is not None
        await self._server.close(0)
        await asyncio.sleep(downtime)
        await self.start(self.host, self.port)


async def send_json(
    responder: HttpResponder,
    status: int,
    value: Any,
    headers: dict[str, str] | None = None,
) -> None:
    """Send a response with a JSON body."""
    body = msgspec.json.encode(value)
    await responder.send(status, JSON_HEADERS | (headers or {}), body)


def run_main(stand_in: StandIn, argv: list[str] | None = None) -> None:
    """Run a stand-in as a process until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default=HOST)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--switch", default="{}", help="switches as a JSON object")
    arguments = parser.parse_args(argv)
    try:
        patch = msgspec.json.decode(arguments.switch, type=dict[str, Any])
        stand_in.apply_switches(patch)
    except msgspec.DecodeError as error:
        parser.error(f"--switch: {error}")
    asyncio.run(_serve_until_signal(stand_in, arguments.host, arguments.port))


async def _serve_until_signal(stand_in: StandIn, host: str, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    print(f"listening {await stand_in.start(host, port)}", flush=True)
    await stopped.wait()
    await stand_in.close()
