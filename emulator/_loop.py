"""An event loop whose clock jumps, and on which machines can freeze."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
# The machine on whose behalf code runs; empty for the world around.
CURRENT_MACHINE: ContextVar[str] = ContextVar("machine", default="")


class _MachineCallback:
    """Run a callback, unless its machine is frozen or it was cancelled meanwhile."""

    __slots__ = ("_args", "_callback", "_frozen_callbacks", "_machine", "handle")

    def __init__(
        self,
        frozen_callbacks: dict[str, list[_MachineCallback]],
        machine: str,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        self._frozen_callbacks = frozen_callbacks
        self._machine = machine
        self._callback = callback
        self._args = args
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if self.handle is not None and self.handle.cancelled():
            return
        waiting = self._frozen_callbacks.get(self._machine)
        if waiting is None:
            self._callback(*self._args)
        else:
            waiting.append(self)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting; hold back those of frozen machines."""

    def __init__(self) -> None:
        self.now = 0.0
        # What waits for its machine to thaw, by machine.
        self._frozen_callbacks: dict[str, list[_MachineCallback]] = {}
        super().__init__(_TimeSkippingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback next, unless its machine is frozen then."""
        context = copy_context() if context is None else context
        machine = context.get(CURRENT_MACHINE, "")
        if not machine:
            return super().call_soon(callback, *args, context=context)
        machine_callback = _MachineCallback(
            self._frozen_callbacks, machine, callback, args
        )
        machine_callback.handle = super().call_soon(machine_callback, context=context)
        return machine_callback.handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, or when its machine thaws."""
        context = copy_context() if context is None else context
        machine = context.get(CURRENT_MACHINE, "")
        if not machine:
            return super().call_at(when, callback, *args, context=context)
        machine_callback = _MachineCallback(
            self._frozen_callbacks, machine, callback, args
        )
        handle = super().call_at(when, machine_callback, context=context)
        machine_callback.handle = handle
        return handle

    def freeze(self, machine: str) -> None:
        """Hold back all that a machine would do."""
        self._frozen_callbacks.setdefault(machine, [])

    def thaw(self, machine: str) -> None:
        """Let a machine go on with what is due."""
        for machine_callback in self._frozen_callbacks.pop(machine, []):
            context = copy_context()
            context.run(CURRENT_MACHINE.set, machine)
            super().call_soon(machine_callback, context=context)

    def call_soon_as(self, machine: str, call: Callable[[], Any]) -> None:
        """Run a call on a machine's behalf, next or when it thaws."""
        context = copy_context()
        context.run(CURRENT_MACHINE.set, machine)
        self.call_soon(call, context=context)

    def create_task_as(
        self, machine: str, coroutine: Coroutine[Any, Any, T]
    ) -> asyncio.Task[T]:
        """Start a task on a machine's behalf."""
        context = copy_context()
        context.run(CURRENT_MACHINE.set, machine)
        return self.create_task(coroutine, context=context)


class _TimeSkippingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout in place of waiting."""
        if timeout is None:
            raise RuntimeError("Everything waits for something that never comes.")
        self._loop.now += max(0.0, timeout)
        return []


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, from 0, and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(_cancel_all_tasks(loop))
        loop.close()


async def _cancel_all_tasks(loop: VirtualLoop) -> None:
    own = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks(loop) if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
