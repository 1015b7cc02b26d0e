"""The configuration in force, with its age."""

from __future__ import annotations

from collections.abc import Sequence

from fireflyquay.world import ClientAccount, ClientAccountId, FleetConfig, Route

from ._proof import Proof


class ConfigBook:
    """Keep the newest configuration seen; it never goes back to an older version."""

    def __init__(self) -> None:
        self.config: FleetConfig | None = None
        self.proof = Proof(0, float("-inf"))
        self._routes: dict[str, list[Route]] = {}
        self._accounts: dict[str, ClientAccount] = {}
        self._by_id: dict[ClientAccountId, ClientAccount] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none is known."""
        return 0 if self.config is None else self.config.version

    def offer(self, config: FleetConfig, proof: Proof) -> bool:
        """Take a configuration that a read gave; tell whether it is a new version."""
        if config.version < self.version:
            return False
        is_new = config.version > self.version
        if is_new:
            self.config = config
            self._index(config)
        self.prove(proof)
        return is_new

    def prove(self, proof: Proof) -> None:
        """Note that the version in force was current at a later moment."""
        if proof.proven_at > self.proof.proven_at:
            self.proof = proof

    def measure_age(self, now: float) -> float:
        """Return the seconds since the version in force was proven current."""
        return self.proof.measure_age(now)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path."""
        for route in self._routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the client account that holds a key."""
        return self._accounts.get(key)

    def get_account(self, name: ClientAccountId) -> ClientAccount | None:
        """Return a client account by its id."""
        return self._by_id.get(name)

    def _index(self, config: FleetConfig) -> None:
        routes: dict[str, list[Route]] = {}
        for route in config.routes:
            routes.setdefault(route.host.lower(), []).append(route)
        for of_host in routes.values():
            of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._routes = routes
        self._accounts = _index_keys(config.accounts)
        self._by_id = {account.id: account for account in config.accounts}


def _index_keys(accounts: Sequence[ClientAccount]) -> dict[str, ClientAccount]:
    return {key: account for account in accounts for key in account.keys}
