"""An event loop whose clock jumps, and on which machines can freeze."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
# The machine on whose behalf code runs; empty for the world around.
MACHINE: ContextVar[str] = ContextVar("machine", default="")


class _Guarded:
    """Run a callback, unless its machine is frozen or it was cancelled meanwhile."""

    __slots__ = ("_args", "_callback", "_held", "_machine", "handle")

    def __init__(
        self,
        held: dict[str, list[_Guarded]],
        machine: str,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        self._held = held
        self._machine = machine
        self._callback = callback
        self._args = args
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if self.handle is not None and self.handle.cancelled():
            return
        waiting = self._held.get(self._machine)
        if waiting is None:
            self._callback(*self._args)
        else:
            waiting.append(self)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting; hold back those of frozen machines."""

    def __init__(self) -> None:
        self.now = 0.0
        # What waits for its machine to thaw, by machine.
        self._held: dict[str, list[_Guarded]] = {}
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback next, unless its machine is frozen then."""
        context = copy_context() if context is None else context
        machine = context.get(MACHINE, "")
        if not machine:
            return super().call_soon(callback, *args, context=context)
        guarded = _Guarded(self._held, machine, callback, args)
        guarded.handle = super().call_soon(guarded, context=context)
        return guarded.handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, or when its machine thaws."""
        context = copy_context() if context is None else context
        machine = context.get(MACHINE, "")
        if not machine:
            return super().call_at(when, callback, *args, context=context)
        guarded = _Guarded(self._held, machine, callback, args)
        handle = super().call_at(when, guarded, context=context)
        guarded.handle = handle
        return handle

    def freeze(self, machine: str) -> None:
        """Hold back all that a machine would do."""
        self._held.setdefault(machine, [])

    def thaw(self, machine: str) -> None:
        """Let a machine go on with what is due."""
        for guarded in self._held.pop(machine, []):
            context = copy_context()
            context.run(MACHINE.set, machine)
            super().call_soon(guarded, context=context)

    def run_as(self, machine: str, call: Callable[[], Any]) -> None:
        """Run a call on a machine's behalf, next or when it thaws."""
        context = copy_context()
        context.run(MACHINE.set, machine)
        self.call_soon(call, context=context)

    def start_as(self, machine: str, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task on a machine's behalf."""
        context = copy_context()
        context.run(MACHINE.set, machine)
        return self.create_task(work, context=context)


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout in place of waiting."""
        if timeout is None:
            raise RuntimeError("Everything waits for something that never comes.")
        self._loop.now += max(0.0, timeout)
        return []


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, from 0, and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_end_all(loop))
        loop.close()


async def _end_all(loop: VirtualLoop) -> None:
    own = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks(loop) if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
