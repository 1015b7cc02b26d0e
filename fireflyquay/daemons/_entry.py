"""The entry daemon: binds the node's decisions to sockets and the loop's clock."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import time

import logbook

from fireflyquay.contracts import (
    StoreFailed,
)
from fireflyquay.decisions import (
    PEER_MESSAGE,
    CallStore,
    Cancel,
    Dispatch,
    Join,
    Node,
    Record,
    Redirect,
    Refuse,
    Resume,
)
from fireflyquay.links import (
    BackendAdapter,
    EngineAdapter,
    HttpClient,
    HttpLimits,
    HttpServer,
    HttpStore,
    HttpVmList,
    Metrics,
    PeerLink,
    ServiceAdapter,
    Store,
    VmList,
    make_handler,
)
from fireflyquay.membership import (
    Message,
    Send,
    SendTo,
)
from fireflyquay.world import (
    BackendKind,
    Code,
    EntryVm,
    FireflyquayError,
    Incarnation,
    RegionId,
    ZoneId,
)

from ._caller_api import CallerApi
from ._desk import AnswerDesk
from ._meter import Meter
from ._runner import Runner
from ._settings import EntrySettings, HttpSettings, LogFormat

TICK_S = 0.05
VM_LIST_PERIOD_S = 5.0
INCARNATION_BYTES = 6
STOP_GRACE_S = 5.0
STOP_FLUSH_S = 2.0
# Writes of the trail that a stop makes at most.
MAX_STOP_FLUSHES = 16
METRICS_PERIOD_S = 1.0
TRAIL_TAG = "trail:"

_log = logbook.Logger("entry")


class EntryDaemon:
    """Run one entry VM's node on the current loop."""

    def __init__(
        self,
        settings: EntrySettings,
        store: Store | None = None,
        vm_list: VmList | None = None,
    ) -> None:
        self._settings = settings
        limits = convert_limits(settings.http)
        self._client = HttpClient(limits)
        platform = settings.platform
        self._store = store or HttpStore(self._client, platform.host, platform.port)
        self._vm_list = vm_list or HttpVmList(
            self._client, platform.host, platform.port, platform.timeout
        )
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        self._metrics = Metrics()
        self._meter = Meter(self._metrics)
        self._act = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        # Writes of the trail in progress.
        self._flushes: set[asyncio.Task[None]] = set()
        # Set when the daemon can't go on.
        self.failed = asyncio.Event()
        self._http = HttpServer(self._handle, limits)
        self._links = PeerLink(self.incarnation, PEER_MESSAGE, self._deliver)
        self._control_cpu = 0.0
        self.http_port = 0
        self.peer_port = 0

    async def start(self) -> None:
        """Bind both ports and begin to work."""
        node = self._settings.node
        self.peer_port = await self._links.start(node.host, node.peer_port)
        self.http_port = await self._http.start(node.host, node.http_port)
        self._make_node()
        self._node.start(asyncio.get_running_loop().time())
        self._act.set()
        self._spawn(self._tick())
        self._spawn(self._seed())
        self._spawn(self._act_on())
        self._spawn(self._publish_metrics())
        _log.info("Serving callers at {}:{}.", node.host, self.http_port)

    async def drain(self) -> None:
        """Leave the fleet and wait until nothing is in progress."""
        loop = asyncio.get_running_loop()
        _log.info("Draining.")
        self._node.begin_drain(loop.time())
        self._act.set()
        while not self._node.is_drained(loop.time()):
            await asyncio.sleep(TICK_S)
        await self._http.close(STOP_GRACE_S)

    async def stop(self) -> None:
        """Stop at once; what still runs is left to its backend servers."""
        await self._flush_trail()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.close()
        await self._http.close(0.0)
        await self._links.close()
        await self._client.close()
        _log.info("Stopped.")

    async def _flush_trail(self) -> None:
        """Write what is left of the trail, within a bounded time."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + STOP_FLUSH_S
        for _ in range(MAX_STOP_FLUSHES):
            self._node.flush_trail(loop.time())
            await self._carry_out()
            left = give_up_at - loop.time()
            if not self._flushes or left <= 0:
                return
            await asyncio.wait(self._flushes, timeout=left)

    def _make_node(self) -> None:
        loop = asyncio.get_running_loop()
        node = self._settings.node
        vm = EntryVm(
            incarnation=self.incarnation,
            zone=ZoneId(node.zone),
            region=RegionId(node.region),
            host=node.host,
            http_port=self.http_port,
            peer_port=self.peer_port,
        )
        now = loop.time()
        rng = random.Random(self.incarnation)
        settings = self._settings.get_decision_settings()
        self._node = Node(vm, rng, now, time.time() - now, settings)
        self._desk = AnswerDesk(self._node, self._meter, self._act)
        adapters: dict[BackendKind, BackendAdapter] = {
            BackendKind.MODEL_ENGINE: EngineAdapter(self._client),
            BackendKind.PLAIN_SERVICE: ServiceAdapter(self._client),
        }
        self._runner = Runner(self._node, adapters, self._meter, self._act)
        self._api = CallerApi(
            self._node,
            self._desk,
            self._metrics,
            self._settings.get_work_kinds(),
            node.operator_token,
        )

    async def _handle(self, request, responder) -> None:
        await self._api.handle(request, responder)

    def _deliver(self, sender: Incarnation, message: Message) -> None:
        started = time.thread_time()
        self._node.receive(asyncio.get_running_loop().time(), sender, message)
        self._control_cpu += time.thread_time() - started
        self._act.set()

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = time.thread_time()
            self._node.advance(loop.time())
            self._control_cpu += time.thread_time() - started
            self._act.set()
            await asyncio.sleep(TICK_S)

    async def _seed(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                listings = await self._vm_list.list()
                self._node.seed_members(loop.time(), listings)
                self._act.set()
            except FireflyquayError as error:
                _log.warning("The VM list is not to be had: {}.", error)
            await asyncio.sleep(VM_LIST_PERIOD_S)

    async def _act_on(self) -> None:
        while True:
            await self._act.wait()
            await self._carry_out()

    async def _carry_out(self) -> None:
        self._act.clear()
        for action in self._node.take_actions():
            self._perform(action)

    def _perform(self, action) -> None:
        match action:
            case Send():
                self._send(action)
            case SendTo():
                self._links.send_to(action.host, action.peer_port, action.message)
            case CallStore():
                self._start_store_call(action)
            case Dispatch() | Resume():
                answer = self._desk.find(action.request.exchange)
                if answer is not None:
                    self._runner.start(action, answer)
            case Cancel():
                self._runner.cancel(action.exchange)
            case Refuse():
                self._desk.refuse(action)
            case Redirect():
                self._desk.redirect(action)
            case Join():
                self._desk.join(action)
            case Record():
                record = action.record
                _log.debug(
                    "{} {} {} {}.", record.key, record.step, record.target, record.why
                )

    def _send(self, action: Send) -> None:
        vm = self._node.find_vm(action.peer)
        if vm is not None:
            self._links.send(vm, action.message)

    def _start_store_call(self, action: CallStore) -> None:
        task = self._spawn(self._call_store(action))
        if action.tag.startswith(TRAIL_TAG):
            self._flushes.add(task)
            task.add_done_callback(self._flushes.discard)

    async def _call_store(self, action: CallStore) -> None:
        loop = asyncio.get_running_loop()
        timeout = self._settings.platform.timeout
        started = loop.time()
        answer = await self._store.call(action.call, timeout)
        outcome = "failed" if isinstance(answer, StoreFailed) else "answered"
        kind = type(action.call).__name__
        self._metrics.count_store_call(kind, outcome, loop.time() - started)
        self._node.receive_store_answer(loop.time(), action.tag, answer)
        self._act.set()

    async def _publish_metrics(self) -> None:
        loop = asyncio.get_running_loop()
        last = self._links.traffic.copy()
        while True:
            await asyncio.sleep(METRICS_PERIOD_S)
            traffic = self._links.traffic
            self._metrics.count_control_sent(
                traffic.messages_sent - last.messages_sent,
                traffic.bytes_sent - last.bytes_sent,
            )
            self._metrics.count_control_received(
                traffic.messages_received - last.messages_received,
                traffic.bytes_received - last.bytes_received,
            )
            last = traffic.copy()
            self._metrics.add_control_cpu(self._control_cpu)
            self._control_cpu = 0.0
            self._publish_state(loop.time())

    def _publish_state(self, now: float) -> None:
        status = self._node.describe(now)
        for tier, depth in self._node.count_queued().items():
            self._metrics.set_queue_depth(tier, depth)
        for tier, count in self._node.count_in_flight().items():
            self._metrics.set_in_flight(tier, count)
        for customer, version in status.contracts.items():
            self._metrics.set_contract_version(customer, version)
        for state, count in self._node.count_members().items():
            self._metrics.set_members(state, count)

    def _spawn(self, work) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A daemon that lost one of its loops must not look alive.
        _log.critical("A task failed: {!r}.", task.exception())
        self.failed.set()


def convert_limits(settings: HttpSettings) -> HttpLimits:
    """Return the links' limits as set."""
    return HttpLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        header_timeout=settings.read_timeout,
        body_timeout=settings.read_timeout,
        idle_timeout=settings.keep_alive,
        write_buffer_bytes=settings.write_buffer_bytes,
    )


async def serve_entry(settings: EntrySettings) -> None:
    """Run until a signal: SIGTERM drains, a second one or SIGINT stops at once."""
    daemon = EntryDaemon(settings)
    await daemon.start()
    print(f"listening {daemon.http_port} {daemon.peer_port}", flush=True)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    at_once = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, at_once.set)
    waiting = {
        loop.create_task(stop.wait()),
        loop.create_task(at_once.wait()),
        loop.create_task(daemon.failed.wait()),
    }
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if stop.is_set():
        loop.add_signal_handler(signal.SIGTERM, at_once.set)
        drain = loop.create_task(daemon.drain())
        await asyncio.wait(
            {drain, loop.create_task(at_once.wait())},
            return_when=asyncio.FIRST_COMPLETED,
        )
    await daemon.stop()
    if daemon.failed.is_set():
        raise FireflyquayError(Code.INTERNAL, "The daemon failed; see its log.")


async def run_entry(settings: EntrySettings) -> None:
    """Run the entry daemon with its logs until it is told to stop."""
    is_json = settings.log.format is LogFormat.JSON
    with make_handler(is_json, settings.log.level.value).applicationbound():
        await serve_entry(settings)
