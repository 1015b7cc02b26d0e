"""Attempt to send a request, with resends that can't run it twice."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from fireflyquay.world import (
    DECODE_ERRORS,
    Code,
    RequestKey,
    Verdict,
)

from ._answer import (
    STATUS_OK,
    Answer,
    AnswerBody,
    RequestFailed,
    Token,
    decode_answer,
    decode_failure,
    make_invalid_response_failure,
)
from ._directory import Address, EntryDirectory, ListedEntry
from ._events import EventTooLargeError, SseEvent, SseParser
from ._health_monitor import EntryHealthMonitor
from ._http_exchange import (
    ConnectionLost,
    Headers,
    HttpClient,
    HttpResponse,
    HttpStreamResponse,
    open_stream,
    parse_retry_after,
    send_request,
)

T = TypeVar("T")
# Half of the delay after the first round of failed sends to all entry VMs; the delay
# doubles with each further round.
RESEND_DELAY_BASE_SECONDS = 0.1
MAX_RESEND_DELAY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Hold one request to send, with its encoded body."""

    kind: str
    token: str
    body: bytes
    # Idempotency key set by the caller, or empty.
    key: RequestKey
    # Time of the event loop's clock, in seconds.
    deadline: float


class Attempt:
    """Send a request to one entry VM after another until one of them responds.

    A request that may have been received is resent only if the caller set its key,
    because entry VMs run each key only once.
    """

    def __init__(
        self,
        http: HttpClient,
        directory: EntryDirectory,
        request: OutgoingRequest,
        entries: tuple[ListedEntry, ...],
        health_monitor: EntryHealthMonitor,
    ) -> None:
        self._http = http
        self._health_monitor = health_monitor
        self._directory = directory
        self._request = request
        self._addresses = [Address(entry.host, entry.port) for entry in entries]
        self._switch_count = 0
        # Whether any entry VM may have received the request.
        self._sent = False
        # Key reported by the entry VM; until then the caller's key.
        self.key = request.key

    async def fetch(self) -> Answer:
        """Return the complete answer; raise RequestFailed."""
        while True:
            timeout = self._compute_timeout()
            try:
                response = await self._send(timeout)
            except ConnectionLost as lost:
                await self._prepare_resend(lost.sent)
                continue
            if response.status == STATUS_OK:
                return decode_answer(response.body, self.key)
            raise self._decode_failure(response, response.body)

    async def stream(self) -> AsyncGenerator[Token, None]:
        """Yield each token of the answer once, in order; raise RequestFailed."""
        reader = TokenStreamReader(self.key)
        while not reader.done:
            timeout = self._compute_timeout()
            try:
                async with AsyncExitStack() as stack:
                    response = await self._open_stream(stack, timeout)
                    if response.status != STATUS_OK:
                        raise self._decode_failure(response, await _read_all(response))
                    chunks = self._read_chunks(response)
                    async with aclosing(reader.read(chunks)) as tokens:
                        async for token in tokens:
                            yield token
            except ConnectionLost as lost:
                if reader.next_index:
                    raise self._make_may_have_run_failure() from lost
                await self._prepare_resend(lost.sent)
                continue
            if not reader.done:
                raise self._make_may_have_run_failure()
        self.key = reader.key

    async def _send(self, timeout: float) -> HttpResponse:
        address = self._get_current_address()
        async with self._health_monitor.abort_if_unresponsive(address):
            return await send_request(
                self._http,
                address,
                "POST",
                self._path,
                self._make_headers(),
                self._request.body,
                timeout,
            )

    async def _open_stream(
        self, stack: AsyncExitStack, timeout: float
    ) -> HttpStreamResponse:
        address = self._get_current_address()
        stream = open_stream(
            self._http,
            address,
            "POST",
            self._path,
            (*self._make_headers(), ("Accept", "text/event-stream")),
            self._request.body,
            timeout,
        )
        async with self._health_monitor.abort_if_unresponsive(address):
            return await stack.enter_async_context(stream)

    async def _read_chunks(
        self, response: HttpStreamResponse
    ) -> AsyncGenerator[bytes, None]:
        address = self._get_current_address()
        chunks = aiter(response)
        while True:
            async with self._health_monitor.abort_if_unresponsive(address):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    @property
    def _path(self) -> str:
        return "/v1/requests/" + quote(self._request.kind, safe="")

    def _compute_timeout(self) -> float:
        remaining = self._request.deadline - asyncio.get_running_loop().time()
        if remaining > 0:
            return remaining
        if self._sent:
            raise self._make_may_have_run_failure()
        sentence = "No entry VM could be reached before the timeout."
        raise RequestFailed(Code.NOT_READY, Verdict.NOT_RUN, sentence, self.key)

    def _get_current_address(self) -> Address:
        return self._addresses[self._switch_count % len(self._addresses)]

    def _make_headers(self) -> Headers:
        headers = [
            ("Authorization", f"Bearer {self._request.token}"),
            ("Content-Type", "application/json"),
        ]
        if self._request.key:
            headers.append(("Idempotency-Key", self._request.key))
        return tuple(headers)

    def _decode_failure(
        self, response: HttpResponse | HttpStreamResponse, body: bytes
    ) -> RequestFailed:
        return decode_failure(body, self.key, parse_retry_after(response.headers))

    async def _prepare_resend(self, sent: bool) -> None:
        """Switch to the next entry VM; raise RequestFailed if a resend is unsafe."""
        self._sent = self._sent or sent
        self._directory.invalidate()
        if sent and not self._request.key:
            raise self._make_may_have_run_failure()
        self._switch_count += 1
        await self._wait_after_full_round()

    async def _wait_after_full_round(self) -> None:
        rounds, remainder = divmod(self._switch_count, len(self._addresses))
        if remainder:
            return
        delay = min(
            RESEND_DELAY_BASE_SECONDS * 2 ** min(rounds, 10), MAX_RESEND_DELAY_SECONDS
        )
        remaining = self._request.deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(delay, remaining)))

    def _make_may_have_run_failure(self) -> RequestFailed:
        sentence = "No complete response was received; the request may have run."
        verdict = Verdict.MAY_HAVE_RUN
        return RequestFailed(Code.STREAM_LOST, verdict, sentence, self.key)


