"""Links between entry VMs: batched, framed messages over TCP."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import logbook
import msgspec

from fireflyquay.membership import Message
from fireflyquay.world import DECODE_ERRORS, EntryVm, Incarnation

from ._sockets import configure_socket

LOG = logbook.Logger("peers")

FRAME_HEADER_BYTES = 4
# Bytes of one frame, at most: the registry of thousands of backend servers fits.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Messages that wait for one peer: a coordinator's for seconds at thousands of requests
# a second. One more, and all of them are dropped and counted.
MAX_WAITING_MESSAGES = 20_000
# Seconds to a peer's acceptance of a connection: an opening packet that was lost is
# sent again after one.
CONNECT_TIMEOUT_S = 1.0
# Seconds between two tries to connect; a start of a process takes some 0.4.
RECONNECT_DELAY_S = 0.2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry all messages of one tick to one peer."""

    sender: Incarnation
    # Receiver's incarnation, empty when the sender knows only its address.
    target: Incarnation
    messages: tuple[msgspec.Raw, ...]


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name where an entry VM's process takes messages of its peers."""

    host: str
    port: int


@dataclass(slots=True)
class PeerTraffic:
    """Count what went over the links."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    rejected: int = 0
    dropped: int = 0


Deliver = Callable[[Incarnation, Message], None]


class _Outgoing:
    """Queue messages for one address and keep a connection to it."""

    def __init__(self, address: PeerAddress, own: Incarnation, traffic: PeerTraffic):
        self._address = address
        self._own = own
        self._traffic = traffic
        self._waiting: dict[Incarnation, list[msgspec.Raw]] = {}
        self._count = 0
        # Whether messages are dropped.
        self._is_lost = False
        self._wake = asyncio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(self, target: Incarnation, message: Message) -> None:
        """Queue a message; all that wait give way when the peer takes none."""
        if self._count >= MAX_WAITING_MESSAGES:
            self._drop_waiting("too many wait")
        raw = msgspec.Raw(self._encoder.encode(message))
        self._waiting.setdefault(target, []).append(raw)
        self._count += 1
        self._wake.set()

    async def close(self) -> None:
        """End the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            try:
                await self._send_while_connected()
            except (OSError, TimeoutError, ValueError, OverflowError) as error:
                # The last two: others told of what is no host or port.
                self._drop_waiting(repr(error))
                self._wake.clear()
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _send_while_connected(self) -> None:
        # Not wait_for: it drops a cancel that comes as the connection is made.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port
            )
        configure_socket(writer)
        closed = asyncio.ensure_future(reader.read(1))
        closed.add_done_callback(lambda _: self._wake.set())
        try:
            while not closed.done():
                await self._wake.wait()
                self._write_waiting(writer)
                await writer.drain()
        finally:
            closed.cancel()
            writer.close()

    def _write_waiting(self, writer: asyncio.StreamWriter) -> None:
        self._wake.clear()
        if self._is_lost:
            LOG.info("peer regained", extra=self._describe())
            self._is_lost = False
        for target, messages in self._waiting.items():
            envelope = Envelope(self._own, target, tuple(messages))
            body = self._encoder.encode(envelope)
            writer.write(len(body).to_bytes(FRAME_HEADER_BYTES, "big"))
            writer.write(body)
            self._traffic.messages_sent += len(messages)
            self._traffic.bytes_sent += len(body) + FRAME_HEADER_BYTES
        self._waiting.clear()
        self._count = 0

    def _drop_waiting(self, cause: str) -> None:
        """Drop all messages, and say so once until the peer takes some again."""
        if not self._is_lost:
            dropped = {"dropped": self._count, "cause": cause}
            LOG.warning("peer lost", extra={**self._describe(), **dropped})
            self._is_lost = True
        self._traffic.dropped += self._count
        self._waiting.clear()
        self._count = 0

    def _describe(self) -> dict[str, str | int]:
        return {"host": self._address.host, "port": self._address.port}


class Link(ABC):
    """Exchange messages with peers."""

    def __init__(self) -> None:
        self.traffic = PeerTraffic()

    @abstractmethod
    async def start(self, host: str, port: int) -> int:
        """Listen for peers and return the bound port."""

    @abstractmethod
    def send(self, vm: EntryVm, message: Message) -> None:
        """Send a message to one incarnation of an entry VM."""

    @abstractmethod
    def send_to(self, host: str, port: int, message: Message) -> None:
        """Send a message to whatever incarnation runs at an address."""

    @abstractmethod
    async def forget(self, vm: EntryVm) -> None:
        """Drop the connection to a lost entry VM."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and end all connections."""


# Makes a link of an incarnation, the type of its messages and what takes them.
MakeLink = Callable[[Incarnation, type, Deliver], Link]


class PeerLink(Link):
    """Send messages to peers and deliver theirs; a lost message is not resent."""

    def __init__(
        self,
        own: Incarnation,
        message_type: type,
        deliver: Deliver,
    ) -> None:
        super().__init__()
        self._own = own
        self._deliver = deliver
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._outgoing: dict[PeerAddress, _Outgoing] = {}
        self._incoming: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen for peers and return the bound port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def send(self, vm: EntryVm, message: Message) -> None:
        """Send a message to one incarnation of an entry VM."""
        self._find(PeerAddress(vm.host, vm.peer_port)).put(vm.incarnation, message)

    def send_to(self, host: str, port: int, message: Message) -> None:
        """Send a message to whatever incarnation runs at an address."""
        self._find(PeerAddress(host, port)).put(Incarnation(""), message)

    async def forget(self, vm: EntryVm) -> None:
        """Drop the connection to a lost entry VM."""
        outgoing = self._outgoing.pop(PeerAddress(vm.host, vm.peer_port), None)
        if outgoing is not None:
            await outgoing.close()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for outgoing in self._outgoing.values():
            await outgoing.close()
        for writer in tuple(self._incoming):
            writer.close()

    def _find(self, address: PeerAddress) -> _Outgoing:
        outgoing = self._outgoing.get(address)
        if outgoing is None:
            outgoing = _Outgoing(address, self._own, self.traffic)
            self._outgoing[address] = outgoing
        return outgoing

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._incoming.add(writer)
        configure_socket(writer)
        try:
            while True:
                self._take_frame(await self._read_frame(reader))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The streams of asyncio log a handler that ends as cancelled.
            pass
        finally:
            self._incoming.discard(writer)
            writer.close()

    async def _read_frame(self, reader: asyncio.StreamReader) -> bytes:
        header = await reader.readexactly(FRAME_HEADER_BYTES)
        size = int.from_bytes(header, "big")
        if size > MAX_FRAME_BYTES:
            self._reject(f"a frame of {size} bytes")
            raise ValueError("frame too large")
        body = await reader.readexactly(size)
        self.traffic.bytes_received += size + FRAME_HEADER_BYTES
        return body

    def _take_frame(self, body: bytes) -> None:
        try:
            envelope = self._envelopes.decode(body)
        except DECODE_ERRORS as error:
            self._reject(str(error))
            return
        if envelope.target not in ("", self._own):
            return
        for raw in envelope.messages:
            self._take_message(envelope.sender, raw)

    def _take_message(self, sender: Incarnation, raw: msgspec.Raw) -> None:
        try:
            message = self._decoder.decode(raw)
        except DECODE_ERRORS as error:
            self._reject(str(error))
            return
        self.traffic.messages_received += 1
        self._deliver(sender, message)

    def _reject(self, cause: str) -> None:
        self.traffic.rejected += 1
        LOG.warning("message unreadable", extra={"cause": cause})
