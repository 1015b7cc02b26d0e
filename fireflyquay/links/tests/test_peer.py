"""Links between entry VMs over loopback."""

import asyncio

import msgspec

from fireflyquay.dispatch import CONTROL_MESSAGE, Queued
from fireflyquay.links import Envelope, PeerLink
from fireflyquay.world import EntryVm, Incarnation, RegionId, ZoneId

HOST = "127.0.0.1"
WAIT_S = 5.0


def make_link(name, heard):
    def deliver(sender, message):
        heard.append((sender, message))

    return PeerLink(Incarnation(name), CONTROL_MESSAGE, deliver)


def make_vm(name, port):
    return EntryVm(Incarnation(name), ZoneId("z"), RegionId("r"), HOST, 1, port)


async def wait_for(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def exchange_messages():
    heard = []
    first, second = make_link("one", []), make_link("two", heard)
    port = await second.start(HOST, 0)
    for number in range(50):
        first.send(make_vm("two", port), Queued(number))
    first.send(make_vm("former", port), Queued(901))
    first.send_to(HOST, port, Queued(900))
    await wait_for(lambda: len(heard) == 51)
    await first.close()
    await second.close()
    return heard


def test_messages_arrive_in_order_and_those_for_a_former_incarnation_do_not():
    heard = asyncio.run(exchange_messages())
    numbers = [message.number for _, message in heard]
    assert numbers == [*range(50), 900]
    assert {sender for sender, _ in heard} == {"one"}


class SlowConnect:
    """Stand in for asyncio.open_connection; complete when told."""

    def __init__(self):
        self.done = asyncio.get_running_loop().create_future()
        self.called = asyncio.Event()

    async def __call__(self, host, port):
        self.called.set()
        return await self.done


class SilentWriter:
    """Stand in for a stream's writer."""

    def get_extra_info(self, name):
        return None

    def write(self, data):
        return None

    async def drain(self):
        return None

    def close(self):
        return None


async def close_while_connecting(monkeypatch):
    connect = SlowConnect()
    monkeypatch.setattr(asyncio, "open_connection", connect)
    link = make_link("one", [])
    link.send(make_vm("two", 9), Queued(1))
    await connect.called.wait()
    # The connection is there in the very turn in which the link is closed.
    connect.done.set_result((asyncio.StreamReader(), SilentWriter()))
    async with asyncio.timeout(WAIT_S):
        await link.close()


def test_a_link_that_just_connected_closes(monkeypatch):
    asyncio.run(close_while_connecting(monkeypatch))


async def send_garbage():
    heard = []
    link = make_link("two", heard)
    port = await link.start(HOST, 0)
    good = msgspec.Raw(msgspec.msgpack.encode(Queued(7)))
    bad = msgspec.Raw(msgspec.msgpack.encode(["NoSuchMessage", 1]))
    envelope = Envelope(Incarnation("one"), Incarnation(""), (bad, good))
    mixed = msgspec.msgpack.encode(envelope)
    oversized = (2**31).to_bytes(4, "big")
    for body in (b"\xc1garbage", mixed):
        await write_raw(port, len(body).to_bytes(4, "big") + body)
    await write_raw(port, oversized)
    await write_raw(port, b"\x00\x00")
    await wait_for(lambda: link.traffic.rejected == 3 and heard)
    await link.close()
    return heard


async def write_raw(port, data):
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    await writer.drain()
    writer.close()
    await writer.wait_closed()


def test_unreadable_frames_and_messages_are_counted_and_the_link_goes_on():
    heard = asyncio.run(send_garbage())
    assert [message.number for _, message in heard] == [7]
