"""The gateway: clients' requests to backend servers through any VM."""

from ._clock import AgeClock, BootClock, LoopClock
from ._dialect import (
    AnswerFacts,
    BackendsRead,
    ConfigRead,
    Dialect,
    FleetSource,
    HeaderPairs,
    RequestFacts,
    VmRegistration,
)
from ._gateway import Gateway
from ._settings import (
    GatewaySettings,
    LogSettings,
    PromiseSettings,
    StoreSettings,
    VmSettings,
    load_gateway_settings,
    split_address,
)

__all__ = [
    "AgeClock",
    "AnswerFacts",
    "BackendsRead",
    "BootClock",
    "ConfigRead",
    "Dialect",
    "FleetSource",
    "Gateway",
    "GatewaySettings",
    "HeaderPairs",
    "LogSettings",
    "LoopClock",
    "PromiseSettings",
    "RequestFacts",
    "StoreSettings",
    "VmRegistration",
    "VmSettings",
    "load_gateway_settings",
    "split_address",
]
