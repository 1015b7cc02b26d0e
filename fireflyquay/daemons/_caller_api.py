"""The HTTP interface towards callers and operators."""

from __future__ import annotations

import asyncio
import hmac

import msgspec

from fireflyquay.contracts import (
    StoredValue,
)
from fireflyquay.decisions import (
    Node,
)
from fireflyquay.links import (
    CallerGoneError,
    HttpRequest,
    HttpResponder,
    Metrics,
)
from fireflyquay.world import (
    Code,
    FireflyquayError,
    RequestKey,
    TrailRecord,
    WorkKind,
    parse_homed_key,
)

from ._desk import AnswerDesk
from ._parser import (
    build_request,
    read_count,
    read_key,
    read_start,
    read_token,
    scope_key,
)
from ._replies import (
    JSON_HEADERS,
    send_error,
    send_json,
    send_stream,
    send_whole,
)

REQUESTS_PATH = "/v1/requests/"
TRACE_PATH = "/v1/trace/"
NOTICE_PATH = "/v1/notice"


class CallerApi:
    """Answer each HTTP request by its path."""

    def __init__(
        self,
        node: Node,
        desk: AnswerDesk,
        metrics: Metrics,
        kinds: dict[str, WorkKind],
        operator_token: str,
    ) -> None:
        self._node = node
        self._desk = desk
        self._metrics = metrics
        self._kinds = kinds
        self._operator_token = operator_token

    async def handle(self, http: HttpRequest, responder: HttpResponder) -> None:
        """Answer one request; every fault of the caller's gets a code."""
        try:
            await self._route(http, responder)
        except CallerGoneError:
            return
        except FireflyquayError as error:
            if responder.started:
                raise
            key = http.headers.get("idempotency-key", "")
            # A malformed key is refused everywhere.
            is_new = not key or error.code is Code.BAD_KEY
            count = http.headers.get("fireflyquay-send-count", "")
            is_sole_copy = is_new or count == "1"
            await send_error(responder, key, error, is_sole_copy)

    async def _route(self, http: HttpRequest, responder: HttpResponder) -> None:
        if http.method == "POST" and http.path.startswith(REQUESTS_PATH):
            await self._take_request(http, responder)
            return
        if http.method == "POST" and http.path == NOTICE_PATH:
            await self._take_notice(http, responder)
            return
        if http.method != "GET":
            raise FireflyquayError(Code.BAD_REQUEST, "The method is not allowed here.")
        if http.path.startswith(TRACE_PATH):
            await self._send_trace(http, responder)
            return
        await self._send_page(http, responder)

    async def _send_page(self, http: HttpRequest, responder: HttpResponder) -> None:
        now = asyncio.get_running_loop().time()
        if http.path == "/v1/entries":
            entries = self._node.list_entries(now, http.query.get("zone"))
            await send_json(responder, 200, entries)
        elif http.path == "/v1/status":
            self._check_operator(http)
            await send_json(responder, 200, self._node.describe(now))
        elif http.path == "/metrics":
            await responder.send(
                200, {"content-type": "text/plain"}, self._metrics.render()
            )
        elif http.path == "/healthz":
            await responder.send(200, JSON_HEADERS, b"{}")
        elif http.path == "/readyz":
            status = 200 if self._node.is_ready else 503
            await responder.send(status, JSON_HEADERS, b"{}")
        else:
            raise FireflyquayError(Code.NOT_FOUND, "There is no such page.")

    async def _send_trace(self, http: HttpRequest, responder: HttpResponder) -> None:
        token = read_token(http)
        key = http.path.removeprefix(TRACE_PATH)
        if self._is_operator(token):
            await send_json(responder, 200, self._trace_any(key))
            return
        contract = self._node.find_contract(token)
        records = self._node.trace(scope_key(contract, key))
        own = [record for record in records if record.customer == contract.customer]
        await send_json(responder, 200, own)

    def _trace_any(self, text: str) -> list[TrailRecord]:
        """Return the records of a key, for every customer that used a plain one."""
        keys = {text}
        if parse_homed_key(text) is None:
            now = asyncio.get_running_loop().time()
            customers = self._node.describe(now).contracts
            keys.update(f"{customer}/{text}" for customer in customers)
        return [r for key in keys for r in self._node.trace(RequestKey(key))]

    async def _take_notice(self, http: HttpRequest, responder: HttpResponder) -> None:
        """Put in force what the store has accepted from an operator."""
        self._check_operator(http)
        try:
            stored = msgspec.json.decode(http.body, type=StoredValue)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            sentence = f"The notice is wrong: {error}."
            raise FireflyquayError(Code.BAD_REQUEST, sentence) from None
        self._node.publish(asyncio.get_running_loop().time(), stored)
        self._desk.act()
        await send_json(responder, 200, {})

    def _check_operator(self, http: HttpRequest) -> None:
        if not self._is_operator(read_token(http)):
            sentence = "The operators' token is needed."
            raise FireflyquayError(Code.UNKNOWN_CUSTOMER, sentence)

    def _is_operator(self, token: str) -> bool:
        own = self._operator_token.encode()
        return bool(own) and hmac.compare_digest(token.encode(), own)

    async def _take_request(self, http: HttpRequest, responder: HttpResponder) -> None:
        now = asyncio.get_running_loop().time()
        contract = self._node.find_contract(read_token(http))
        kind = self._find_kind(http.path.removeprefix(REQUESTS_PATH))
        text = read_key(http)
        send_count = read_count(http, "fireflyquay-send-count", 0)
        if text:
            key = scope_key(contract, text)
        else:
            key = self._node.make_key(now)
            send_count = 1
        start = read_start(http)
        exchange = self._desk.draw_exchange()
        request = build_request(now, exchange, http, contract, kind, key, send_count)
        is_unreachable = "fireflyquay-home-unreachable" in http.headers
        answer = self._desk.open(now, request, is_unreachable)
        target = http.path
        watcher = asyncio.ensure_future(self._watch_caller(responder, exchange))
        try:
            if "text/event-stream" in http.headers.get("accept", ""):
                await send_stream(responder, target, key, answer, start)
            else:
                await send_whole(responder, target, key, answer)
        finally:
            watcher.cancel()
            self._desk.leave(exchange)

    async def _watch_caller(self, responder: HttpResponder, exchange: int) -> None:
        await responder.disconnected.wait()
        self._desk.leave(exchange)

    def _find_kind(self, name: str) -> WorkKind:
        kind = self._kinds.get(name)
        if kind is None:
            raise FireflyquayError(Code.UNKNOWN_KIND, "There is no such kind of work.")
        return kind
