"""Replica of the configuration and its freshness."""

from __future__ import annotations

import math
from collections.abc import Sequence

from fireflyquay.world import (
    ClientAccount,
    ClientAccountId,
    FleetConfig,
    Route,
    ServiceId,
)

from ._freshness import Freshness


class ConfigReplica:
    """Hold the newest configuration seen; never revert to an older version."""

    def __init__(self) -> None:
        self.config: FleetConfig | None = None
        self.freshness = Freshness(0, float("-inf"))
        # Newest version that any VM is known to have read.
        self.newest_version = 0
        # Time at which a newer version than the one in force was proven to exist, on
        # the suspend-aware clock; None if the one in force is the newest known.
        self.superseded_at: float | None = None
        self._routes_by_host: dict[str, list[Route]] = {}
        self._accounts_by_api_key: dict[str, ClientAccount] = {}
        self._accounts_by_id: dict[ClientAccountId, ClientAccount] = {}

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first configuration."""
        return 0 if self.config is None else self.config.version

    def apply_config(self, config: FleetConfig, freshness: Freshness) -> bool:
        """Apply a newer version or confirm an equal one; return whether it is newer."""
        if config.version < self.version:
            return False
        is_new = config.version > self.version
        if is_new:
            self.config = config
            self._build_indexes(config)
        if config.version >= self.newest_version or self._is_proven_newest(freshness):
            self.newest_version = config.version
            self.superseded_at = None
        self.mark_confirmed(freshness)
        return is_new

    def _is_proven_newest(self, freshness: Freshness) -> bool:
        """Return whether a read came after the proof of a newer version.

        The store had come back from a copy without that version.
        """
        superseded_at = self.superseded_at
        return superseded_at is not None and freshness.confirmed_at > superseded_at

    def note_version(self, version: int, confirmed_at: float) -> bool:
        """Record that a VM read a version; return whether it is the newest known."""
        if version <= self.newest_version:
            return False
        self.newest_version = version
        if self.superseded_at is None:
            self.superseded_at = confirmed_at
        return True

    def mark_confirmed(self, freshness: Freshness) -> None:
        """Record a confirmation of the version unless a later one is known."""
        if freshness.confirmed_at > self.freshness.confirmed_at:
            self.freshness = freshness

    def compute_age(self, now: float) -> float:
        """Return the seconds since the version in force was confirmed as current."""
        return self.freshness.compute_age(now)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def requires_keys(self) -> bool:
        """Return whether requests carry API keys, except on public routes."""
        # Only a statement opens the routes.
        return self.config is None or self.config.requires_keys is not False

    def find_account_by_api_key(self, api_key: str) -> ClientAccount | None:
        """Return the client account that an API key belongs to; None without a key."""
        return self._accounts_by_api_key.get(api_key)

    def get_account(self, account_id: ClientAccountId) -> ClientAccount | None:
        """Return a client account by its id."""
        return self._accounts_by_id.get(account_id)

    def get_memory_tokens(self, service: ServiceId) -> float:
        """Return the tokens that each engine of a service holds, as far as stated."""
        known = None if self.config is None else self.config.services.get(service)
        if known is None or known.engine is None:
            return math.inf
        return known.engine.memory_tokens or math.inf

    def _build_indexes(self, config: FleetConfig) -> None:
        routes: dict[str, list[Route]] = {}
        for route in config.routes:
            routes.setdefault(route.host.lower(), []).append(route)
        for host_routes in routes.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._routes_by_host = routes
        self._accounts_by_api_key = _index_accounts_by_api_key(config.accounts)
        self._accounts_by_id = {account.id: account for account in config.accounts}


def _index_accounts_by_api_key(
    accounts: Sequence[ClientAccount],
) -> dict[str, ClientAccount]:
    # A request without a key has an empty one.
    return {key: account for account in accounts for key in account.keys if key}
