"""Fleets in virtual time: real gateways between emulated links, clients and servers."""

from ._emulation import Emulation, emulate
from ._history import Attempt, ClientRequest, Fault, History, PlannedChange, Run
from ._loop import VirtualLoop, run_virtual
from ._site import EngineModel, Kind, ServiceModel, Site, Wave
from ._sites import SITES, find_site
from ._summary import KindSummary, Summary, summarize

__all__ = [
    "SITES",
    "Attempt",
    "EngineModel",
    "History",
    "Summary",
    "Kind",
    "KindSummary",
    "PlannedChange",
    "ClientRequest",
    "Run",
    "ServiceModel",
    "Site",
    "Emulation",
    "Fault",
    "VirtualLoop",
    "Wave",
    "find_site",
    "emulate",
    "run_virtual",
    "summarize",
]
