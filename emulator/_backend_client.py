"""Backend client that passes a gateway's requests to emulated backend servers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from fireflyquay.links import (
    BackendClient,
    BackendExchange,
    Connection,
    ExchangeOptions,
    HttpFailure,
    HttpStream,
)
from fireflyquay.world import Code

from ._history import History, Run
from ._network import Network
from ._servers import (
    FAILURE_OUTPUT,
    ConnectionLost,
    EmulatedServer,
    Job,
    RequestDeclined,
    iter_output,
)

UNAVAILABLE_STATUS = 503
MISDIRECTED_STATUS = 421
# Status of a failed run.
FAILURE_STATUS = 500
# Seconds after which the kernel gives up to connect to an unreachable host.
UNREACHABLE_SECONDS = 60.0


class EmulatedConnection:
    """Stand for both ends of a connection to an emulated backend server."""

    def __init__(self, host: str) -> None:
        # Of the VM that has the connection.
        self.host = host
        self.transport = self

    def get_extra_info(self, name: str) -> None:
        """Return no socket."""

    def get_write_buffer_size(self) -> int:
        """Return 0, since no bytes are sent."""
        return 0

    def is_closing(self) -> bool:
        """Return False: only its owner uses the connection."""
        return False

    def abort(self) -> None:
        """Do nothing, since no bytes are sent."""


class EmulatedExchange(BackendExchange):
    """Run an exchange that ends with its network or backend server."""

    def __init__(self, manager: AbstractAsyncContextManager[HttpStream]) -> None:
        self._manager = manager

    @property
    def is_direct(self) -> bool:
        """Return False: an emulated connection shows at once that it is cut."""
        return False

    def interrupt(self) -> None:
        """Do nothing, since nothing is interrupted."""

    async def __aenter__(self) -> HttpStream:
        return await self._manager.__aenter__()

    async def __aexit__(self, *error: object) -> bool | None:
        return await self._manager.__aexit__(*error)


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

    def forward(
        self,
        address: tuple[str, int],
        method: str,
        target: str | bytes,
        header_pairs: list,
        body: bytes,
        timeout: float,
        options: ExchangeOptions = ExchangeOptions(),  # noqa: B008
    ) -> EmulatedExchange:
        """Prepare an exchange that raises HttpFailure without a response."""
        headers = {str(name): str(value) for name, value in header_pairs}
        return EmulatedExchange(self._forward(address, headers, timeout, options))

    @asynccontextmanager
    async def _forward(
        self,
        address: tuple[str, int],
        headers: dict[str, str],
        timeout: float,
        options: ExchangeOptions,
    ) -> AsyncIterator[HttpStream]:
        host = await self._connect(address, options)
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
            kind=headers.get("kind", ""),
            version=server.entry.version,
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
                status = FAILURE_STATUS if first == FAILURE_OUTPUT else 200
                self.record_load(server)
                headers = server.make_headers()
                yield HttpStream(
                    status, headers, self._iter_chunks(job, first, host, address[0])
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
        try:
            async with asyncio.timeout(timeout):
                await self.dial(address)
        except (OSError, TimeoutError):
            return False
        return True

    async def dial(self, address: tuple[str, int]) -> Connection:
        """Connect to a backend server; raise OSError if that fails."""
        if not self._network.can_reach(self._host, address[0]):
            await asyncio.sleep(UNREACHABLE_SECONDS)
            raise TimeoutError
        await asyncio.sleep(self._network.draw_delay(self._host, address[0]))
        server = self._find_server(address)
        if server is None or server.is_down:
            raise ConnectionRefusedError
        connection = EmulatedConnection(self._host)
        return connection, connection

    async def close(self) -> None:
        """Do nothing, since there are no connections."""

    async def _connect(self, address: tuple[str, int], options: ExchangeOptions) -> str:
        """Return the host of the VM whose connection leads to the backend server."""
        try:
            connection = await (options.dialer or self).dial(address)
        except OSError as error:
            sentence = f"The connection attempt failed: {error}."
            raise HttpFailure(Code.STREAM_LOST, sentence, False) from None
        return connection[0].host

    def _is_connected(self, host: str, server_host: str) -> bool:
        """Return whether bytes arrive, through another VM's host if it differs."""
        network = self._network
        if host != self._host and not network.can_reach(self._host, host):
            return False
        return network.can_reach(host, server_host)

    async def _read_first_chunk(self, job: Job) -> bytes:
        async for data in iter_output(job):
            return data
        return b""

    async def _iter_chunks(
        self, job: Job, first: bytes, host: str, server_host: str
    ) -> AsyncIterator[bytes]:
        delay = self._network.draw_delay(server_host, host)
        await asyncio.sleep(delay)
        try:
            yield first
            async for data in iter_output(job):
                if not self._is_connected(host, server_host):
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
