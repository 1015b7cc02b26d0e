"""Decisions on requests: what is believed, who waits, who runs where."""

from ._backend_book import BackendBook
from ._config_book import ConfigBook
from ._crash_list import CrashList
from ._grant import Ask, Decision, Grant, Refusal
from ._grantor import Grantor, GrantorSettings
from ._proof import Proof
from ._quota import QuotaBook
from ._repeat_budget import RepeatBudget

__all__ = [
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
