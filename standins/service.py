"""Stand-in of a plain service that records every execution."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from fireflyquay.links import HttpRequest, HttpResponder

from ._base import SWITCH_POLL_SECONDS, ErrorBody, StandIn, run_main, send_json
from .answers import compute_expected_result, hash_body


class ServiceSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the switches of the service."""

    # Duration of each execution in seconds.
    run_seconds: float = 0.02
    # Rejects requests without executing them.
    refuse: bool = False
    # Number of next requests that take effect and then crash the service.
    crash_calls: int = 0
    # Seconds for which a crashed service refuses connections.
    crash_downtime: float = 1.0
    # Delays all requests before they are executed.
    frozen: bool = False


@dataclass(slots=True)
class ServiceExecution:
    """Record one execution of a request."""

    key: str
    kind: str
    body_hash: str
    finished: bool = False


class Service(StandIn):
    """Execute every request to /v1/calls/<kind>, including repeated ones."""

    def __init__(self) -> None:
        super().__init__(ServiceSwitches())
        # All executions since the start, including those before a crash.
        self.executions: list[ServiceExecution] = []

    async def handle_control(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Serve a control request, with a path below /standin/."""
        if request.path != "/standin/executions":
            await super().handle_control(request, responder)
            return
        await send_json(responder, 200, {"executions": self.executions})

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Serve a request to execute."""
        while self.switches.frozen:
            await asyncio.sleep(SWITCH_POLL_SECONDS)
        kind = request.path.removeprefix("/v1/calls/")
        if request.method != "POST" or kind == request.path:
            await send_json(
                responder,
                404,
                ErrorBody(
                    "NOT_RUN", "Unknown method or path; expected POST /v1/calls/<kind>."
                ),
            )
            return
        if self.switches.refuse:
            await send_json(
                responder,
                503,
                ErrorBody("NOT_RUN", "The service accepts no new requests."),
            )
            return
        await self._execute(kind, request, responder)

    async def _execute(
        self, kind: str, request: HttpRequest, responder: HttpResponder
    ) -> None:
        key = request.headers.get("idempotency-key", "")
        run = ServiceExecution(key, kind, hash_body(request.body))
        self.executions.append(run)
        if self.switches.crash_calls > 0:
            self.switches.crash_calls -= 1
            self.crash(self.switches.crash_downtime)
        await asyncio.sleep(self.switches.run_seconds)
        run.finished = True
        headers = {"content-type": "application/json"}
        await responder.send(
            200, headers, compute_expected_result(key, kind, request.body)
        )


if __name__ == "__main__":
    run_main(Service())
