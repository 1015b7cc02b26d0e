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
from ._fleet_knowledge import FleetKnowledge
from ._freshness import Freshness
from ._machine_load import MachineReading
from ._origin_archive import OriginArchive
from ._placement import PlacementSettings
from ._quota_limiter import (
    QUOTA_WINDOW_SECONDS,
    UNKNOWN_STARTS_PER_WINDOW,
    QuotaLimiter,
    QuotaMargin,
)
from ._replica_sync import ReplicaSync
from ._retry_budget import RetryBudget
from ._run_durations import RunDurations
from ._scheduler import SlotScheduler, SlotSchedulerSettings
from ._slot_messages import Decision, Grant, Refusal, SlotRequest
from ._stream_origins import StreamOrigin, StreamOrigins
from ._usage_log import UsageLog
from ._usage_messages import CoordinatorUsage, GrantedUsage, Ledger, UsageHistory
from ._version_record import VersionKey, VersionReading, VersionRecord
from ._zone_preference import ZoneSettings

__all__ = [
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
    "ReplicaSync",
    "ReplicaSyncMessage",
    "BackendNews",
    "Rejection",
    "RetryBudget",
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
