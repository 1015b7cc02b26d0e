"""Tests of reloading the settings."""

from __future__ import annotations

import asyncio

import pytest

from fireflyquay.gateway import _daemon


class GatewayFake:
    def __init__(self) -> None:
        self.reloaded: list[bytes] = []

    def reload(self, settings: bytes) -> None:
        self.reloaded.append(settings)


@pytest.fixture
def path(tmp_path, monkeypatch):
    monkeypatch.setattr(_daemon, "SETTINGS_CHECK_INTERVAL_SECONDS", 0.01)
    return tmp_path / "gateway.toml"


def watch_settings(path, change):
    """Watch the settings while `change` runs; return what was loaded."""

    async def run() -> list[bytes]:
        gateway, reload = GatewayFake(), asyncio.Event()
        task = asyncio.create_task(
            _daemon._watch_settings(gateway, path, lambda it: it.read_bytes(), reload)
        )
        await asyncio.wait_for(change(reload), 5.0)
        assert not task.done()
        task.cancel()
        return gateway.reloaded

    return asyncio.run(run())


def test_missing_settings_file_after_sighup_does_not_block_other_tasks(path):
    path.write_bytes(b"old")

    async def change(reload: asyncio.Event) -> None:
        path.unlink()
        reload.set()
        await asyncio.sleep(0.05)
        path.write_bytes(b"old")
        await asyncio.sleep(0.2)

    assert watch_settings(path, change) == [b"old"]


def test_settings_file_that_appears_late_is_loaded(path):
    async def change(reload: asyncio.Event) -> None:
        await asyncio.sleep(0.05)
        path.write_bytes(b"new")
        await asyncio.sleep(0.2)

    assert watch_settings(path, change) == [b"new"]
