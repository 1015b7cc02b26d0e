"""Faults that several tests inject."""

from __future__ import annotations

from emulator import Emulation

PLAIN_SERVICE_SERVERS = ("app-0", "app-1")
REPLACEMENT_VM_COUNT = 5


async def send_poison(emulation: Emulation, count: int, pause: float) -> None:
    """Send a request that crashes servers ``count`` times; restart them in between."""
    for _ in range(count):
        emulation.clients.send(emulation.get_kind("look"), "poison")
        await emulation.run(pause)
        for name in PLAIN_SERVICE_SERVERS:
            emulation.servers[name].restart()


async def replace_all_vms(emulation: Emulation, pause: float) -> None:
    """Kill all VMs and start new ones after ``pause`` seconds."""
    for host in emulation.list_hosts():
        emulation.kill(host)
    await emulation.run(pause)
    for _ in range(REPLACEMENT_VM_COUNT):
        await emulation.add_vm()
