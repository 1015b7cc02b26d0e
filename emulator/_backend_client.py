"""Backend client that passes a gateway's requests to emulated backend servers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from fireflyquay.links import BackendClient, ExchangeOptions, HttpFailure, HttpStream
from fireflyquay.world import Code

from ._history import History, Run
from ._network import Network
from ._servers import ConnectionLost, EmulatedServer, Job, RequestDeclined, iter_output

UNAVAILABLE_STATUS = 503
MISDIRECTED_STATUS = 421
# Status of a failed run, and the output by which the server marks it.
FAILURE_STATUS = 500
FAILURE_BODY = b"!failed"


class EmulatedBackendClient(BackendClient):
    """Forward one gateway's requests to emulated backend servers without sockets."""

    def __init__(
        self,
        host: str,
        network: Network,
        find_server: Callable[[tuple[str, int]], EmulatedServer | None],
        history: History,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._network = network
        self._find_server = find_server
        self._history = history
        self._rng = rng

    @asynccontextmanager
    async def forward(
        self,
        address: tuple[str, int],
        method: str,
        target: str | bytes,
        header_pairs: list,
        body: bytes,
        timeout: float,
        options: ExchangeOptions = ExchangeOptions(),  # noqa: B008
    ) -> AsyncIterator[HttpStream]:
        """Forward a request and yield its response; raise HttpFailure without one."""
        headers = {str(name): str(value) for name, value in header_pairs}
        await self._connect(address, options.connect_timeout or timeout)
        server = self._find_server(address)
        if server is None or server.is_down:
            raise HttpFailure(
                Code.STREAM_LOST, "The backend server refused the connection.", False
            )
        run = Run(
            headers["id"],
            server.entry.id,
            server.entry.service,
            self._host,
            asyncio.get_running_loop().time(),
            headers["account"],
            int(headers["last"] or 0),
        )
        self._history.runs.append(run)
        job = _make_job(run, headers)
        try:
            server.accept(job, headers["expect"])
        except ConnectionLost:
            raise HttpFailure(
                Code.STREAM_LOST, "The backend server reset the connection.", True
            ) from None
        except RequestDeclined:
            run.is_declined = True
            headers = {"not-run": "1", **server.make_headers()}
            yield HttpStream(UNAVAILABLE_STATUS, headers, _iter_no_chunks())
            return
        try:
            async with asyncio.timeout(timeout):
                first = await self._read_first_chunk(job)
                status = FAILURE_STATUS if first == FAILURE_BODY else 200
                self.record_load(server)
                headers = server.make_headers()
                yield HttpStream(
                    status, headers, self._iter_chunks(job, first, address)
                )
        except (ConnectionLost, TimeoutError) as error:
            message = type(error).__name__
            raise HttpFailure(Code.STREAM_LOST, message, True) from None
        finally:
            if not job.is_finished:
                server.cancel(job)

    def record_load(self, server: EmulatedServer) -> None:
        """Ignore a backend server's load; policies that use it replace this method."""

    async def can_connect(self, address: tuple[str, int], timeout: float) -> bool:
        """Return whether a backend server accepts connections at an address."""
        server = self._find_server(address)
        return server is not None and not server.is_down

    async def close(self) -> None:
        """Do nothing, since there are no connections."""

    async def _connect(self, address: tuple[str, int], timeout: float) -> None:
        if not self._network.can_reach(self._host, address[0]):
            await asyncio.sleep(timeout)
            raise HttpFailure(
                Code.BACKEND_TIMEOUT,
                "Connecting to the backend server timed out.",
                False,
            )
        await asyncio.sleep(self._network.draw_delay(self._host, address[0]))

    async def _read_first_chunk(self, job: Job) -> bytes:
        async for data in iter_output(job):
            return data
        return b""

    async def _iter_chunks(
        self, job: Job, first: bytes, address: tuple[str, int]
    ) -> AsyncIterator[bytes]:
        delay = self._network.draw_delay(address[0], self._host)
        await asyncio.sleep(delay)
        try:
            yield first
            async for data in iter_output(job):
                if not self._network.can_reach(self._host, address[0]):
                    raise ConnectionLost
                yield data
        except ConnectionLost:
            raise HttpFailure(
                Code.STREAM_LOST, "The backend server's response was cut off.", True
            ) from None


async def _iter_no_chunks() -> AsyncIterator[bytes]:
    return
    # Makes this function an asynchronous generator.
    yield b""


def _make_job(run: Run, headers: dict[str, str]) -> Job:
    return Job(
        run,
        int(headers["prompt"]),
        headers.get("prefix", ""),
        int(headers.get("shared", "0")),
        int(headers["output"]),
        run.resumed_after,
        float(headers.get("work", "0")),
        headers.get("crashes") == "1",
        frozenset(headers["parts"].split(",")[:-1]),
    )
