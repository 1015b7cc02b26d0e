"""Faults that several tests inject."""

from __future__ import annotations

from emulator import Stage

SERVICE_SERVERS = ("app-0", "app-1")
REPLACEMENT_VM_COUNT = 5


async def send_poison(stage: Stage, count: int, pause: float) -> None:
    """Send a request repeatedly that crashes each server; restart them in between."""
    for _ in range(count):
        stage.clients.send(stage.find_kind("look"), "poison")
        await stage.run(pause)
        for name in SERVICE_SERVERS:
            stage.servers[name].come_back()


async def replace_all_vms(stage: Stage, pause: float) -> None:
    """Kill all VMs and start new ones after ``pause`` seconds."""
    for host in stage.list_hosts():
        stage.kill(host)
    await stage.run(pause)
    for _ in range(REPLACEMENT_VM_COUNT):
        await stage.add_vm()
