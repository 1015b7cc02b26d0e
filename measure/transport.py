"""Measure one control message between entry VMs by transport and batch size.

Run as ``python -m measure.transport``. Processor time includes all threads of this
process, which holds both ends over loopback.
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

from ._pages import draw_bars, write_pages

HOST = "127.0.0.1"
BATCHES = (1, 10, 100)
FRAMES = {1: 2000, 10: 1000, 100: 200}
REPEATS = 3
WARM_UP_FRAMES = 20
CLOSE_S = 0.05
OWN = Incarnation("e00000000001")
PEER = Incarnation("e00000000002")
# Bytes of IP and of TCP or UDP headers per frame; SP adds a length of its own.
TCP_HEADER_BYTES = 40
UDP_HEADER_BYTES = 28
SP_HEADER_BYTES = 8
ENCODER = msgspec.msgpack.Encoder()
ENVELOPES = msgspec.msgpack.Decoder(Envelope)
MESSAGES = msgspec.msgpack.Decoder(ControlMessage)
# Processor time that a node may spend on control, in microseconds a second.
NODE_BUDGET_US = 15_000.0


def build_messages(count: int) -> list[Message]:
    """Return messages on runs that ended, as a follower sends them."""
    backend = BackendServerId("model-worker-17")
    return [RunEnded(number, backend, 73, 0.021, False) for number in range(count)]


def encode(messages: list[Message]) -> bytes:
    """Return one frame's body, as the peer link writes it."""
    raws = tuple(msgspec.Raw(ENCODER.encode(message)) for message in messages)
    return ENCODER.encode(Envelope(OWN, PEER, raws))


def decode(body: bytes) -> int:
    """Decode a frame's body and return how many messages it holds."""
    envelope = ENVELOPES.decode(body)
    return len([MESSAGES.decode(raw) for raw in envelope.messages])


class Transport(ABC):
    """Carry frames from one end to the other; both ends are in this process."""

    name = ""
    header_bytes = 0

    @abstractmethod
    async def open(self) -> None:
        """Connect both ends."""

    @abstractmethod
    async def carry(self, messages: list[Message]) -> None:
        """Send one frame and wait until its messages were received."""

    @abstractmethod
    async def close(self) -> None:
        """Close both ends."""


class Streams(Transport):
    """Use the product's peer link over asyncio streams."""

    name = "asyncio streams"
    header_bytes = FRAME_HEADER_BYTES + TCP_HEADER_BYTES

    async def open(self) -> None:
        """Connect both ends."""
        self._left = 0
        self._done = asyncio.Event()
        self._sender = PeerLink(OWN, ControlMessage, lambda *_: None)
        self._receiver = PeerLink(PEER, ControlMessage, self._take)
        port = await self._receiver.start(HOST, 0)
        zone, region = ZoneId("tallinn-a"), RegionId("ee-north")
        self._vm = EntryVm(PEER, zone, region, HOST, 0, port)

    async def carry(self, messages: list[Message]) -> None:
        """Send one frame and wait until its messages were received."""
        self._left = len(messages)
        self._done.clear()
        for message in messages:
            self._sender.send(self._vm, message)
        await self._done.wait()

    async def close(self) -> None:
        """Close both ends."""
        await self._sender.close()
        # Let the receiver see the end of the connection.
        await asyncio.sleep(CLOSE_S)
        await self._receiver.close()

    def _take(self, sender: Incarnation, message: Message) -> None:
        self._left -= 1
        if self._left == 0:
            self._done.set()


class Nng(Transport):
    """Use a pair of pynng sockets over TCP through pynng's asyncio interface."""

    name = "pynng pair over TCP"
    header_bytes = SP_HEADER_BYTES + TCP_HEADER_BYTES

    async def open(self) -> None:
        """Connect both ends; the system chooses the port."""
        self._receiver = pynng.Pair0()
        listener = self._receiver.listen(f"tcp://{HOST}:0")
        port = find_port(listener)
        self._sender = pynng.Pair0()
        self._sender.dial(f"tcp://{HOST}:{port}", block=True)

    async def carry(self, messages: list[Message]) -> None:
        """Send one frame and wait until its messages were received."""
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
    # The library gives the port in network byte order.
    return int.from_bytes(address.port.to_bytes(2, "little"), "big")


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.arrived = asyncio.Event()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        decode(data)
        self.arrived.set()


class Datagrams(Transport):
    """Use UDP datagrams through asyncio."""

    name = "asyncio UDP"
    header_bytes = UDP_HEADER_BYTES

    async def open(self) -> None:
        """Bind both ends."""
        loop = asyncio.get_running_loop()
        bind = partial(loop.create_datagram_endpoint, local_addr=(HOST, 0))
        self._in, self._receiver = await bind(_Receiver)
        self._out, _ = await bind(asyncio.DatagramProtocol)
        self._address = self._in.get_extra_info("sockname")

    async def carry(self, messages: list[Message]) -> None:
        """Send one frame and wait until its messages were received."""
        self._receiver.arrived.clear()
        self._out.sendto(encode(messages), self._address)
        await self._receiver.arrived.wait()

    async def close(self) -> None:
        """Close both ends."""
        self._in.close()
        self._out.close()


TRANSPORTS: tuple[type[Transport], ...] = (Streams, Nng, Datagrams)


async def time_frames(build: type[Transport], batch: int, frames: int) -> float:
    """Return processor microseconds per message, sent and received."""
    transport = build()
    await transport.open()
    messages = build_messages(batch)
    for _ in range(WARM_UP_FRAMES):
        await transport.carry(messages)
    started = time.process_time()
    for _ in range(frames):
        await transport.carry(messages)
    used = time.process_time() - started
    await transport.close()
    return used * 1e6 / frames / batch


def measure(frames: dict[int, int] = FRAMES) -> list[dict[str, object]]:
    """Measure each transport at each batch size, in turns."""
    rows = []
    for batch in BATCHES:
        body = len(encode(build_messages(batch)))
        for build in TRANSPORTS:
            samples = [
                asyncio.run(time_frames(build, batch, frames[batch]))
                for _ in range(REPEATS)
            ]
            median = statistics.median(samples)
            rows.append(
                {
                    "transport": build.name,
                    "messages_per_frame": batch,
                    "us_per_message": round(median, 1),
                    "us_low": round(min(samples), 1),
                    "us_high": round(max(samples), 1),
                    "bytes_per_message": round((body + build.header_bytes) / batch, 1),
                    "messages_in_1.5%_of_a_core": round(NODE_BUDGET_US / median),
                }
            )
    return rows


def main() -> None:
    """Measure all and write the pages."""
    rows = measure()
    note = "Processor time, so that figures vary from run to run."
    write_pages("transport", "Transport of control messages", {"Cost": rows}, note)
    draw_bars("transport", rows, "messages_per_frame", "transport", "us_per_message")


if __name__ == "__main__":
    main()
