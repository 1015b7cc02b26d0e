"""Emulated network between VMs, with delays, partitions and packet loss."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from fireflyquay.links import Connection, Link, TunnelRequest, TunnelState
from fireflyquay.membership import Message
from fireflyquay.world import EntryVm, Incarnation

from ._loop import VirtualLoop

MessageHandler = Callable[[Incarnation, Message], None]
# Extra delay of a lost packet, which TCP retransmits.
RETRANSMISSION_SECONDS = 0.2
# Keeps messages in order that would otherwise arrive at the same time.
MIN_ARRIVAL_GAP_SECONDS = 1e-6


class Network:
    """Deliver messages between hosts with delays, packet loss and partitions."""

    def __init__(
        self, rng: random.Random, same_zone_delay: float, cross_zone_delay: float
    ) -> None:
        self._rng = rng
        self._same_zone_delay = same_zone_delay
        self._cross_zone_delay = cross_zone_delay
        self.links: dict[tuple[str, int], EmulatedLink] = {}
        # Hosts cut off from all others.
        self.isolated: set[str] = set()
        # Pairs of hosts without a connection.
        self.cut_pairs: set[frozenset[str]] = set()
        # Fraction of messages with a lost packet, which TCP retransmits.
        self.loss_rate = 0.0
        self.messages = 0
        # Arrival time of the last message from each host to each address: TCP keeps the
        # order of messages.
        self._last_arrivals: dict[tuple[str, tuple[str, int]], float] = {}
        # Availability zone of each host.
        self.zones: dict[str, str] = {}

    def can_reach(self, source: str, target: str) -> bool:
        """Return whether packets pass between two hosts."""
        if source in self.isolated or target in self.isolated:
            return False
        return frozenset((source, target)) not in self.cut_pairs

    def draw_delay(self, source: str, target: str) -> float:
        """Return the random delay of one message in seconds."""
        is_same_zone = self.zones.get(source) == self.zones.get(target)
        delay = self._same_zone_delay if is_same_zone else self._cross_zone_delay
        extra = RETRANSMISSION_SECONDS if self._rng.random() < self.loss_rate else 0.0
        return delay * (0.9 + 0.2 * self._rng.random()) + extra

    def transmit(
        self, source: str, address: tuple[str, int], deliver: Callable
    ) -> None:
        """Call ``deliver`` with the link at an address after the network delay."""
        self.messages += 1
        loop = asyncio.get_running_loop()
        host = address[0]

        def arrive() -> None:
            link = self.links.get(address)
            if link is not None and self.can_reach(source, host):
                deliver(link)

        pair = (source, address)
        at = loop.time() + self.draw_delay(source, host)
        at = max(at, self._last_arrivals.get(pair, 0.0) + MIN_ARRIVAL_GAP_SECONDS)
        self._last_arrivals[pair] = at
        loop.call_at(at, arrive)


class EmulatedLink(Link):
    """Exchange messages with peer VMs without sockets."""

    def __init__(
        self,
        network: Network,
        host: str,
        incarnation: Incarnation,
        deliver: MessageHandler,
    ) -> None:
        super().__init__()
        self._network = network
        self._host = host
        self._incarnation = incarnation
        self._deliver = deliver
        self._address: tuple[str, int] | None = None

    async def start(self, host: str, port: int) -> int:
        """Accept messages at an address and return its port."""
        self._address = (host, port)
        self._network.links[self._address] = self
        return port

    async def open_tunnel(
        self, vm: EntryVm, request: TunnelRequest
    ) -> tuple[TunnelState, Connection | None]:
        """Request a tunnel through another VM; raise OSError if it can't be reached."""
        link = self._network.links.get((vm.host, vm.peer_port))
        if link is None or not self._network.can_reach(self._host, vm.host):
            raise ConnectionRefusedError
        await asyncio.sleep(2 * self._network.draw_delay(self._host, vm.host))
        if link.carrier.opener is None:
            return TunnelState.DECLINED, None
        return await link.carrier.opener(request)

    def send(self, vm: EntryVm, message: Message) -> None:
        """Send a message to one incarnation of an entry VM."""
        self._send(vm.host, vm.peer_port, vm.incarnation, message)

    def send_to_address(self, host: str, port: int, message: Message) -> None:
        """Send a message to whichever incarnation runs at an address."""
        self._send(host, port, None, message)

    async def disconnect(self, vm: EntryVm) -> None:
        """Do nothing, since there are no connections."""

    async def close(self) -> None:
        """Stop accepting messages."""
        if self._network.links.get(self._address) is self:
            del self._network.links[self._address]

    def _send(
        self, host: str, port: int, target: Incarnation | None, message: Message
    ) -> None:
        def receive_if_target(link: EmulatedLink) -> None:
            if target is None or link._incarnation == target:
                link.receive(self._incarnation, message)

        self._network.transmit(self._host, (host, port), receive_if_target)

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Schedule the message handler on this link's host."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.call_soon_as(self._host, lambda: self._deliver(sender, message))
