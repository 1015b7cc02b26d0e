"""Source of contracts, backend servers and VMs, read from the platform."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from fireflyquay.contracts import (
    BACKEND_CODEC,
    BACKENDS_PREFIX,
    CONTRACT_CODEC,
    CONTRACTS_PREFIX,
    StoredValue,
    StoreList,
    StoreListResult,
    validate_contract,
)
from fireflyquay.gateway import (
    BackendsSnapshot,
    ConfigSnapshot,
    FleetSource,
    VmRegistration,
)
from fireflyquay.links import HttpFailure, Store, VmList
from fireflyquay.world import (
    MAX_NAME_CHARS,
    BackendEntry,
    BackendPhase,
    BackendRecord,
    BackendServerId,
    ClientAccount,
    ClientAccountId,
    ClientLimits,
    Code,
    Contract,
    ContractState,
    FireflyquayError,
    FleetConfig,
    Quota,
    QuotaUnit,
    RepeatRule,
    Route,
    Service,
    ServiceId,
    ServiceShare,
    VmListing,
    VmListingState,
)

from ._settings import EntrySettings, HttpSettings, KindSettings

LOG = logbook.Logger("contracts")

REQUESTS_PATH = "/v1/requests/"
# Share of a request's deadline within which the first output is expected; the rest is
# for the remaining output.
FIRST_OUTPUT_DEADLINE_SHARE = 0.3
# Burst of a client account's quotas, in seconds at its contract's rates.
BURST_SECONDS = 0.5
# Maximum number of backend servers to which one request is sent.
MAX_ATTEMPTS = 3
# Maximum connections to each backend server; its record sets no limit.
MAX_CONNECTIONS = 1024


class ContractSource(FleetSource):
    """Read the fleet's configuration and members from the platform."""

    def __init__(self, store: Store, vms: VmList, settings: EntrySettings) -> None:
        self._store = store
        self._vms = vms
        self._kinds = settings.kinds
        self._http = settings.http
        # Seconds to wait for each response of the store.
        self._timeout = settings.platform.timeout
        # Last readable version of each contract, by path. Contracts are never removed.
        self._contracts: dict[str, Contract] = {}
        # Last logged version of each unreadable contract, by path.
        self._logged_versions: dict[str, int] = {}

    async def read_config(self) -> ConfigSnapshot:
        """Return the latest configuration."""
        listing = await self._list_values(CONTRACTS_PREFIX)
        for value in listing.values:
            self._update_contract(value)
        # Versions must be above 0, also without contracts.
        version = 1 + max((value.revision for value in listing.values), default=0)
        contracts = self._contracts.values()
        config = convert_contracts(version, contracts, self._kinds, self._http)
        return ConfigSnapshot(config, listing.revision)

    async def list_backends(self) -> BackendsSnapshot:
        """Return all registered backend servers."""
        listing = await self._list_values(BACKENDS_PREFIX)
        entries: list[BackendEntry] = []
        unreadable: list[BackendServerId] = []
        for value in listing.values:
            name = BackendServerId(value.path.removeprefix(BACKENDS_PREFIX))
            entry = _decode_backend(name, value.value)
            if entry is None:
                unreadable.append(BackendServerId(name[:MAX_NAME_CHARS]))
            else:
                entries.append(entry)
        return BackendsSnapshot(tuple(entries), listing.revision, tuple(unreadable))

    async def register_vm(self, listing: VmListing) -> None:
        """Do nothing, as the platform maintains the list of VMs."""

    async def list_vms(self) -> tuple[VmRegistration, ...]:
        """Return the live VMs on the platform's list."""
        try:
            listings = await self._vms.list()
        except FireflyquayError as error:
            raise HttpFailure(error.code, error.sentence, True) from error
        return tuple(
            VmRegistration(f"{listing.host}:{listing.peer_port}", listing, 0)
            for listing in listings
            if listing.state is VmListingState.LIVE
        )

    async def remove_vm(self, registration: VmRegistration) -> None:
        """Do nothing, as the platform maintains the list of VMs."""

    def _update_contract(self, value: StoredValue) -> None:
        try:
            contract = CONTRACT_CODEC.decode(value.value).contract
            _check_contract(value.path, contract)
            self._contracts[value.path] = contract
        except FireflyquayError as error:
            if self._logged_versions.get(value.path) == value.version:
                return
            self._logged_versions[value.path] = value.version
            LOG.warning(
                "contract unreadable",
                extra={
                    "path": value.path[:MAX_NAME_CHARS],
                    "version": value.version,
                    "cause": error.sentence[:MAX_NAME_CHARS],
                },
            )

    async def _list_values(self, prefix: str) -> StoreListResult:
        response = await self._store.call(StoreList(prefix), self._timeout)
        if not isinstance(response, StoreListResult):
            sentence = f"The store did not list the objects under {prefix}."
            raise HttpFailure(Code.STORE_UNAVAILABLE, sentence, True)
        return response


