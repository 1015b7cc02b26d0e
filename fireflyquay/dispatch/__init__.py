"""Decisions on requests: what is believed, who waits, who runs where."""

from ._backend_book import BackendBook
from ._config_book import ConfigBook
from ._control_message import (
    CONTROL_MESSAGE,
    CoordinatorMessage,
    Crashed,
    Detach,
    Ended,
    FirstOutput,
    FollowerMessage,
    Handover,
    HeldRun,
    Holding,
    KnowledgeMessage,
    Pause,
    Probe,
    Queued,
    Withdrawal,
)
from ._coordinator import USAGE_SECONDS, Coordinator
from ._crash_list import CrashList
from ._grant import Ask, Decision, Grant, Refusal
from ._grantor import Grantor, GrantorSettings
from ._knowledge_exchange import KnowledgeExchange
from ._proof import Proof
from ._quota import QuotaBook
from ._repeat_budget import RepeatBudget

__all__ = [
    "CONTROL_MESSAGE",
    "USAGE_SECONDS",
    "Coordinator",
    "CoordinatorMessage",
    "Crashed",
    "Detach",
    "Ended",
    "FirstOutput",
    "FollowerMessage",
    "Handover",
    "HeldRun",
    "Holding",
    "KnowledgeExchange",
    "KnowledgeMessage",
    "Pause",
    "Probe",
    "Queued",
    "Withdrawal",
    "Ask",
    "BackendBook",
    "ConfigBook",
    "CrashList",
    "Decision",
    "Grant",
    "Grantor",
    "GrantorSettings",
    "Proof",
    "QuotaBook",
    "Refusal",
    "RepeatBudget",
]
