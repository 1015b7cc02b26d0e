"""Emulation of a fleet in virtual time.

Gateways run their real code; clients, backend servers, network and store are emulated.
"""

from ._emulation import Emulation, emulate
from ._history import Attempt, ClientRequest, Fault, History, PlannedChange, Run
from ._loop import VirtualLoop, run_virtual
from ._site import EngineModel, Kind, ServiceModel, Site, Wave
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
    "Run",
    "ServiceModel",
    "Site",
    "Summary",
    "VirtualLoop",
    "Wave",
    "emulate",
    "find_site",
    "run_virtual",
    "summarize",
]
