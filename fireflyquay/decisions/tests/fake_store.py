"""In-memory object API with watches, outages, slowness and lost answers."""

from __future__ import annotations

from fireflyquay.contracts import (
    StoreAnswer,
    StoredValue,
    StoreFailed,
    StoreList,
    StoreListing,
    StoreWatch,
)
from fireflyquay.decisions import (
    CallStore,
)
from fireflyquay.membership.tests.fake_network import FakeNetwork
from fireflyquay.world import Incarnation


class FakeStore:
    """Answer the store calls of nodes on a fake network."""

    def __init__(self, network: FakeNetwork, delay: float = 0.005) -> None:
        self.is_down = False
        self.delay = delay
        # Share of answers that never arrive.
        self.loss = 0.0
        self.calls = 0
        self.values: dict[str, StoredValue] = {}
        self.revision = 0
        self._network = network
        self._watches: list[tuple[Incarnation, CallStore]] = []
        network.on_store = self.call

    def write(self, path: str, value: bytes) -> StoredValue:
        self.revision += 1
        before = self.values.get(path)
        version = 1 if before is None else before.version + 1
        stored = StoredValue(path, value, version, self.revision)
        self.values[path] = stored
        self._fire()
        return stored

    def call(self, node: Incarnation, action: CallStore) -> None:
        self.calls += 1
        if self.is_down:
            self._answer(node, action, StoreFailed(action.call.prefix, False))
            return
        if isinstance(action.call, StoreWatch):
            self._watch(node, action)
            return
        assert isinstance(action.call, StoreList)
        self._answer(node, action, self._list(action.call.prefix, 0))

    def stop(self) -> None:
        """Begin an outage; waiting watches are broken off."""
        self.is_down = True
        watches, self._watches = self._watches, []
        for node, action in watches:
            self._answer(node, action, StoreFailed(action.call.prefix, False))

    def _watch(self, node: Incarnation, action: CallStore) -> None:
        self._watches.append((node, action))
        self._fire()
        end = self._network.now + action.call.wait
        self._network.call_at(end, lambda: self._expire(node, action))

    def _expire(self, node: Incarnation, action: CallStore) -> None:
        if (node, action) not in self._watches:
            return
        self._watches.remove((node, action))
        self._answer(node, action, StoreListing((), self.revision))

    def _fire(self) -> None:
        waiting = []
        for node, action in self._watches:
            found = self._list(action.call.prefix, action.call.after)
            if found.values:
                self._answer(node, action, found)
            else:
                waiting.append((node, action))
        self._watches = waiting

    def _list(self, prefix: str, after: int) -> StoreListing:
        values = self.values.values()
        found = [v for v in values if v.path.startswith(prefix) and v.revision > after]
        return StoreListing(tuple(found), self.revision)

    def _answer(
        self, node: Incarnation, action: CallStore, answer: StoreAnswer
    ) -> None:
        if self._network.rng.random() < self.loss:
            return
        when = self._network.now + self.delay
        self._network.call_at(when, lambda: self._deliver(node, action, answer))

    def _deliver(
        self, name: Incarnation, action: CallStore, answer: StoreAnswer
    ) -> None:
        node = self._network.nodes.get(name)
        if node is None:
            return
        now = self._network.now
        actions = node.receive_store_answer(now, action.tag, answer)
        self._network.perform(name, actions)
