"""Exchange of messages between entry VMs in batched frames over TCP."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import logbook
import msgspec

from fireflyquay.dispatch import CONNECTION_BYTES
from fireflyquay.membership import Message
from fireflyquay.world import DECODE_ERRORS, EntryVm, Incarnation

from ._connection_guard import ConnectionGuard
from ._connection_reset import abort_connection
from ._loop_turns import EventShare
from ._monitored_reader import MonitoredReader
from ._peer_connection import MAX_RECEIVED_BYTES, PeerConnection
from ._sockets import convert_address_errors, enable_dead_peer_detection
from ._tunnel import (
    FRAME_HEADER_BYTES,
    Connection,
    TunnelCarrier,
    TunnelProtocol,
    TunnelRequest,
    TunnelState,
    encode_frame,
)

LOG = logbook.Logger("peers")

# Maximum length of the queue for one peer: several seconds of a coordinator's messages
# at thousands of requests per second. When a message exceeds it, the messages queued
# before are dropped and counted.
MAX_QUEUED_MESSAGES = 20_000
# TCP retransmits a lost SYN packet after 1 second.
CONNECT_TIMEOUT_SECONDS = 1.0
# Well below the time after which a VM counts as in touch again, and enough for three
# retransmissions. What is lost with a connection is sent again by the protocols above.
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# An entry VM's process takes about 0.4 seconds to start.
RECONNECT_DELAY_SECONDS = 0.2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Hold a batch of messages to one peer, sent as one frame."""

    sender: Incarnation
    # The receiver's incarnation; empty if the sender knows only the receiver's address.
    target: Incarnation
    # A sender queues no more; each takes several times its size once it is decoded.
    messages: Annotated[
        tuple[msgspec.Raw, ...], msgspec.Meta(max_length=MAX_QUEUED_MESSAGES)
    ]


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Hold the address at which an entry VM listens for its peers."""

    host: str
    port: int


@dataclass(slots=True)
class PeerTraffic:
    """Count messages and bytes exchanged with peers."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    # Received frames and messages that could not be decoded or were too large.
    messages_rejected: int = 0
    # Messages that were dropped because the peer was unreachable or its queue full.
    messages_dropped: int = 0


MessageCallback = Callable[[Incarnation, Message], None]


