"""Assignment of requests to slots on backend servers, and its replicated state."""

from ._backend_registry import (
    REREGISTRATION_SECONDS,
    BackendRegistry,
    list_ready_versions,
)
from ._config_replica import ConfigReplica
from ._control_message import (
    ActiveRun,
    ActiveRunsReport,
    BackendNews,
    BackendPause,
    Cancellation,
    ControlMessage,
    CrashNews,
    Detach,
    FirstOutput,
    Handover,
    MessageToCoordinator,
    MessageToFollower,
    OriginMessage,
    OriginRequest,
    OriginResponse,
    Probe,
    ProbeResponse,
    Queued,
    Rejection,
    ReplicaSyncMessage,
    RunEnded,
)
from ._coordinator import Coordinator
from ._crash_tracker import (
    BEGINNING_SECONDS,
    CrashTracker,
    EvidenceRecord,
    SuspicionChange,
    list_suspects,
    make_stored_news,
)
from ._exposure_budget import RolloutBounds
from ._fleet_knowledge import FleetKnowledge
from ._freshness import Freshness
from ._machine_load import MachineReading
from ._memory_account import (
    CONNECTION_BYTES,
    MemoryAccount,
    MemoryHolder,
    MemoryUse,
)
from ._origin_archive import OriginArchive
from ._placement import PlacementSettings
from ._quota_limiter import (
    QUOTA_WINDOW_SECONDS,
    UNKNOWN_STARTS_PER_WINDOW,
    QuotaLimiter,
    QuotaMargin,
)
from ._replica_sync import ReplicaListener, ReplicaSync
from ._retry_budget import RetryBudget
from ._rollout import ReadProgress, ReserveExposure, RolloutAction, WriteStatus
from ._rollout_messages import (
    PartId,
    ProgressPart,
    RolloutPhase,
    RolloutProgress,
    ServerEvidence,
)
from ._rollouts import RolloutEvent, Rollouts, RolloutView
from ._run_durations import RunDurations
from ._scheduler import SlotScheduler, SlotSchedulerSettings
from ._slot_messages import Decision, Grant, Refusal, SlotRequest
from ._stream_origins import StreamOrigin, StreamOrigins
from ._usage_log import UsageLog
from ._usage_messages import CoordinatorUsage, GrantedUsage, Ledger, UsageHistory
from ._version_record import VersionKey, VersionReading, VersionRecord
from ._zone_preference import ZoneSettings

__all__ = [
    "CONNECTION_BYTES",
    "MemoryAccount",
    "MemoryHolder",
    "MemoryUse",
    "REREGISTRATION_SECONDS",
    "ActiveRun",
    "ActiveRunsReport",
    "BackendPause",
    "BackendRegistry",
    "Cancellation",
    "ConfigReplica",
    "ControlMessage",
    "Coordinator",
    "BEGINNING_SECONDS",
    "CrashNews",
    "CrashTracker",
    "EvidenceRecord",
    "SuspicionChange",
    "list_ready_versions",
    "list_suspects",
    "make_stored_news",
    "Decision",
    "Detach",
    "FirstOutput",
    "FleetKnowledge",
    "Freshness",
    "Grant",
    "Handover",
    "MachineReading",
    "MessageToCoordinator",
    "MessageToFollower",
    "OriginArchive",
    "OriginMessage",
    "OriginRequest",
    "OriginResponse",
    "Probe",
    "ProbeResponse",
    "Queued",
    "PlacementSettings",
    "QuotaLimiter",
    "QuotaMargin",
    "QUOTA_WINDOW_SECONDS",
    "UNKNOWN_STARTS_PER_WINDOW",
    "CoordinatorUsage",
    "GrantedUsage",
    "Ledger",
    "UsageHistory",
    "UsageLog",
    "Refusal",
    "ReplicaListener",
    "ReplicaSync",
    "ReplicaSyncMessage",
    "BackendNews",
    "Rejection",
    "RetryBudget",
    "PartId",
    "ProgressPart",
    "RolloutPhase",
    "RolloutProgress",
    "ServerEvidence",
    "ReadProgress",
    "ReserveExposure",
    "RolloutAction",
    "RolloutBounds",
    "RolloutEvent",
    "RolloutView",
    "Rollouts",
    "WriteStatus",
    "RunDurations",
    "RunEnded",
    "SlotRequest",
    "SlotScheduler",
    "SlotSchedulerSettings",
    "StreamOrigin",
    "StreamOrigins",
    "VersionKey",
    "VersionReading",
    "VersionRecord",
    "ZoneSettings",
]
