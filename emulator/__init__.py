"""Emulation of a fleet in virtual time.

Gateways run their real code; clients, backend servers, network and store are emulated.
"""

from ._emulation import Emulation, emulate
from ._exposure import RolloutSummary, summarize_rollouts
from ._history import (
    Attempt,
    ClientRequest,
    Fault,
    History,
    PlannedChange,
    RolloutRecord,
    Run,
)
from ._loop import VirtualLoop, run_virtual
from ._site import (
    EngineModel,
    Kind,
    RolloutPlan,
    ServiceModel,
    Site,
    VersionFault,
    Wave,
)
from ._sites import SITES, find_site
from ._summary import KindSummary, Summary, summarize

__all__ = [
    "SITES",
    "Attempt",
    "ClientRequest",
    "Emulation",
    "EngineModel",
    "Fault",
    "History",
    "Kind",
    "KindSummary",
    "PlannedChange",
    "RolloutPlan",
    "RolloutRecord",
    "RolloutSummary",
    "Run",
    "ServiceModel",
    "Site",
    "Summary",
    "VersionFault",
    "VirtualLoop",
    "Wave",
    "emulate",
    "find_site",
    "run_virtual",
    "summarize",
    "summarize_rollouts",
]
