"""Reads contracts and backend servers from the store as a configuration."""

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
    StoreListing,
)
from fireflyquay.gateway import (
    BackendsSnapshot,
    ConfigSnapshot,
    FleetSource,
    VmRegistration,
)
from fireflyquay.links import HttpFailure, Store, VmList
from fireflyquay.world import (
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
# Part of a kind's deadline in which the first output should come; the rest is for the
# output itself.
FIRST_OUTPUT_SHARE = 0.3
# Seconds of a contract's rates that may be used at once.
BURST_SECONDS = 0.5
# Backend servers to which one request may be sent.
MAX_ATTEMPTS = 3
# Connections that one backend server accepts: no bound is stated.
MAX_CONNECTIONS = 1024


class ContractSource(FleetSource):
    """Read contracts, backend servers and the platform's list of VMs."""

    def __init__(self, store: Store, vms: VmList, settings: EntrySettings) -> None:
        self._store = store
        self._vms = vms
        self._kinds = settings.kinds
        self._http = settings.http
        # Seconds for one call.
        self._timeout = settings.platform.timeout
        # By path; one that becomes unreadable stays as it was.
        self._contracts: dict[str, Contract] = {}
        # Version of each unreadable contract that the log has told of, by path.
        self._logged_versions: dict[str, int] = {}

    async def read_config(self) -> ConfigSnapshot:
        """Return the newest configuration."""
        listing = await self._list_values(CONTRACTS_PREFIX)
        for value in listing.values:
            self._update_contract(value)
        # Above 0 also without any contract.
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
            try:
                entries.append(convert_backend(BACKEND_CODEC.decode(value.value)))
            except FireflyquayError:
                name = value.path.removeprefix(BACKENDS_PREFIX)
                unreadable.append(BackendServerId(name))
        return BackendsSnapshot(tuple(entries), listing.revision, tuple(unreadable))

    async def register_vm(self, listing: VmListing) -> None:
        """Do nothing, for the platform lists VMs by itself."""

    async def list_vms(self) -> tuple[VmRegistration, ...]:
        """Return the VMs on the platform's list."""
        try:
            listings = await self._vms.list()
        except FireflyquayError as error:
            raise HttpFailure(error.code, error.sentence, True) from error
        return tuple(
            VmRegistration(f"{it.host}:{it.peer_port}", it, 0)
            for it in listings
            if it.state is VmListingState.LIVE
        )

    async def remove_vm(self, registration: VmRegistration) -> None:
        """Do nothing, for the platform lists VMs by itself."""

    def _update_contract(self, value: StoredValue) -> None:
        try:
            self._contracts[value.path] = CONTRACT_CODEC.decode(value.value).contract
        except FireflyquayError as error:
            if self._logged_versions.get(value.path) == value.version:
                return
            self._logged_versions[value.path] = value.version
            LOG.warning(
                "contract unreadable",
                extra={
                    "path": value.path,
                    "version": value.version,
                    "cause": error.sentence,
                },
            )

    async def _list_values(self, prefix: str) -> StoreListing:
        answer = await self._store.call(StoreList(prefix), self._timeout)
        if not isinstance(answer, StoreListing):
            sentence = f"The store gave no list of {prefix}."
            raise HttpFailure(Code.STORE_UNAVAILABLE, sentence, True)
        return answer


def convert_contracts(
    version: int,
    contracts: Iterable[Contract],
    kinds: Iterable[KindSettings],
    http: HttpSettings,
) -> FleetConfig:
    """Return the configuration that contracts and kinds of work make."""
    kinds = tuple(kinds)
    pools = dict.fromkeys(ServiceId(kind.pool) for kind in kinds)
    limits = ClientLimits(
        http.max_header_bytes, http.max_body_bytes, http.read_timeout, http.keep_alive
    )
    return FleetConfig(
        version,
        tuple(_convert_kind(kind) for kind in kinds),
        {pool: Service(pool, MAX_CONNECTIONS) for pool in pools},
        limits,
        tuple(_convert_contract(contract) for contract in contracts),
    )


def convert_backend(record: BackendRecord) -> BackendEntry:
    """Return a stored backend server as the gateway knows it."""
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


def _convert_kind(kind: KindSettings) -> Route:
    rule = RepeatRule.IDEMPOTENT if kind.idempotent else RepeatRule.AT_MOST_ONCE
    return Route(
        name=kind.name,
        host="",
        path_prefix=f"{REQUESTS_PATH}{kind.name}/",
        is_stream=False,
        repeat_rule=rule,
        timeout=kind.deadline,
        target_latency=kind.deadline * FIRST_OUTPUT_SHARE,
        rank=0,
        shares=(ServiceShare(ServiceId(kind.pool), 1),),
        max_attempts=MAX_ATTEMPTS,
        is_public=False,
    )


def _convert_contract(contract: Contract) -> ClientAccount:
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
