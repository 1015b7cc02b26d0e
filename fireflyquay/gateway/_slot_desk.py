"""Where requests in progress get their places."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from fireflyquay.dispatch import Ask, Decision, Grant, Grantor
from fireflyquay.world import BackendEntry, BackendServerId

# Seconds between looks at waiting requests.
ADVANCE_SECONDS = 0.02


class SlotDesk:
    """Ask the grantor for places and hand its decisions to those who wait."""

    def __init__(self, grantor: Grantor) -> None:
        self._grantor = grantor
        self._waiting: dict[int, asyncio.Future[Decision]] = {}

    async def acquire(self, ask: Ask) -> Decision:
        """Wait for the decision on an ask; a cancelled wait withdraws it."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Decision] = loop.create_future()
        self._waiting[ask.number] = future
        self._hand_out(self._grantor.ask(ask, loop.time()))
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(ask.number, None)
            self._withdraw(ask)
            raise

    def note_first_output(self, ask: Ask, backend: BackendServerId) -> None:
        """Tell that a run gives output."""
        now = asyncio.get_running_loop().time()
        self._grantor.note_first_output((ask.owner, ask.number), backend, now)

    def release(
        self, ask: Ask, backend: BackendServerId, output_tokens: int, failed: bool
    ) -> None:
        """End a run."""
        now = asyncio.get_running_loop().time()
        key = (ask.owner, ask.number)
        self._hand_out(self._grantor.release(key, backend, output_tokens, failed, now))

    def pause(self, backend: BackendServerId, seconds: float) -> None:
        """Leave a backend server alone for a while."""
        now = asyncio.get_running_loop().time()
        self._grantor.pause(backend, now + seconds)

    def set_backends(self, entries: Iterable[BackendEntry], share: float) -> None:
        """Take the backend servers that may be used, and the part of their slots."""
        self._grantor.share = share
        self._grantor.set_backends(entries)
        self._advance()

    async def tick(self) -> None:
        """Look at waiting requests until cancelled."""
        while True:
            await asyncio.sleep(ADVANCE_SECONDS)
            if self._waiting:
                self._advance()

    def _advance(self) -> None:
        now = asyncio.get_running_loop().time()
        self._hand_out(self._grantor.advance(now))

    def _withdraw(self, ask: Ask) -> None:
        now = asyncio.get_running_loop().time()
        self._hand_out(self._grantor.withdraw((ask.owner, ask.number), now))

    def _hand_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.number, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Grant):
                now = asyncio.get_running_loop().time()
                key = (decision.owner, decision.number)
                self._hand_out(self._grantor.withdraw(key, now))
