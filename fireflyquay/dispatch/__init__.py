"""Decisions on requests: what is believed, who waits, who runs where."""

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
from ._coordinator import USAGE_SECONDS, Coordinator
from ._crash_list import CrashList
from ._freshness import Freshness
from ._grant import Decision, Grant, Refusal, SlotRequest
from ._quota import QuotaBook
from ._repeat_budget import RepeatBudget
from ._replica_sync import ReplicaSync
from ._scheduler import SlotScheduler, SlotSchedulerSettings

__all__ = [
    "CONTROL_MESSAGE",
    "USAGE_SECONDS",
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
    "CrashList",
    "Decision",
    "Grant",
    "SlotScheduler",
    "SlotSchedulerSettings",
    "Freshness",
    "QuotaBook",
    "Refusal",
    "RepeatBudget",
]
