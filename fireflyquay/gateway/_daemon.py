"""Process of a gateway: signals and reloads of its settings."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

import logbook

from fireflyquay.signals import admit_signals
from fireflyquay.world import FireflyquayError

from ._gateway import Gateway
from ._settings import GatewaySettings

# The settings file is checked periodically because it may change without a signal.
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
LOG = logbook.Logger("daemon")

LoadSettings = Callable[[Path], GatewaySettings]


async def run_gateway(gateway: Gateway, path: Path, load: LoadSettings) -> None:
    """Run until SIGTERM or SIGINT; SIGINT aborts a graceful stop that has begun.

    SIGHUP or a change of the settings file reloads the settings. A further SIGTERM
    changes nothing: the platform sends SIGKILL where a stop must end.
    """
    loop = asyncio.get_running_loop()
    stop, abort, reload = asyncio.Event(), asyncio.Event(), asyncio.Event()

    def request_stop() -> None:
        if stop.is_set():
            LOG.info("already stopping")
        stop.set()

    def interrupt() -> None:
        (abort if stop.is_set() else stop).set()

    loop.add_signal_handler(signal.SIGTERM, request_stop)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    admit_signals()
    await gateway.start()
    watch_task = loop.create_task(_watch_settings(gateway, path, load, reload))
    await stop.wait()
    watch_task.cancel()
    stop_task = loop.create_task(gateway.stop())
    abort_task = loop.create_task(abort.wait())
    await asyncio.wait({stop_task, abort_task}, return_when=asyncio.FIRST_COMPLETED)
    abort_task.cancel()
    if not stop_task.done():
        stop_task.cancel()
        await asyncio.gather(stop_task, return_exceptions=True)
        await gateway.abort()
        LOG.warning("stopped at once")


async def _watch_settings(
    gateway: Gateway, path: Path, load: LoadSettings, reload: asyncio.Event
) -> None:
    """Reload the settings on SIGHUP and whenever the file has changed."""
    last_content = _read_settings(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_SECONDS):
                await reload.wait()
        except TimeoutError:
            pass
        is_requested = reload.is_set()
        reload.clear()
        content = _read_settings(path)
        if content is None:
            # The next readable file is loaded, also for a SIGHUP that came before it.
            last_content = None
            continue
        if content == last_content and not is_requested:
            continue
        last_content = content
        try:
            gateway.reload(load(path))
        except FireflyquayError as error:
            LOG.error("settings kept", extra={"cause": error.sentence})


def _read_settings(path: Path) -> bytes | None:
    """Return the content of the settings file, or None if it can't be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        LOG.error("settings unreadable", extra={"cause": str(error)})
        return None