class _PeerSender:
    """Queue messages for one address, and send them over a connection kept open."""

    def __init__(
        self,
        address: PeerAddress,
        own_incarnation: Incarnation,
        traffic: PeerTraffic,
    ):
        self._address = address
        self._own_incarnation = own_incarnation
        self._traffic = traffic
        self._queued_messages: dict[Incarnation, list[msgspec.Raw]] = {}
        self._queued_count = 0
        # Whether "peer lost" was logged and "peer regained" was not yet.
        self._is_loss_logged = False
        # Set when messages are queued or the peer closes the connection.
        self._wakeup = asyncio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def enqueue(self, target: Incarnation, message: Message) -> None:
        """Queue a message; if the queue is full, drop the messages in it first."""
        if self._queued_count >= MAX_QUEUED_MESSAGES:
            self._drop_queued("the queue for the peer is full")
        raw = msgspec.Raw(self._encoder.encode(message))
        self._queued_messages.setdefault(target, []).append(raw)
        self._queued_count += 1
        self._wakeup.set()

    async def close(self) -> None:
        """Close the connection and drop queued messages."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait()
            try:
                await self._send_while_connected()
            except (OSError, TimeoutError) as error:
                self._drop_queued(repr(error))
                self._wakeup.clear()
                await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _send_while_connected(self) -> None:
        # Not asyncio.wait_for, which may lose a cancellation that arrives just as the
        # connection opens.
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            # Peers may report an invalid host or port.
            with convert_address_errors():
                reader, writer = await asyncio.open_connection(
                    self._address.host, self._address.port
                )
        enable_dead_peer_detection(writer, UNACKNOWLEDGED_TIMEOUT_MS)
        # Peers send nothing on this connection: the read completes when it is closed.
        end_of_input = asyncio.ensure_future(reader.read(1))
        end_of_input.add_done_callback(lambda _: self._wakeup.set())
        try:
            while not end_of_input.done():
                await self._wakeup.wait()
                self._write_queued(writer)
                await writer.drain()
        finally:
            end_of_input.cancel()
            writer.close()

    def _write_queued(self, writer: asyncio.StreamWriter) -> None:
        self._wakeup.clear()
        if self._is_loss_logged:
            LOG.info("peer regained", extra=self._describe_peer())
            self._is_loss_logged = False
        for target, messages in self._queued_messages.items():
            envelope = Envelope(self._own_incarnation, target, tuple(messages))
            frame = encode_frame(self._encoder.encode(envelope))
            writer.write(frame)
            self._traffic.messages_sent += len(messages)
            self._traffic.bytes_sent += len(frame)
        self._queued_messages.clear()
        self._queued_count = 0

    def _drop_queued(self, cause: str) -> None:
        """Drop all queued messages; log only the first drop until messages are sent."""
        if not self._is_loss_logged:
            details = {"dropped": self._queued_count, "cause": cause}
            LOG.warning("peer lost", extra={**self._describe_peer(), **details})
            self._is_loss_logged = True
        self._traffic.messages_dropped += self._queued_count
        self._queued_messages.clear()
        self._queued_count = 0

    def _describe_peer(self) -> dict[str, str | int]:
        return {"host": self._address.host, "port": self._address.port}


class Link(ABC):
    """Send messages to peers, and pass received messages to a callback."""

    def __init__(self) -> None:
        self.traffic = PeerTraffic()
        self.carrier = TunnelCarrier()
        self.guard = ConnectionGuard()

    async def open_tunnel(
        self, vm: EntryVm, request: TunnelRequest
    ) -> tuple[TunnelState, Connection | None]:
        """Request a tunnel through another VM; raise OSError if it can't be reached."""
        raise ConnectionRefusedError("this link carries no tunnels")

    @abstractmethod
    async def start(self, host: str, port: int) -> int:
        """Listen for peers and return the bound port."""

    @abstractmethod
    def send(self, vm: EntryVm, message: Message) -> None:
        """Send a message to an entry VM; its other incarnations ignore it."""

    @abstractmethod
    def send_to_address(self, host: str, port: int, message: Message) -> None:
        """Send a message to whichever incarnation runs at an address."""

    @abstractmethod
    async def disconnect(self, vm: EntryVm) -> None:
        """Close the connection to an entry VM and drop its queued messages."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and close all connections."""


# Creates a Link from the VM's own incarnation, the type of messages, and the callback
# for received messages.
LinkFactory = Callable[[Incarnation, type, MessageCallback], Link]


