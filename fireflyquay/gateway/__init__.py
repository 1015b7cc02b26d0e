"""Gateway that accepts requests on every VM and forwards them to backend servers."""

from ._admission import RejectionError
from ._call import Call, fingerprint_request
from ._claims import KeyClaims
from ._clock import AgeClock, BootClock, LoopClock
from ._daemon import run_gateway
from ._dialect import (
    BackendsSnapshot,
    BrokenResponseError,
    ConfigSnapshot,
    Dialect,
    EventReader,
    Exchange,
    Failure,
    FleetSource,
    HeaderPairs,
    RequestMetadata,
    Response,
    ResponseMetadata,
    StatedLoad,
    StoredRecord,
    UpstreamRequest,
    VmRegistration,
)
from ._event_splitter import EventSplitter
from ._gateway import Gateway, generate_incarnation
from ._settings import (
    GatewaySettings,
    LogSettings,
    PromiseSettings,
    RolloutSettings,
    StoreSettings,
    VmSettings,
    load_gateway_settings,
    split_address,
)

__all__ = [
    "AgeClock",
    "BackendsSnapshot",
    "BootClock",
    "BrokenResponseError",
    "Call",
    "ConfigSnapshot",
    "Dialect",
    "EventReader",
    "EventSplitter",
    "Exchange",
    "Failure",
    "FleetSource",
    "Gateway",
    "GatewaySettings",
    "HeaderPairs",
    "KeyClaims",
    "LogSettings",
    "LoopClock",
    "PromiseSettings",
    "RejectionError",
    "RequestMetadata",
    "Response",
    "ResponseMetadata",
    "RolloutSettings",
    "StatedLoad",
    "StoreSettings",
    "StoredRecord",
    "UpstreamRequest",
    "VmRegistration",
    "VmSettings",
    "fingerprint_request",
    "generate_incarnation",
    "load_gateway_settings",
    "run_gateway",
    "split_address",
]
