"""Messages between VMs with delays, cuts, loss and frozen machines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from fireflyquay.links import Link
from fireflyquay.membership import Message
from fireflyquay.world import EntryVm, Incarnation

from ._loop import VirtualLoop

Deliver = Callable[[Incarnation, Message], None]
# Seconds by which a lost packet is late, since TCP sends it again.
RETRANSMISSION_SECONDS = 0.2
# Seconds between two messages that arrive one after another.
MIN_ARRIVAL_GAP_SECONDS = 1e-6


class Network:
    """Know who can reach whom, and how long that takes."""

    def __init__(
        self, rng: random.Random, same_zone_delay: float, cross_zone_delay: float
    ) -> None:
        self._rng = rng
        self._same_zone_delay = same_zone_delay
        self._cross_zone_delay = cross_zone_delay
        self.links: dict[tuple[str, int], EmulatedLink] = {}
        # Hosts that are cut off from everything.
        self.isolated: set[str] = set()
        # Pairs of hosts that don't reach each other.
        self.cut_pairs: set[frozenset[str]] = set()
        # Part of messages that are late by a resend.
        self.loss_rate = 0.0
        self.messages = 0
        # When the last message on each way arrives: TCP keeps their order.
        self._last_arrivals: dict[tuple[str, tuple[str, int]], float] = {}
        # Where each host stands.
        self.zones: dict[str, str] = {}

    def can_reach(self, source: str, target: str) -> bool:
        """Tell whether packets pass between two hosts."""
        if source in self.isolated or target in self.isolated:
            return False
        return frozenset((source, target)) not in self.cut_pairs

    def draw_delay(self, source: str, target: str) -> float:
        """Return the seconds that a message takes on its way."""
        is_near = self.zones.get(source) == self.zones.get(target)
        delay = self._same_zone_delay if is_near else self._cross_zone_delay
        late = RETRANSMISSION_SECONDS if self._rng.random() < self.loss_rate else 0.0
        return delay * (0.9 + 0.2 * self._rng.random()) + late

    def transmit(self, source: str, address: tuple[str, int], send: Callable) -> None:
        """Hand a message to whoever listens at an address when it arrives."""
        self.messages += 1
        loop = asyncio.get_running_loop()
        host = address[0]

        def arrive() -> None:
            link = self.links.get(address)
            if link is not None and self.can_reach(source, host):
                send(link)

        way = (source, address)
        at = loop.time() + self.draw_delay(source, host)
        at = max(at, self._last_arrivals.get(way, 0.0) + MIN_ARRIVAL_GAP_SECONDS)
        self._last_arrivals[way] = at
        loop.call_at(at, arrive)


class EmulatedLink(Link):
    """Exchange messages with peers in memory."""

    def __init__(
        self, network: Network, host: str, own: Incarnation, deliver: Deliver
    ) -> None:
        super().__init__()
        self._network = network
        self._host = host
        self._own = own
        self._deliver = deliver
        self._address: tuple[str, int] | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen for peers and return the port."""
        self._address = (host, port)
        self._network.links[self._address] = self
        return port

    def send(self, vm: EntryVm, message: Message) -> None:
        """Send a message to one incarnation of an entry VM."""
        self._send(vm.host, vm.peer_port, vm.incarnation, message)

    def send_to(self, host: str, port: int, message: Message) -> None:
        """Send a message to whatever incarnation runs at an address."""
        self._send(host, port, None, message)

    async def forget(self, vm: EntryVm) -> None:
        """Do nothing, for there is no connection."""

    async def close(self) -> None:
        """Stop listening."""
        if self._network.links.get(self._address) is self:
            del self._network.links[self._address]

    def _send(
        self, host: str, port: int, target: Incarnation | None, message: Message
    ) -> None:
        def deliver(link: EmulatedLink) -> None:
            if target is None or link._own == target:
                link.receive(self._own, message)

        self._network.transmit(self._host, (host, port), deliver)

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Deliver a message in this VM's own context."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.call_soon_as(self._host, lambda: self._deliver(sender, message))
