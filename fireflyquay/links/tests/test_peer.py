"""Messages between entry VMs over the loopback interface."""

import asyncio
import socket

import logbook
import msgspec
from hypothesis import given, settings, strategies as st

from fireflyquay.dispatch import ControlMessage, Queued
from fireflyquay.links import Envelope, PeerLink, TunnelRequest, TunnelState
from fireflyquay.links._monitored_reader import MonitoredReader
from fireflyquay.world import EntryVm, Incarnation, RegionId, ZoneId

HOST = "127.0.0.1"
WAIT_SECONDS = 5.0
# Time without disruption after which a VM counts as in touch.
CONTACT_SECONDS = 3.0
TUNNELLED_BYTES = 4_000_000
READ_BYTES = 32 * 1024
SEND_BUFFER_BYTES = 16 * 1024


def make_link(name, received):
    def deliver(sender, message):
        received.append((sender, message))

    return PeerLink(Incarnation(name), ControlMessage, deliver)


def make_vm(name, port):
    return EntryVm(Incarnation(name), ZoneId("z"), RegionId("r"), HOST, 1, port)


async def wait_for(condition):
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


async def exchange_messages():
    received = []
    first, second = make_link("one", []), make_link("two", received)
    port = await second.start(HOST, 0)
    for number in range(50):
        first.send(make_vm("two", port), Queued(number))
    first.send(make_vm("earlier", port), Queued(901))
    first.send_to_address(HOST, port, Queued(900))
    await wait_for(lambda: len(received) == 51)
    await first.close()
    await second.close()
    return received


def test_messages_arrive_in_order_except_those_to_an_earlier_incarnation():
    received = asyncio.run(exchange_messages())
    numbers = [message.number for _, message in received]
    assert numbers == [*range(50), 900]
    assert {sender for sender, _ in received} == {"one"}


async def measure_unacknowledged_seconds(opened):
    received = []
    first, second = make_link("one", []), make_link("two", received)
    port = await second.start(HOST, 0)
    first.send(make_vm("two", port), Queued(1))
    await wait_for(lambda: received)
    [writer] = opened
    sock = writer.get_extra_info("socket")
    timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    await first.close()
    await second.close()
    return timeout_ms / 1000


def test_silent_connection_is_given_up_well_before_a_vm_is_in_touch_again(monkeypatch):
    opened, connect = [], asyncio.open_connection

    async def record(host, port):
        reader, writer = await connect(host, port)
        opened.append(writer)
        return reader, writer

    monkeypatch.setattr(asyncio, "open_connection", record)
    seconds = asyncio.run(measure_unacknowledged_seconds(opened))
    # Both ways may be silent, the second until the first is heard again.
    assert 0 < seconds <= CONTACT_SECONDS / 2


class PendingConnect:
    """Replace asyncio.open_connection, and return when the test sets the result."""

    def __init__(self):
        self.result = asyncio.get_running_loop().create_future()
        self.called = asyncio.Event()

    async def __call__(self, host, port):
        self.called.set()
        return await self.result


class NullWriter:
    """Replace a stream writer and discard all data."""

    def get_extra_info(self, name):
        return None

    def write(self, data):
        return None

    async def drain(self):
        return None

    def close(self):
        return None


async def close_while_connecting(monkeypatch):
    connect = PendingConnect()
    monkeypatch.setattr(asyncio, "open_connection", connect)
    link = make_link("one", [])
    link.send(make_vm("two", 9), Queued(1))
    await connect.called.wait()
    # The connection opens in the same event loop iteration in which the link closes.
    connect.result.set_result((asyncio.StreamReader(), NullWriter()))
    async with asyncio.timeout(WAIT_SECONDS):
        await link.close()


def test_link_closes_when_its_connection_has_just_opened(monkeypatch):
    asyncio.run(close_while_connecting(monkeypatch))


async def send_before_and_after_restart():
    received = []
    first, second = make_link("one", []), make_link("two", received)
    port = await second.start(HOST, 0)
    await second.close()
    for number in range(3):
        first.send_to_address(HOST, port, Queued(number))
        dropped = first.traffic.messages_dropped
        await wait_for(lambda: first.traffic.messages_dropped > dropped)  # noqa: B023
    second = make_link("two", received)
    await second.start(HOST, port)
    first.send_to_address(HOST, port, Queued(9))
    await wait_for(lambda: received)
    await first.close()
    await second.close()
    return port


def test_unreachable_peer_is_logged_once_until_it_is_reachable_again():
    log = logbook.TestHandler()
    with log.applicationbound():
        port = asyncio.run(send_before_and_after_restart())
    lost, regained = log.records
    assert (lost.message, regained.message) == ("peer lost", "peer regained")
    assert (lost.extra["port"], lost.extra["dropped"]) == (port, 1)
    assert "Refused" in lost.extra["cause"]