def convert_contracts(
    version: int,
    contracts: Iterable[Contract],
    kinds: Iterable[KindSettings],
    http: HttpSettings,
) -> FleetConfig:
    """Convert contracts and kinds of request to the gateway's configuration."""
    kinds = tuple(kinds)
    pools = dict.fromkeys(ServiceId(kind.pool) for kind in kinds)
    limits = ClientLimits(
        http.max_header_bytes, http.max_body_bytes, http.read_timeout, http.keep_alive
    )
    return FleetConfig(
        version,
        tuple(_make_route(kind) for kind in kinds),
        {pool: Service(pool, MAX_CONNECTIONS) for pool in pools},
        limits,
        tuple(_make_client_account(contract) for contract in contracts),
        requires_keys=True,
    )


def convert_backend(record: BackendRecord) -> BackendEntry:
    """Return the gateway's entry for a stored backend server."""
    backend = record.backend
    phase = BackendPhase.READY if backend.accepts_requests else BackendPhase.LEAVING
    return BackendEntry(
        backend.server,
        ServiceId(backend.pool),
        backend.host,
        backend.port,
        backend.zone,
        backend.slots,
        phase,
        kind=backend.kind,
    )


def _check_contract(path: str, contract: Contract) -> None:
    """Raise FireflyquayError unless a contract is valid and stands at its path."""
    validate_contract(contract)
    if path != f"{CONTRACTS_PREFIX}{contract.customer}":
        sentence = "The contract names another customer than its path."
        raise FireflyquayError(Code.BAD_CONTRACT, sentence)


def _decode_backend(name: BackendServerId, value: bytes) -> BackendEntry | None:
    """Decode the record of a backend server; return None if it is invalid."""
    try:
        entry = convert_backend(BACKEND_CODEC.decode(value))
    except FireflyquayError:
        return None
    return entry if entry.id == name and entry.is_valid else None


def _make_route(kind: KindSettings) -> Route:
    rule = RepeatRule.IDEMPOTENT if kind.idempotent else RepeatRule.AT_MOST_ONCE
    return Route(
        name=kind.name,
        host="",
        path_prefix=f"{REQUESTS_PATH}{kind.name}/",
        is_stream=False,
        repeat_rule=rule,
        timeout=kind.deadline,
        target_latency=kind.deadline * FIRST_OUTPUT_DEADLINE_SHARE,
        rank=0,
        shares=(ServiceShare(ServiceId(kind.pool), 1),),
        max_attempts=MAX_ATTEMPTS,
        is_public=False,
    )


def _make_client_account(contract: Contract) -> ClientAccount:
    limits = contract.limits
    rates = (
        (QuotaUnit.REQUEST, limits.requests_per_second),
        (QuotaUnit.TOKEN, limits.tokens_per_second),
    )
    return ClientAccount(
        id=ClientAccountId(contract.customer),
        keys=frozenset((contract.token,)),
        rank=None,
        quotas=tuple(
            Quota(unit, rate, max(1.0, rate * BURST_SECONDS)) for unit, rate in rates
        ),
        max_in_flight=limits.in_flight,
        share=contract.share,
        route_ranks={kind: int(tier) for kind, tier in contract.tiers.items()},
        is_active=contract.state is ContractState.ACTIVE,
    )
