"""Process of a gateway: signals and reloads of its settings."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

import logbook

from fireflyquay.world import FireflyquayError

from ._gateway import Gateway
from ._settings import GatewaySettings

# The settings file is checked periodically because it may change without a signal.
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
LOG = logbook.Logger("daemon")

LoadSettings = Callable[[Path], GatewaySettings]


async def run_gateway(gateway: Gateway, path: Path, load: LoadSettings) -> None:
    """Run until SIGTERM or SIGINT; a second signal aborts the graceful stop.

    SIGHUP or a change of the settings file reloads the settings.
    """
    loop = asyncio.get_running_loop()
    stop, abort, reload = asyncio.Event(), asyncio.Event(), asyncio.Event()

    def request_stop() -> None:
        (abort if stop.is_set() else stop).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await gateway.start()
    watching = loop.create_task(_watch_settings(gateway, path, load, reload))
    await stop.wait()
    watching.cancel()
    stopping = loop.create_task(gateway.stop())
    aborting = loop.create_task(abort.wait())
    await asyncio.wait({stopping, aborting}, return_when=asyncio.FIRST_COMPLETED)
    aborting.cancel()
    if not stopping.done():
        stopping.cancel()
        await asyncio.gather(stopping, return_exceptions=True)
        await gateway.abort()
        LOG.warning("stopped at once")


async def _watch_settings(
    gateway: Gateway, path: Path, load: LoadSettings, reload: asyncio.Event
) -> None:
    """Reload the settings on SIGHUP and whenever the file has changed."""
    last_text = path.read_bytes()
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_SECONDS):
                await reload.wait()
        except TimeoutError:
            pass
        try:
            text = path.read_bytes()
        except OSError as error:
            LOG.error("settings unreadable", extra={"cause": str(error)})
            continue
        if text == last_text and not reload.is_set():
            continue
        last_text = text
        reload.clear()
        try:
            gateway.reload(load(path))
        except FireflyquayError as error:
            LOG.error("settings kept", extra={"cause": error.sentence})