async def send_to_invalid_addresses():
    link = make_link("one", [])
    for number, (host, port) in enumerate(
        [(HOST, 70_000), ("a\x00b", 9), ("x" * 80 + ".example", 9)]
    ):
        for attempt in range(2):
            link.send_to_address(host, port, Queued(number))
            await wait_for(lambda: link.traffic.messages_dropped > 2 * number + attempt)  # noqa: B023
    await link.close()


def test_messages_to_an_invalid_address_are_dropped():
    asyncio.run(send_to_invalid_addresses())


async def send_undecodable_frames():
    received = []
    link = make_link("two", received)
    port = await link.start(HOST, 0)
    valid = msgspec.Raw(msgspec.msgpack.encode(Queued(7)))
    unknown = msgspec.Raw(msgspec.msgpack.encode(["NoSuchMessage", 1]))
    envelope = Envelope(Incarnation("one"), Incarnation(""), (unknown, valid))
    mixed = msgspec.msgpack.encode(envelope)
    oversized = (2**31).to_bytes(4, "big")
    for body in (b"\xc1garbage", mixed):
        await write_raw(port, len(body).to_bytes(4, "big") + body)
    await write_raw(port, oversized)
    await write_raw(port, b"\x00\x00")
    await wait_for(lambda: link.traffic.messages_rejected == 3 and received)
    await link.close()
    return received


async def write_raw(port, data):
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    await writer.drain()
    writer.close()
    await writer.wait_closed()


def test_link_counts_undecodable_frames_and_messages_and_keeps_receiving():
    received = asyncio.run(send_undecodable_frames())
    assert [message.number for _, message in received] == [7]


FRAMES = [
    b"",
    b"\xc1",
    msgspec.msgpack.encode(["one", "", [["Nothing", 1]]]),
    msgspec.msgpack.encode(["one", "", [["Queued"], 5, None, ["Queued", "x"]]]),
    msgspec.msgpack.encode(["one", "earlier", [["Queued", 1]]]),
    msgspec.msgpack.encode(["one", "two", "text"]),
    msgspec.msgpack.encode({"sender": 1}),
    msgspec.msgpack.encode(["one", "", [["Queued", float("nan")]]]),
    b"\x93\xa2\xff\xff\xa0\x90",
    b"\x91" * 100_000,
    b"\x93\xa3one\xa0\xdd\xff\xff\xff\xff",
]
# Bytes after the complete frames: an oversized frame, an incomplete frame, or none.
TRAILING_BYTES = (b"\xff\xff\xff\xff", b"\x00\x00\x01\x00cut", b"")


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.lists(st.one_of(st.sampled_from(FRAMES), st.binary(max_size=40)), max_size=6))
def test_link_keeps_receiving_after_invalid_frames(frames):
    valid = msgspec.msgpack.encode(Queued(7))
    envelope = Envelope(Incarnation("one"), Incarnation("two"), (msgspec.Raw(valid),))
    last = msgspec.msgpack.encode(envelope)

    async def run():
        received = []
        link = make_link("two", received)
        port = await link.start(HOST, 0)
        for tail in TRAILING_BYTES:
            received.clear()
            framed = (len(body).to_bytes(4, "big") + body for body in (*frames, last))
            await write_raw(port, b"".join(framed) + tail)
            await wait_for(lambda: ("one", Queued(7)) in received)
        await link.close()

    asyncio.run(run())


async def end_carrier_at_once():
    """Return what arrives through a tunnel whose VM ends when it carries none."""

    async def respond(_, writer):
        writer.write(b"x" * TUNNELLED_BYTES)
        await writer.drain()
        writer.close()

    async def dial(_):
        reader = MonitoredReader(asyncio.get_running_loop())
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await asyncio.get_running_loop().create_connection(
            lambda: protocol, *server.sockets[0].getsockname()
        )
        loop = asyncio.get_running_loop()
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return TunnelState.OPEN, (reader, writer)

    async def receive(reader):
        received = 0
        while data := await reader.read(READ_BYTES):
            received += len(data)
            await asyncio.sleep(0.01)
        return received

    first, second = make_link("one", []), make_link("two", [])
    server = await asyncio.start_server(respond, HOST, 0)
    second.carrier.opener = dial
    vm = make_vm("two", await second.start(HOST, 0))
    [listener] = second._server.sockets
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    request = TunnelRequest("a", 1)
    _, (reader, writer) = await first.open_tunnel(vm, request)
    receiving = asyncio.create_task(receive(reader))
    await wait_for(lambda: second.carrier.count)
    [carrying_writer] = second._accepted_connections
    while second.carrier.count:
        await asyncio.sleep(0)
    carrying_writer.transport.abort()
    received = await receiving
    writer.close()
    await first.close()
    await second.close()
    server.close()
    return received


def test_tunnel_is_carried_until_its_last_bytes_have_arrived():
    assert asyncio.run(end_carrier_at_once()) == TUNNELLED_BYTES
