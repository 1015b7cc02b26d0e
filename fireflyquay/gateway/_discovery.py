"""Discovery of other VMs through registrations in the store."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

import logbook

from fireflyquay.links import HttpFailure
from fireflyquay.world import MAX_NAME_CHARS, VmListing

from ._dialect import FleetSource, VmRegistration

LOG = logbook.Logger("discovery")

# Seconds between checks whether to list the registrations.
CHECK_INTERVAL_SECONDS = 0.5
# Seconds from the start to the first listing: a VM whose seeds are alive has joined by
# then.
SEED_WAIT_SECONDS = 1.5
# Delay in seconds before a failed call of the store is retried, or before a VM that is
# alone lists the registrations again. It doubles each time.
INITIAL_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 8.0
# Interval at which a coordinator lists the registrations. Partitions that
# have declared each other dead merge again within this time.
REFRESH_INTERVAL_SECONDS = 20.0
# Seconds after which the registration of a VM that isn't live is removed.
REGISTRATION_EXPIRY_SECONDS = 60.0


class MembershipView(ABC):
    """Provide the live VMs, and send join requests to others."""

    @property
    @abstractmethod
    def is_coordinating(self) -> bool:
        """Return whether this VM acts as the coordinator."""

    @abstractmethod
    def list_peer_addresses(self) -> set[tuple[str, int]]:
        """Return the peer addresses of the live VMs, including this one."""

    @abstractmethod
    def send_join_requests(self, listings: Sequence[VmListing]) -> None:
        """Send join requests to listed VMs, which may no longer run."""


class Discovery:
    """Register this VM, and search for others while it is alone or coordinates.

    Without this, a VM none of whose seeds is running would form a fleet of its own.
    """

    def __init__(
        self, source: FleetSource, own: VmListing, membership: MembershipView
    ) -> None:
        self._source = source
        self._own = own
        self._membership = membership
        self._retry_delay = INITIAL_RETRY_SECONDS
        # Loop time at which each registered VM was first seen not to be live, by name.
        self._absent_since: dict[str, float] = {}

    async def register(self) -> None:
        """Register this VM; retry until the store accepts the registration."""
        retry_delay = INITIAL_RETRY_SECONDS
        while True:
            try:
                await self._source.register_vm(self._own)
            except HttpFailure as failure:
                LOG.warning("VM not registered", extra={"cause": failure.sentence})
                await asyncio.sleep(retry_delay)
                retry_delay = min(2 * retry_delay, MAX_RETRY_SECONDS)
                continue
            LOG.info("VM registered", extra={"host": self._own.host})
            return

    async def discover_vms(self) -> None:
        """Search for other VMs until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SEED_WAIT_SECONDS)
        next_at = loop.time()
        while True:
            is_alone = len(self._membership.list_peer_addresses()) < 2
            is_due = loop.time() >= next_at
            if is_due and (is_alone or self._membership.is_coordinating):
                next_at = loop.time() + await self._refresh_registrations(is_alone)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _refresh_registrations(self, is_alone: bool) -> float:
        """List the registrations once; return the seconds until the next listing."""
        try:
            registrations = await self._source.list_vms()
            if all(it.listing != self._own for it in registrations):
                await self._source.register_vm(self._own)
            await self._remove_expired(registrations)
        except HttpFailure as failure:
            LOG.warning("VMs not listed", extra={"cause": failure.sentence})
            return self._back_off()
        others = [it.listing for it in registrations if it.listing != self._own]
        self._membership.send_join_requests(others)
        if not is_alone:
            self._retry_delay = INITIAL_RETRY_SECONDS
            return REFRESH_INTERVAL_SECONDS
        LOG.info("alone", extra={"registered": len(others)})
        return self._back_off()

    def _back_off(self) -> float:
        retry_delay, self._retry_delay = (
            self._retry_delay,
            min(2 * self._retry_delay, MAX_RETRY_SECONDS),
        )
        return retry_delay

    async def _remove_expired(self, registrations: Sequence[VmRegistration]) -> None:
        """Remove registrations of VMs not seen live for the expiry time."""
        now = asyncio.get_running_loop().time()
        live_addresses = self._membership.list_peer_addresses()
        absent: dict[str, float] = {}
        for registration in registrations:
            if (
                registration.listing.host,
                registration.listing.peer_port,
            ) in live_addresses:
                continue
            absent_since = absent[registration.name] = self._absent_since.get(
                registration.name, now
            )
            if now - absent_since >= REGISTRATION_EXPIRY_SECONDS:
                await self._remove(registration)
        self._absent_since = absent

    async def _remove(self, registration: VmRegistration) -> None:
        name = registration.name[:MAX_NAME_CHARS]
        try:
            await self._source.remove_vm(registration)
        except HttpFailure as failure:
            # Another program may have written it under a name that the store refuses.
            extra = {"vm": name, "cause": failure.sentence[:MAX_NAME_CHARS]}
            LOG.warning("registration not removed", extra=extra)
        else:
            LOG.info("registration removed", extra={"vm": name})
