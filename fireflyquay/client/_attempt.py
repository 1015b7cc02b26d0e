"""One attempt of a request: sent again only where it can't run twice."""

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
    make_unreadable,
)
from ._directory import Address, EntryDirectory, ListedEntry
from ._events import EventParser, EventTooLarge, ServerEvent
from ._health_monitor import EntryHealthMonitor
from ._http_exchange import (
    ConnectionLost,
    Headers,
    HttpClient,
    HttpResponse,
    HttpStreamResponse,
    open_stream,
    read_retry_after,
    send_request,
)

T = TypeVar("T")
# Seconds before the entry VMs are tried once more; doubles with each round.
RESEND_PAUSE_S = 0.1
MAX_RESEND_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class Order:
    """Hold what a caller asks for."""

    kind: str
    token: str
    body: bytes
    # The caller's own key, or empty.
    key: RequestKey
    # Loop time at which the caller gives up, in seconds.
    deadline: float


class Attempt:
    """Send a request until it is answered, may have run, or time is up.

    With a key of the caller's own it is sent again also after a connection was lost:
    entry VMs run each key once.
    """

    def __init__(
        self,
        http: HttpClient,
        directory: EntryDirectory,
        order: Order,
        entries: tuple[ListedEntry, ...],
        health_monitor: EntryHealthMonitor,
    ) -> None:
        self._http = http
        self._health_monitor = health_monitor
        self._directory = directory
        self._order = order
        self._targets = [Address(entry.host, entry.port) for entry in entries]
        self._losses = 0
        # Whether an entry VM may have received the request.
        self._sent = False
        # The key that the entry VM told, or the caller's own.
        self.key = order.key

    async def fetch(self) -> Answer:
        """Return the whole answer; raise RequestFailed."""
        while True:
            timeout = self._measure_time_left()
            try:
                response = await self._send_whole(timeout)
            except ConnectionLost as lost:
                await self._move_on(lost.sent)
                continue
            if response.status == STATUS_OK:
                return decode_answer(response.body, self.key)
            raise self._read_failure(response, response.body)

    async def stream(self) -> AsyncGenerator[Token, None]:
        """Yield the answer's tokens without gap or double; raise RequestFailed."""
        progress = StreamProgress(self.key)
        while not progress.done:
            timeout = self._measure_time_left()
            try:
                async with AsyncExitStack() as stack:
                    response = await self._open_stream(stack, timeout)
                    if response.status != STATUS_OK:
                        raise self._read_failure(response, await _read_all(response))
                    chunks = self._read_chunks(response)
                    async with aclosing(progress.read(chunks)) as tokens:
                        async for token in tokens:
                            yield token
            except ConnectionLost as lost:
                if progress.next_index:
                    raise self._make_lost() from lost
                await self._move_on(lost.sent)
                continue
            if not progress.done:
                raise self._make_lost()
        self.key = progress.key

    async def _send_whole(self, timeout: float) -> HttpResponse:
        address = self._choose_target()
        async with self._health_monitor.abort_if_unresponsive(address):
            return await send_request(
                self._http,
                address,
                "POST",
                self._target,
                self._make_headers(),
                self._order.body,
                timeout,
            )

    async def _open_stream(
        self, stack: AsyncExitStack, timeout: float
    ) -> HttpStreamResponse:
        address = self._choose_target()
        stream = open_stream(
            self._http,
            address,
            "POST",
            self._target,
            (*self._make_headers(), ("Accept", "text/event-stream")),
            self._order.body,
            timeout,
        )
        async with self._health_monitor.abort_if_unresponsive(address):
            return await stack.enter_async_context(stream)

    async def _read_chunks(
        self, response: HttpStreamResponse
    ) -> AsyncGenerator[bytes, None]:
        address = self._choose_target()
        chunks = aiter(response)
        while True:
            async with self._health_monitor.abort_if_unresponsive(address):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    @property
    def _target(self) -> str:
        return "/v1/requests/" + quote(self._order.kind, safe="")

    def _measure_time_left(self) -> float:
        left = self._order.deadline - asyncio.get_running_loop().time()
        if left > 0:
            return left
        if self._sent:
            raise self._make_lost()
        sentence = "No entry VM could be reached in time."
        raise RequestFailed(Code.NOT_READY, Verdict.NOT_RUN, sentence, self.key)

    def _choose_target(self) -> Address:
        return self._targets[self._losses % len(self._targets)]

    def _make_headers(self) -> Headers:
        headers = [
            ("Authorization", f"Bearer {self._order.token}"),
            ("Content-Type", "application/json"),
        ]
        if self._order.key:
            headers.append(("Idempotency-Key", self._order.key))
        return tuple(headers)

    def _read_failure(
        self, response: HttpResponse | HttpStreamResponse, body: bytes
    ) -> RequestFailed:
        return decode_failure(body, self.key, read_retry_after(response.headers))

    async def _move_on(self, sent: bool) -> None:
        """Turn to the next entry VM, unless the request may run there already."""
        self._sent = self._sent or sent
        self._directory.invalidate()
        if sent and not self._order.key:
            raise self._make_lost()
        self._losses += 1
        await self._pause()

    async def _pause(self) -> None:
        rounds, rest = divmod(self._losses, len(self._targets))
        if rest:
            return
        pause = min(RESEND_PAUSE_S * 2 ** min(rounds, 10), MAX_RESEND_PAUSE_S)
        left = self._order.deadline - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(pause, left)))

    def _make_lost(self) -> RequestFailed:
        sentence = "No whole answer came; the request may have run."
        verdict = Verdict.MAY_HAVE_RUN
        return RequestFailed(Code.STREAM_LOST, verdict, sentence, self.key)


class StreamProgress:
    """Check that tokens come one after another to the end."""

    def __init__(self, key: RequestKey) -> None:
        self.key = key
        self.next_index = 0
        self.done = False

    async def read(
        self, chunks: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[Token, None]:
        """Yield tokens until the stream ends, is done or has a gap."""
        parser = EventParser()
        async for chunk in chunks:
            for event in self._parse(parser, chunk):
                if event.name == "token":
                    token = self._decode(event, Token)
                    if token.index != self.next_index:
                        return
                    self.next_index += 1
                    yield token
                if self._is_end(event):
                    return

    def _is_end(self, event: ServerEvent) -> bool:
        if event.name == "failed":
            raise decode_failure(event.data.encode(), self.key)
        if event.name == "done":
            end = self._decode(event, AnswerBody)
            if end.verdict is not Verdict.RAN:
                raise make_unreadable(self.key)
            self.key = RequestKey(end.key) or self.key
            self.done = True
        return self.done

    def _parse(self, parser: EventParser, chunk: bytes) -> list[ServerEvent]:
        try:
            return parser.feed(chunk)
        except EventTooLarge:
            raise make_unreadable(self.key) from None

    def _decode(self, event: ServerEvent, target: type[T]) -> T:
        try:
            return msgspec.json.decode(event.data, type=target)
        except DECODE_ERRORS:
            raise make_unreadable(self.key) from None


async def _read_all(response: HttpStreamResponse) -> bytes:
    return b"".join([chunk async for chunk in response])
