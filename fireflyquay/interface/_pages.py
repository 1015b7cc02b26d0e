"""HTTP handlers for health, metrics, status and the list of entry VMs."""

from __future__ import annotations

import hmac

import msgspec

from fireflyquay.gateway import Gateway
from fireflyquay.links import Handler, HttpRequest, HttpResponder
from fireflyquay.world import FireflyquayError

from ._parser import parse_bearer_token

JSON_HEADERS = {"content-type": "application/json"}


class Pages:
    """Serve the list of entry VMs, health, metrics and the status for operators."""

    def __init__(self, gateway: Gateway, operator_token: str) -> None:
        self._gateway = gateway
        self._operator_token = operator_token

    def get_handlers(self) -> dict[str, Handler]:
        """Return the handlers by path."""
        return {
            "/v1/entries": self._gateway.directory.serve_entries,
            "/v1/status": self.serve_status,
            "/healthz": self.serve_health,
            "/readyz": self._gateway.directory.serve_readiness,
            "/metrics": self._gateway.metrics.serve,
        }

    async def serve_health(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Respond with 200 if the event loop is responsive."""
        await responder.send(200, JSON_HEADERS, b"{}")

    async def serve_status(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Respond to an operator with the state of this entry VM."""
        if not self._is_operator(request):
            body = b'{"code":"UNKNOWN_CUSTOMER","sentence":"Operators only."}'
            await responder.send(401, JSON_HEADERS, body)
            return
        body = msgspec.json.encode(self._gateway.get_status())
        await responder.send(200, JSON_HEADERS, body)

    def _is_operator(self, request: HttpRequest) -> bool:
        try:
            token = parse_bearer_token(request)
        except FireflyquayError:
            return False
        expected = self._operator_token.encode()
        return bool(expected) and hmac.compare_digest(token.encode(), expected)