class TokenStreamReader:
    """Read the tokens of one stream and check that none is missing."""

    def __init__(self, key: RequestKey) -> None:
        self.key = key
        self.next_index = 0
        self.done = False

    async def read(
        self, chunks: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[Token, None]:
        """Yield tokens until the stream ends; stop at a missing or repeated index."""
        parser = SseParser()
        async for chunk in chunks:
            for event in self._parse(parser, chunk):
                if event.name == "token":
                    token = self._decode(event, Token)
                    if token.index != self.next_index:
                        return
                    self.next_index += 1
                    yield token
                if self._handle_end_event(event):
                    return

    def _handle_end_event(self, event: SseEvent) -> bool:
        if event.name == "failed":
            raise decode_failure(event.data.encode(), self.key)
        if event.name == "done":
            body = self._decode(event, AnswerBody)
            if body.verdict is not Verdict.RAN:
                raise make_invalid_response_failure(self.key)
            self.key = RequestKey(body.key) or self.key
            self.done = True
        return self.done

    def _parse(self, parser: SseParser, chunk: bytes) -> list[SseEvent]:
        try:
            return parser.feed(chunk)
        except EventTooLargeError:
            raise make_invalid_response_failure(self.key) from None

    def _decode(self, event: SseEvent, body_type: type[T]) -> T:
        try:
            return msgspec.json.decode(event.data, type=body_type)
        except DECODE_ERRORS:
            raise make_invalid_response_failure(self.key) from None


async def _read_all(response: HttpStreamResponse) -> bytes:
    return b"".join([chunk async for chunk in response])
