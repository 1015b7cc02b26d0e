"""The objects of the world: machines, zones, customers, contracts, requests."""

from ._backend_entry import BackendEntry, BackendPhase
from ._backend_server import BackendKind, BackendRecord, BackendServer, BackendState
from ._codes import Code, FireflyquayError
from ._contract import (
    Change,
    Contract,
    ContractRecord,
    ContractState,
    Limits,
    Tier,
)
from ._entry_vm import EntryVm, MemberState, VmListing, VmListingState
from ._fleet_config import (
    ClientAccount,
    ClientLimits,
    EngineSpec,
    FleetConfig,
    RepeatRule,
    Route,
    Service,
    ServiceShare,
)
from ._ids import (
    AttemptId,
    BackendServerId,
    ChangeId,
    ClientAccountId,
    CustomerId,
    ExchangeId,
    Fingerprint,
    Incarnation,
    ModelName,
    PoolId,
    RegionId,
    RequestKey,
    ServiceId,
    ZoneId,
)
from ._key import NO_WITNESS, HomedKey, is_valid_key, parse_homed_key
from ._request import Request, WorkKind
from ._trail import Step, TrailRecord
from ._verdict import Verdict

__all__ = [
    "AttemptId",
    "BackendEntry",
    "BackendPhase",
    "ClientAccount",
    "ClientAccountId",
    "ClientLimits",
    "EngineSpec",
    "FleetConfig",
    "ModelName",
    "RepeatRule",
    "Route",
    "Service",
    "ServiceId",
    "ServiceShare",
    "NO_WITNESS",
    "BackendKind",
    "BackendRecord",
    "BackendServer",
    "BackendServerId",
    "BackendState",
    "Change",
    "ChangeId",
    "Code",
    "Contract",
    "ContractRecord",
    "ContractState",
    "CustomerId",
    "EntryVm",
    "ExchangeId",
    "Fingerprint",
    "FireflyquayError",
    "HomedKey",
    "Incarnation",
    "Limits",
    "MemberState",
    "PoolId",
    "RegionId",
    "Request",
    "RequestKey",
    "Step",
    "Tier",
    "TrailRecord",
    "Verdict",
    "VmListing",
    "VmListingState",
    "WorkKind",
    "ZoneId",
    "is_valid_key",
    "parse_homed_key",
]
