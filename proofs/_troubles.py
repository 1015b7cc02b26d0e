"""Troubles that plays and mutations share."""

from __future__ import annotations

from emulator import Emulation

SERVICES = ("app-0", "app-1")
FRESH_VMS = 5


async def send_poison(emulation: Emulation, count: int, pause: float) -> None:
    """Send a request that crashes what runs it, again and again."""
    for _ in range(count):
        emulation.clients.send(emulation.get_kind("look"), "poison")
        await emulation.run(pause)
        for name in SERVICES:
            emulation.servers[name].restart()


async def lose_all_vms(emulation: Emulation, pause: float) -> None:
    """Kill all VMs and start others after some seconds."""
    for host in emulation.list_hosts():
        emulation.kill(host)
    await emulation.run(pause)
    for _ in range(FRESH_VMS):
        await emulation.add_vm()
