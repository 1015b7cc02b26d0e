"""Paths to backend servers: direct, or through a VM that reaches them.

That one VM can't connect says nothing of a backend server. Only what several VMs find,
of which each reaches another backend server at that moment, counts against it.
"""

from __future__ import annotations

import asyncio
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

import logbook

from fireflyquay.dispatch import BackendRegistry
from fireflyquay.links import (
    Address,
    BackendClient,
    Connection,
    Dialer,
    TunnelRequest,
    TunnelState,
    abort_connection,
)
from fireflyquay.world import BackendServerId, EntryVm, Incarnation

LOG = logbook.Logger("paths")

# Seconds after which the next way is tried while the one before is still connecting. A
# connection opens within a few milliseconds; a lost SYN packet takes a second.
NEXT_WAY_DELAY_SECONDS = 0.1
# Seconds in which some way has to open.
CONNECT_TIMEOUT_SECONDS = 0.6
# Seconds in which a VM that carries a tunnel, or tests its own path, has to connect.
CHECK_TIMEOUT_SECONDS = 0.25
# Seconds in which a VM has to answer a request for a tunnel.
CARRIER_TIMEOUT_SECONDS = 0.4
# Maximum number of VMs that are asked to carry one connection.
MAX_CARRIERS = 4
# Number of VMs that must fail to connect to a backend server while they reach others.
MIN_WITNESSES = 2
# Number of other backend servers that a VM tests its paths with.
MAX_TESTED_BACKENDS = 3
# Seconds for which a VM that carried nothing isn't asked again.
CARRIER_PAUSE_SECONDS = 1.0
# Seconds between tests of the paths that are down, and how many are tested at a time.
TEST_INTERVAL_SECONDS = 0.25
MAX_TESTED_PATHS = 8


class Finding(Enum):
    """Name what is found of a backend server that this VM tried to reach."""

    REACHABLE = "REACHABLE"
    # It is reached through another VM only.
    PATH_DOWN = "PATH_DOWN"
    # VMs that reach others can't reach it.
    SERVER_DOWN = "SERVER_DOWN"
    # Nobody could tell.
    UNKNOWN = "UNKNOWN"


