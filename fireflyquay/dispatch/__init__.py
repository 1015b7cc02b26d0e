"""Decisions on requests: what is believed, who waits, who runs where."""

from ._backend_book import BackendBook
from ._config_book import ConfigBook
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
from ._grant import Decision, Grant, Refusal, SlotRequest
from ._knowledge_exchange import KnowledgeExchange
from ._proof import Proof
from ._quota import QuotaBook
from ._repeat_budget import RepeatBudget
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
    "KnowledgeExchange",
    "ReplicaSyncMessage",
    "BackendPause",
    "Probe",
    "Queued",
    "Cancellation",
    "SlotRequest",
    "BackendBook",
    "ConfigBook",
    "CrashList",
    "Decision",
    "Grant",
    "SlotScheduler",
    "SlotSchedulerSettings",
    "Proof",
    "QuotaBook",
    "Refusal",
    "RepeatBudget",
]
