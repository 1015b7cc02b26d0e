"""Lets VMs find each other in the store when no seed knows them."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

import logbook

from fireflyquay.links import HttpFailure
from fireflyquay.world import VmListing

from ._dialect import FleetSource, VmRegistration

LOG = logbook.Logger("discovery")

# Seconds between looks at whether the store is to be asked.
CHECK_INTERVAL_SECONDS = 0.5
# Seconds after the start in which seeds answer a VM that they can introduce.
SEED_WAIT_SECONDS = 1.5
# Seconds between questions of a VM that stays alone, twice as many after each.
INITIAL_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 8.0
# Seconds between a coordinator's looks at the registrations: parts of a fleet that lost
# each other for long are one again within it.
REFRESH_INTERVAL_SECONDS = 20.0
# Seconds for which a registered VM may be silent before its registration is removed.
REGISTRATION_EXPIRY_SECONDS = 60.0


class Neighbors(ABC):
    """Tell which VMs are known, and introduce this one to others."""

    @property
    @abstractmethod
    def is_coordinating(self) -> bool:
        """Tell whether this VM coordinates, as far as it knows."""

    @abstractmethod
    def list_addresses(self) -> set[tuple[str, int]]:
        """Return the peer addresses of the VMs that run, the own one included."""

    @abstractmethod
    def announce(self, listings: Sequence[VmListing]) -> None:
        """Tell VMs that may run of this one."""


class Discovery:
    """Register this VM, and look for others while it is alone or coordinates.

    Answers a VM whose seeds are all gone: it would take itself for the whole fleet.
    """

    def __init__(
        self, source: FleetSource, own: VmListing, neighbors: Neighbors
    ) -> None:
        self._source = source
        self._own = own
        self._neighbors = neighbors
        self._pause = INITIAL_RETRY_SECONDS
        # Since when each registered VM is silent, in loop time.
        self._absent_since: dict[str, float] = {}

    async def register(self) -> None:
        """Register this VM, trying again until the store takes it."""
        pause = INITIAL_RETRY_SECONDS
        while True:
            try:
                await self._source.register_vm(self._own)
            except HttpFailure as failure:
                LOG.warning("VM not registered", extra={"cause": failure.sentence})
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
                continue
            LOG.info("VM registered", extra={"host": self._own.host})
            return

    async def discover_vms(self) -> None:
        """Look for others again and again until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SEED_WAIT_SECONDS)
        next_at = loop.time()
        while True:
            is_alone = len(self._neighbors.list_addresses()) < 2
            is_due = loop.time() >= next_at
            if is_due and (is_alone or self._neighbors.is_coordinating):
                next_at = loop.time() + await self._refresh_registrations(is_alone)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _refresh_registrations(self, is_alone: bool) -> float:
        """Ask the store once and return the seconds until the next time."""
        try:
            found = await self._source.list_vms()
            if all(it.listing != self._own for it in found):
                await self._source.register_vm(self._own)
            await self._remove_expired(found)
        except HttpFailure as failure:
            LOG.warning("VMs not listed", extra={"cause": failure.sentence})
            return self._back_off()
        others = [it.listing for it in found if it.listing != self._own]
        self._neighbors.announce(others)
        if not is_alone:
            self._pause = INITIAL_RETRY_SECONDS
            return REFRESH_INTERVAL_SECONDS
        LOG.info("alone", extra={"registered": len(others)})
        return self._back_off()

    def _back_off(self) -> float:
        pause, self._pause = self._pause, min(2 * self._pause, MAX_RETRY_SECONDS)
        return pause

    async def _remove_expired(self, found: Sequence[VmRegistration]) -> None:
        """Remove the registrations of VMs that are silent for long."""
        now = asyncio.get_running_loop().time()
        known = self._neighbors.list_addresses()
        absent: dict[str, float] = {}
        for it in found:
            if (it.listing.host, it.listing.peer_port) in known:
                continue
            since = absent[it.name] = self._absent_since.get(it.name, now)
            if now - since >= REGISTRATION_EXPIRY_SECONDS:
                LOG.info("registration removed", extra={"vm": it.name})
                await self._source.remove_vm(it)
        self._absent_since = absent
