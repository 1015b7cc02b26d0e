"""Cost of a control message between entry VMs, by transport and batch size.

Run ``python -m measure.transport``. Both ends are in this process and connected over
loopback; the processor time includes all threads of the process.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from abc import ABC, abstractmethod
from functools import partial

import msgspec
import pynng

from fireflyquay.dispatch import ControlMessage, RunEnded
from fireflyquay.links import PeerLink
from fireflyquay.links._peer import FRAME_HEADER_BYTES, Envelope
from fireflyquay.membership import (
    Message,
)
from fireflyquay.world import (
    BackendServerId,
    EntryVm,
    Incarnation,
    RegionId,
    ZoneId,
)

from ._pages import plot_bars, write_report

HOST = "127.0.0.1"
BATCH_SIZES = (1, 10, 100)
FRAMES_BY_BATCH_SIZE = {1: 2000, 10: 1000, 100: 200}
REPEATS = 3
WARM_UP_FRAMES = 20
CLOSE_DELAY_SECONDS = 0.05
OWN_VM = Incarnation("e00000000001")
PEER_VM = Incarnation("e00000000002")
# Bytes of IP and TCP or UDP headers per frame; the SP protocol adds a length field.
TCP_HEADER_BYTES = 40
UDP_HEADER_BYTES = 28
SP_HEADER_BYTES = 8
ENCODER = msgspec.msgpack.Encoder()
ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
MESSAGE_DECODER = msgspec.msgpack.Decoder(ControlMessage)
# Processor time that a VM may spend on control messages: 1.5% of a core.
CONTROL_BUDGET_US_PER_SECOND = 15_000.0


def build_messages(count: int) -> list[Message]:
    """Return reports of ended runs, as a follower sends them."""
    backend = BackendServerId("model-worker-17")
    return [RunEnded(number, backend, 73, 0.021, False) for number in range(count)]


def encode(messages: list[Message]) -> bytes:
    """Return the body of one frame, encoded as the peer link does."""
    raws = tuple(msgspec.Raw(ENCODER.encode(message)) for message in messages)
    return ENCODER.encode(Envelope(OWN_VM, PEER_VM, raws))


def decode(body: bytes) -> int:
    """Decode the body of a frame and return the number of messages in it."""
    envelope = ENVELOPE_DECODER.decode(body)
    return len([MESSAGE_DECODER.decode(raw) for raw in envelope.messages])


class Transport(ABC):
    """Send frames from one end to the other; both ends are in this process."""

    name = ""
    header_bytes = 0

    @abstractmethod
    async def open(self) -> None:
        """Connect both ends."""

    @abstractmethod
    async def transfer(self, messages: list[Message]) -> None:
        """Send one frame and wait until all its messages are received."""

    @abstractmethod
    async def close(self) -> None:
        """Close both ends."""


class StreamTransport(Transport):
    """Send frames over the peer link of the product, which uses asyncio streams."""

    name = "asyncio streams"
    header_bytes = FRAME_HEADER_BYTES + TCP_HEADER_BYTES

    async def open(self) -> None:
        """Connect both ends."""
        self._remaining = 0
        self._all_received = asyncio.Event()
        self._sender = PeerLink(OWN_VM, ControlMessage, lambda *_: None)
        self._receiver = PeerLink(PEER_VM, ControlMessage, self._count_message)
        port = await self._receiver.start(HOST, 0)
        zone, region = ZoneId("tallinn-a"), RegionId("ee-north")
        self._vm = EntryVm(PEER_VM, zone, region, HOST, 0, port)

    async def transfer(self, messages: list[Message]) -> None:
        """Send one frame and wait until all its messages are received."""
        self._remaining = len(messages)
        self._all_received.clear()
        for message in messages:
            self._sender.send(self._vm, message)
        await self._all_received.wait()

    async def close(self) -> None:
        """Close both ends."""
        await self._sender.close()
        # The receiver needs time to detect the end of the connection.
        await asyncio.sleep(CLOSE_DELAY_SECONDS)
        await self._receiver.close()

    def _count_message(self, sender: Incarnation, message: Message) -> None:
        self._remaining -= 1
        if self._remaining == 0:
            self._all_received.set()


class NngTransport(Transport):
    """Send frames over a pair of pynng sockets on TCP, through their asyncio API."""

    name = "pynng pair over TCP"
    header_bytes = SP_HEADER_BYTES + TCP_HEADER_BYTES

    async def open(self) -> None:
        """Connect both ends through a port that the system chooses."""
        self._receiver = pynng.Pair0()
        listener = self._receiver.listen(f"tcp://{HOST}:0")
        port = find_port(listener)
        self._sender = pynng.Pair0()
        self._sender.dial(f"tcp://{HOST}:{port}", block=True)

    async def transfer(self, messages: list[Message]) -> None:
        """Send one frame and wait until all its messages are received."""
        receiving = asyncio.ensure_future(self._receiver.arecv())
        await self._sender.asend(encode(messages))
        decode(await receiving)

    async def close(self) -> None:
        """Close both ends."""
        self._sender.close()
        self._receiver.close()


def find_port(listener: pynng.Listener) -> int:
    """Return the port that the system chose."""
    address = listener.local_address
    # The library returns the port in network byte order.
    return int.from_bytes(address.port.to_bytes(2, "little"), "big")


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received = asyncio.Event()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        decode(data)
        self.received.set()


class DatagramTransport(Transport):
    """Send frames as UDP datagrams through asyncio."""

    name = "asyncio UDP"
    header_bytes = UDP_HEADER_BYTES

    async def open(self) -> None:
        """Bind both ends."""
        loop = asyncio.get_running_loop()
        bind = partial(loop.create_datagram_endpoint, local_addr=(HOST, 0))
        self._receiving_end, self._receiver = await bind(_DatagramReceiver)
        self._sending_end, _ = await bind(asyncio.DatagramProtocol)
        self._address = self._receiving_end.get_extra_info("sockname")

    async def transfer(self, messages: list[Message]) -> None:
        """Send one frame and wait until all its messages are received."""
        self._receiver.received.clear()
        self._sending_end.sendto(encode(messages), self._address)
        await self._receiver.received.wait()

    async def close(self) -> None:
        """Close both ends."""
        self._receiving_end.close()
        self._sending_end.close()


TRANSPORTS: tuple[type[Transport], ...] = (
    StreamTransport,
    NngTransport,
    DatagramTransport,
)


async def time_frames(
    transport_type: type[Transport], batch: int, frames: int
) -> float:
    """Return the processor microseconds for sending and receiving one message."""
    transport = transport_type()
    await transport.open()
    messages = build_messages(batch)
    for _ in range(WARM_UP_FRAMES):
        await transport.transfer(messages)
    started = time.process_time()
    for _ in range(frames):
        await transport.transfer(messages)
    cpu_seconds = time.process_time() - started
    await transport.close()
    return cpu_seconds * 1e6 / frames / batch


def measure(frames: dict[int, int] = FRAMES_BY_BATCH_SIZE) -> list[dict[str, object]]:
    """Return one row of the report for each batch size and transport."""
    rows = []
    for batch in BATCH_SIZES:
        body = len(encode(build_messages(batch)))
        for transport_type in TRANSPORTS:
            samples = [
                asyncio.run(time_frames(transport_type, batch, frames[batch]))
                for _ in range(REPEATS)
            ]
            median = statistics.median(samples)
            rows.append(
                {
                    "transport": transport_type.name,
                    "messages_per_frame": batch,
                    "us_per_message": round(median, 1),
                    "us_low": round(min(samples), 1),
                    "us_high": round(max(samples), 1),
                    "bytes_per_message": round(
                        (body + transport_type.header_bytes) / batch, 1
                    ),
                    "messages_in_1.5%_of_a_core": round(
                        CONTROL_BUDGET_US_PER_SECOND / median
                    ),
                }
            )
    return rows


def main() -> None:
    """Measure all transports, write the report and plot it."""
    rows = measure()
    note = "Processor time; the figures vary from run to run."
    write_report("transport", "Transport of control messages", {"Cost": rows}, note)
    plot_bars("transport", rows, "messages_per_frame", "transport", "us_per_message")


if __name__ == "__main__":
    main()
