"""Fleets in virtual time: real gateways between emulated links, clients and servers."""

from ._evidence import Attempt, Evidence, Mark, Requested, Run, Trouble
from ._figures import Figures, KindFigures, summarize
from ._loop import VirtualLoop, run_virtual
from ._site import EngineModel, Kind, ServiceModel, Site, Wave
from ._sites import SITES, find_site
from ._stage import Stage, play

__all__ = [
    "SITES",
    "Attempt",
    "EngineModel",
    "Evidence",
    "Figures",
    "Kind",
    "KindFigures",
    "Mark",
    "Requested",
    "Run",
    "ServiceModel",
    "Site",
    "Stage",
    "Trouble",
    "VirtualLoop",
    "Wave",
    "find_site",
    "play",
    "run_virtual",
    "summarize",
]
