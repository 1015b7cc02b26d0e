"""Assignment of requests to slots on backend servers, and the state it relies on."""

from ._backend_registry import BackendRegistry
from ._config_replica import ConfigReplica
from ._control_message import (
    CONTROL_MESSAGE,
    ActiveRun,
    ActiveRunsReport,
    BackendPause,
    Cancellation,
    CoordinatorMessage,
    CrashReport,
    Detach,
    FirstOutput,
    FollowerMessage,
    Handover,
    Probe,
    Queued,
    ReplicaSyncMessage,
    RunEnded,
)
from ._coordinator import HANDOVER_USAGE_SECONDS, Coordinator
from ._crash_tracker import CrashTracker
from ._freshness import Freshness
from ._quota_limiter import QuotaLimiter
from ._replica_sync import ReplicaSync
from ._retry_budget import RetryBudget
from ._scheduler import SlotScheduler, SlotSchedulerSettings
from ._slot_messages import Decision, Grant, Refusal, SlotRequest

__all__ = [
    "CONTROL_MESSAGE",
    "HANDOVER_USAGE_SECONDS",
    "Coordinator",
    "CoordinatorMessage",
    "CrashReport",
    "Detach",
    "RunEnded",
    "FirstOutput",
    "FollowerMessage",
    "Handover",
    "ActiveRun",
    "ActiveRunsReport",
    "ReplicaSync",
    "ReplicaSyncMessage",
    "BackendPause",
    "Probe",
    "Queued",
    "Cancellation",
    "SlotRequest",
    "BackendRegistry",
    "ConfigReplica",
    "CrashTracker",
    "Decision",
    "Grant",
    "SlotScheduler",
    "SlotSchedulerSettings",
    "Freshness",
    "QuotaLimiter",
    "Refusal",
    "RetryBudget",
]
