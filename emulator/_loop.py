"""Event loop in virtual time that can freeze single machines."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
# Host of the machine whose code is running; empty outside all machines.
CURRENT_MACHINE: ContextVar[str] = ContextVar("machine", default="")


class _MachineCallback:
    """Run a callback, or queue it while its machine is frozen."""

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
        pending = self._frozen_callbacks.get(self._machine)
        if pending is None:
            self._callback(*self._args)
        else:
            pending.append(self)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers without waiting, and queue the callbacks of frozen machines."""

    def __init__(self) -> None:
        self.now = 0.0
        # Callbacks that are due but whose machine is frozen, by machine.
        self._frozen_callbacks: dict[str, list[_MachineCallback]] = {}
        super().__init__(_TimeSkippingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the next iteration, or for when its machine thaws."""
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
        """Schedule a callback for a virtual time, or for when its machine thaws."""
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
        """Queue all callbacks of a machine until it is thawed."""
        self._frozen_callbacks.setdefault(machine, [])

    def thaw(self, machine: str) -> None:
        """Unfreeze a machine and schedule its queued callbacks."""
        for machine_callback in self._frozen_callbacks.pop(machine, []):
            context = copy_context()
            context.run(CURRENT_MACHINE.set, machine)
            super().call_soon(machine_callback, context=context)

    def call_soon_as(self, machine: str, call: Callable[[], Any]) -> None:
        """Schedule a call on a machine."""
        context = copy_context()
        context.run(CURRENT_MACHINE.set, machine)
        self.call_soon(call, context=context)

    def create_task_as(
        self, machine: str, coroutine: Coroutine[Any, Any, T]
    ) -> asyncio.Task[T]:
        """Start a task on a machine."""
        context = copy_context()
        context.run(CURRENT_MACHINE.set, machine)
        return self.create_task(coroutine, context=context)


class _TimeSkippingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the virtual clock by the timeout instead of waiting."""
        if timeout is None:
            raise RuntimeError(
                "Deadlock: tasks are waiting, but no timer is scheduled."
            )
        self._loop.now += max(0.0, timeout)
        return []


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time from 0 s and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(_cancel_all_tasks(loop))
        loop.close()


async def _cancel_all_tasks(loop: VirtualLoop) -> None:
    current = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks(loop) if task is not current]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