class Carriers(ABC):
    """List and ask the VMs that may carry tunnels to backend servers."""

    @abstractmethod
    def list_carriers(self) -> Sequence[EntryVm]:
        """Return the other VMs that accept requests."""

    @abstractmethod
    async def open_tunnel(
        self, vm: EntryVm, request: TunnelRequest
    ) -> tuple[TunnelState, Connection | None]:
        """Request a tunnel through another VM; raise OSError if it can't be reached."""


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Hold the result of one way to connect."""

    state: TunnelState
    connection: Connection | None = None
    # VM that carries the connection; None for the direct way.
    carrier: EntryVm | None = None
    # Whether that VM could not be asked, or did not answer in time.
    is_silent: bool = False


_Way = Callable[[], Awaitable[_Attempt]]


class BackendPaths(Dialer):
    """Connect to backend servers, through another VM where the direct path is down."""

    def __init__(
        self,
        client: BackendClient,
        backends: BackendRegistry,
        pause: Callable[[BackendServerId], None],
        is_resting: Callable[[BackendServerId], bool],
        rng: random.Random,
    ) -> None:
        self._client = client
        self._backends = backends
        # Suspends grants on a backend server that is down.
        self._pause = pause
        # Returns whether a backend server wants nothing from this VM at present.
        self._is_resting = is_resting
        self._rng = rng
        self._carriers: Carriers | None = None
        # Addresses whose direct paths are down, in the order in which that was found.
        self._down: dict[Address, None] = {}
        # Loop times of the last connections that opened directly.
        self._connected_at: dict[Address, float] = {}
        self._heard_at: dict[Address, float] = {}
        self._is_cut_off = False
        # Loop times until which VMs aren't asked to carry tunnels.
        self._skipped_until: dict[Incarnation, float] = {}
        self._examinations: dict[Address, asyncio.Task[Finding]] = {}
        self._test_of_others: asyncio.Task[bool] | None = None

    def connect(self, carriers: Carriers) -> None:
        """Ask the given VMs to carry tunnels from now on."""
        self._carriers = carriers

    @property
    def down_count(self) -> int:
        """Return the number of backend servers without a direct path."""
        return len(self._down)

    @property
    def is_cut_off(self) -> bool:
        """Return whether no backend server that was tested can be reached directly."""
        return self._is_cut_off

    def is_stranded(self) -> bool:
        """Return whether this VM reaches no backend server in any way."""
        now = asyncio.get_running_loop().time()
        return self._is_cut_off and not self._list_askable(now)

    def may_reuse(self, address: Address) -> bool:
        """Return whether idle direct connections to an address may be used."""
        return address not in self._down and not self._is_cut_off

    def record_contact(self, address: Address) -> None:
        """Record that bytes arrived from a backend server."""
        self._heard_at[address] = asyncio.get_running_loop().time()

    def get_heard_at(self, address: Address) -> float:
        """Return the loop time of the last bytes from a backend server."""
        return self._heard_at.get(address, -math.inf)

    def _get_contact_at(self, address: Address) -> float:
        return max(self.get_connected_at(address), self.get_heard_at(address))

    def get_connected_at(self, address: Address) -> float:
        """Return the loop time of the last connection that opened directly."""
        return self._connected_at.get(address, -math.inf)

    async def dial(self, address: Address) -> Connection:
        """Connect directly or through another VM; raise OSError if neither works."""
        attempt, finding = await self._open(address, lambda: self._dial_direct(address))
        if attempt is not None and attempt.connection is not None:
            return attempt.connection
        if finding is Finding.SERVER_DOWN:
            for entry in self._backends.list_at(address):
                self._pause(entry.id)
        raise ConnectionRefusedError(f"no path: {finding.value}")

    async def examine(self, address: Address) -> Finding:
        """Return whether a backend server or only the path to it is down."""
        task = self._examinations.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._examine(address))
            self._examinations[address] = task
            task.add_done_callback(lambda _: self._examinations.pop(address, None))
        return await asyncio.shield(task)

    async def open_for_tunnel(
        self, request: TunnelRequest
    ) -> tuple[TunnelState, Connection | None]:
        """Connect directly for another VM; never through a third one."""
        address = (request.host, request.port)
        if not any(
            self._backends.accepts_requests(entry.id) and not self._is_resting(entry.id)
            for entry in self._backends.list_at(address)
        ):
            return TunnelState.DECLINED, None
        if self.is_cut_off:
            return TunnelState.CUT_OFF, None
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                attempt = await self._dial_direct(address)
        except TimeoutError:
            attempt = _Attempt(TunnelState.CUT_OFF)
        if attempt.state is not TunnelState.OPEN and await self._reaches_others(
            address, started_at
        ):
            return TunnelState.SERVER_UNREACHABLE, None
        return attempt.state, attempt.connection

    async def close(self) -> None:
        """Cancel the examinations in progress."""
        tasks = list(self._examinations.values())
        if self._test_of_others is not None:
            tasks.append(self._test_of_others)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_paths(self) -> None:
        """Test the direct paths that are down until cancelled."""
        while True:
            await asyncio.sleep(TEST_INTERVAL_SECONDS)
            registered = dict.fromkeys(self._list_addresses())
            self._down = {it: None for it in self._down if it in registered}
            now = asyncio.get_running_loop().time()
            for vm in [it for it, until in self._skipped_until.items() if until < now]:
                del self._skipped_until[vm]
            for known in (self._heard_at, self._connected_at):
                for address in known.keys() - registered.keys():
                    del known[address]
            # Others may be up, though those that were tested are down.
            tested = list(registered if self._is_cut_off else self._down)
            if len(tested) > MAX_TESTED_PATHS:
                tested = self._rng.sample(tested, MAX_TESTED_PATHS)
            await asyncio.gather(*map(self._test_path, tested))

    async def _test_path(self, address: Address) -> bool:
        """Return whether a connection opens directly; update the path."""
        if not await self._client.can_connect(address, CHECK_TIMEOUT_SECONDS):
            return False
        self._record_connected(address)
        return True

    def _record_connected(self, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        self._connected_at[address] = now
        if address in self._down:
            del self._down[address]
            LOG.info("path to backend server is back", extra=self._describe(address))
        if self._is_cut_off:
            self._is_cut_off = False
            LOG.info("VM reaches backend servers again")

    def _record_down(self, address: Address, cause: str) -> None:
        if address in self._down:
            return
        self._down[address] = None
        extra = {**self._describe(address), "cause": cause}
        LOG.warning("path to backend server is down", extra=extra)
        if self._test_of_others is None or self._test_of_others.done():
            loop = asyncio.get_running_loop()
            test = self._reaches_others(address, loop.time())
            self._test_of_others = loop.create_task(test)

    def _describe(self, address: Address) -> dict[str, object]:
        return {
            "host": address[0],
            "port": address[1],
            "backends": [entry.id for entry in self._backends.list_at(address)],
        }

    def _list_addresses(self) -> list[Address]:
        return [entry.address for entry in self._backends.list_backends()]

    def _list_askable(self, now: float) -> list[EntryVm]:
        """Return the VMs that may carry a tunnel, in random order by strength."""
        if self._carriers is None:
            return []
        vms = [
            vm
            for vm in self._carriers.list_carriers()
            if now >= self._skipped_until.get(vm.incarnation, 0.0)
        ]
        # Sorting by such keys is weighted sampling without replacement.
        return sorted(
            vms, key=lambda vm: self._rng.random() ** (1 / vm.strength), reverse=True
        )

    async def _examine(self, address: Address) -> Finding:
        async def check_direct() -> _Attempt:
            if await self._test_path(address):
                return _Attempt(TunnelState.OPEN)
            return _Attempt(TunnelState.CUT_OFF)

        attempt, finding = await self._open(address, check_direct)
        if attempt is not None and attempt.connection is not None:
            abort_connection(attempt.connection[1])
        return finding

    async def _open(
        self, address: Address, try_direct: _Way
    ) -> tuple[_Attempt | None, Finding]:
        """Try the ways to a backend server one after the other, without long waits."""
        started_at = asyncio.get_running_loop().time()
        was_down = not self.may_reuse(address)
        askable: list[EntryVm] = []

        def iter_ways() -> Iterator[_Way]:
            if not was_down:
                yield try_direct
            # Listing is costly in a large fleet, and most connections open directly.
            askable.extend(self._list_askable(started_at))
            for vm in askable[:MAX_CARRIERS]:
                yield self._make_way(vm, address)
            if was_down:
                yield try_direct

        race = _Race(self._may_end)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                attempt = await race.run(iter_ways())
        except TimeoutError:
            attempt = None
        for failed in race.failures:
            if failed.carrier is not None and (
                failed.is_silent or failed.state is TunnelState.CUT_OFF
            ):
                until = started_at + CARRIER_PAUSE_SECONDS
                self._skipped_until[failed.carrier.incarnation] = until
        if attempt is not None and attempt.carrier is None:
            return attempt, Finding.REACHABLE
        if attempt is not None:
            if not was_down:
                self._record_down(address, "another VM reaches it")
            return attempt, Finding.PATH_DOWN
        has_asked_all = len(askable) <= MAX_CARRIERS
        finding = await self._judge(address, race.failures, has_asked_all, started_at)
        LOG.warning(
            "no path to backend server",
            extra={
                **self._describe(address),
                "finding": finding.value,
                "states": [it.state.name for it in race.failures],
                "skipped": len(self._skipped_until),
            },
        )
        return None, finding

    async def _judge(
        self,
        address: Address,
        failures: list[_Attempt],
        has_asked_all: bool,
        started_at: float,
    ) -> Finding:
        """Return what it means that no way to a backend server opened."""
        witnesses = _count_witnesses(failures)
        if witnesses < MIN_WITNESSES:
            if await self._reaches_others(address, started_at):
                witnesses += 1
            else:
                has_asked_all = has_asked_all and not witnesses
        if witnesses >= MIN_WITNESSES or (witnesses and has_asked_all):
            return Finding.SERVER_DOWN
        return Finding.UNKNOWN

    async def _reaches_others(self, address: Address, since: float) -> bool:
        """Return whether this VM reaches another backend server than the given one.

        If it reaches none of those that it tests, it counts as cut off. With no other
        to test, it counts as reaching others.
        """
        registered = dict.fromkeys(self._list_addresses())
        others = [it for it in registered if it != address]
        if not others:
            return True
        if any(self.get_connected_at(it) >= since for it in others):
            return True
        # Others may have crashed; those that were reached last are likely to be up.
        others.sort(key=self._get_contact_at, reverse=True)
        tested = others[:MAX_TESTED_BACKENDS]
        if any(await asyncio.gather(*map(self._test_path, tested))):
            return True
        if not self._is_cut_off:
            self._is_cut_off = True
            LOG.warning("VM is cut off from backend servers", extra={"tested": tested})
        self._down.update(dict.fromkeys((address, *tested)))
        return False

    def _may_end(self, failures: list[_Attempt]) -> bool:
        return _count_witnesses(failures) >= MIN_WITNESSES

    async def _dial_direct(self, address: Address) -> _Attempt:
        try:
            connection = await self._client.dial(address)
        except OSError:
            return _Attempt(TunnelState.CUT_OFF)
        self._record_connected(address)
        return _Attempt(TunnelState.OPEN, connection)

    def _make_way(self, vm: EntryVm, address: Address) -> _Way:
        async def open_tunnel() -> _Attempt:
            assert self._carriers is not None
            try:
                async with asyncio.timeout(CARRIER_TIMEOUT_SECONDS):
                    state, connection = await self._carriers.open_tunnel(
                        vm, TunnelRequest(*address)
                    )
            except (OSError, TimeoutError):
                return _Attempt(TunnelState.DECLINED, None, vm, True)
            return _Attempt(state, connection, vm)

        return open_tunnel


class _Race:
    """Run ways to connect, each started when the one before fails or is slow."""

    def __init__(self, may_end: Callable[[list[_Attempt]], bool]) -> None:
        self._may_end = may_end
        self.failures: list[_Attempt] = []

    async def run(self, ways: Iterator[_Way]) -> _Attempt | None:
        """Return the first attempt that opened; None if all failed."""
        tasks: set[asyncio.Task[_Attempt]] = set()
        winner: _Attempt | None = None
        has_more = True
        try:
            while winner is None and not self._may_end(self.failures):
                way = next(ways, None) if has_more else None
                if way is not None:
                    tasks.add(asyncio.ensure_future(way()))
                else:
                    has_more = False
                if not tasks:
                    return None
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=NEXT_WAY_DELAY_SECONDS if has_more else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for attempt in [task.result() for task in done]:
                    if attempt.state is not TunnelState.OPEN:
                        self.failures.append(attempt)
                    elif winner is None:
                        winner = attempt
                    else:
                        _close(attempt)
            return winner
        finally:
            for task in tasks:
                task.add_done_callback(_close_unused)
                task.cancel()


def _close_unused(task: asyncio.Task[_Attempt]) -> None:
    if not task.cancelled() and task.exception() is None:
        _close(task.result())


def _close(attempt: _Attempt) -> None:
    if attempt.connection is not None:
        abort_connection(attempt.connection[1])


def _count_witnesses(failures: list[_Attempt]) -> int:
    return sum(it.state is TunnelState.SERVER_UNREACHABLE for it in failures)
