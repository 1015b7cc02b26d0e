"""Types that all packages share: VMs, backend servers, contracts and requests."""

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
from ._decode_errors import DECODE_ERRORS
from ._entry_vm import EntryVm, MemberState, VmListing, VmListingState
from ._fleet_config import (
    ClientAccount,
    ClientLimits,
    EngineSpec,
    FleetConfig,
    Quota,
    QuotaUnit,
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
    Fingerprint,
    Incarnation,
    ModelName,
    PoolId,
    PromptPartId,
    RegionId,
    RequestKey,
    ServiceId,
    SuspectId,
    ZoneId,
)
from ._key import is_valid_request_key
from ._numbers import MAX_COUNT, MAX_PORT, parse_count
from ._verdict import Verdict

__all__ = [
    "MAX_COUNT",
    "MAX_PORT",
    "DECODE_ERRORS",
    "parse_count",
    "AttemptId",
    "BackendEntry",
    "BackendPhase",
    "ClientAccount",
    "Quota",
    "QuotaUnit",
    "ClientAccountId",
    "ClientLimits",
    "EngineSpec",
    "FleetConfig",
    "ModelName",
    "PromptPartId",
    "RepeatRule",
    "Route",
    "Service",
    "ServiceId",
    "ServiceShare",
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
    "Fingerprint",
    "FireflyquayError",
    "Incarnation",
    "Limits",
    "MemberState",
    "PoolId",
    "RegionId",
    "RequestKey",
    "Tier",
    "Verdict",
    "VmListing",
    "VmListingState",
    "ZoneId",
    "is_valid_request_key",
    "SuspectId",
]