class PeerLink(Link):
    """Exchange messages over TCP; never resend messages lost with a connection."""

    def __init__(
        self,
        own_incarnation: Incarnation,
        message_type: type,
        deliver: MessageCallback,
    ) -> None:
        super().__init__()
        self._own_incarnation = own_incarnation
        self._deliver = deliver
        self._message_decoder = msgspec.msgpack.Decoder(message_type | TunnelRequest)
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._senders: dict[PeerAddress, _PeerSender] = {}
        self._accepted_connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen for peers and return the bound port."""
        self._server = await asyncio.start_server(
            self._receive_frames, host, port, limit=MAX_RECEIVED_BYTES
        )
        return self._server.sockets[0].getsockname()[1]

    def send(self, vm: EntryVm, message: Message) -> None:
        """Send a message to an entry VM; its other incarnations ignore it."""
        self._get_sender(PeerAddress(vm.host, vm.peer_port)).enqueue(
            vm.incarnation, message
        )

    def send_to_address(self, host: str, port: int, message: Message) -> None:
        """Send a message to whichever incarnation runs at an address."""
        self._get_sender(PeerAddress(host, port)).enqueue(Incarnation(""), message)

    async def disconnect(self, vm: EntryVm) -> None:
        """Close the connection to an entry VM and drop its queued messages."""
        peer_sender = self._senders.pop(PeerAddress(vm.host, vm.peer_port), None)
        if peer_sender is not None:
            await peer_sender.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for peer_sender in self._senders.values():
            await peer_sender.close()
        for writer in tuple(self._accepted_connections):
            writer.close()

    async def open_tunnel(
        self, vm: EntryVm, request: TunnelRequest
    ) -> tuple[TunnelState, Connection | None]:
        """Request a tunnel through another VM; raise OSError if it can't be reached."""
        loop = asyncio.get_running_loop()
        reader = MonitoredReader(loop)
        reader.carrier = vm.incarnation
        with convert_address_errors():
            transport, protocol = await loop.create_connection(
                lambda: TunnelProtocol(reader, loop), vm.host, vm.peer_port
            )
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        try:
            enable_dead_peer_detection(writer)
            raw = msgspec.Raw(msgspec.msgpack.encode(request))
            envelope = Envelope(self._own_incarnation, vm.incarnation, (raw,))
            writer.write(encode_frame(msgspec.msgpack.encode(envelope)))
            state = await protocol.state
        except BaseException:
            transport.abort()
            raise
        if state is TunnelState.OPEN:
            return state, (reader, writer)
        transport.abort()
        return state, None

    def _get_sender(self, address: PeerAddress) -> _PeerSender:
        peer_sender = self._senders.get(address)
        if peer_sender is None:
            peer_sender = _PeerSender(address, self._own_incarnation, self.traffic)
            self._senders[address] = peer_sender
        return peer_sender

    async def _receive_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.guard.account.has_room(CONNECTION_BYTES, uses_reserve=True):
            self.guard.refuse("connection of a VM")
            abort_connection(writer)
            return
        self._accepted_connections.add(writer)
        enable_dead_peer_detection(writer)
        connection = PeerConnection(reader, writer, self.guard)
        share = EventShare(self.guard.turns)
        try:
            while True:
                body = await connection.read_frame(self._record_rejection)
                self.traffic.bytes_received += len(body) + FRAME_HEADER_BYTES
                request = await self._handle_frame(body, share)
                if request is not None:
                    connection.carries_tunnel = True
                    await self.carrier.carry(request, reader, writer)
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            # The connection ended, or a frame was too large, which was logged.
            pass
        except asyncio.CancelledError:
            # asyncio logs an error if the task of a start_server callback is cancelled.
            pass
        finally:
            connection.end()
            self._accepted_connections.discard(writer)
            writer.close()

    async def _handle_frame(
        self, body: bytes, share: EventShare
    ) -> TunnelRequest | None:
        """Deliver the messages of a frame, or return the request for a tunnel."""
        try:
            envelope = self._envelope_decoder.decode(body)
        except DECODE_ERRORS as error:
            self._record_rejection(str(error))
            return None
        if envelope.target not in ("", self._own_incarnation):
            # Sent to an earlier incarnation at this address.
            return None
        share.renew()
        for raw in envelope.messages:
            await share.spend()
            message = self._decode_message(raw)
            if isinstance(message, TunnelRequest):
                return message
            if message is not None:
                self._deliver(envelope.sender, message)
        return None

    def _decode_message(self, raw: msgspec.Raw) -> Message | None:
        try:
            message = self._message_decoder.decode(raw)
        except DECODE_ERRORS as error:
            self._record_rejection(str(error))
            return None
        self.traffic.messages_received += 1
        return message

    def _record_rejection(self, cause: str) -> None:
        self.traffic.messages_rejected += 1
        LOG.warning("message unreadable", extra={"cause": cause})
