"""Links: HTTP, the platform's store, backend servers and peers over asyncio."""

from ._backend import (
    BackendAdapter,
    BackendEvent,
    BackendFailure,
    BackendLoad,
    RunChunk,
    RunFinished,
    RunStarted,
)
from ._engine_adapter import EngineAdapter
from ._http_client import BackendClient, ExchangeTerms, HttpClient, HttpExchange
from ._http_message import (
    CallerGoneError,
    HttpFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpStream,
    RawHeaders,
)
from ._http_responder import HttpResponder
from ._http_server import Handler, HttpServer
from ._line_log import LineHandler
from ._logs import get_logger, make_handler
from ._metrics import Metrics
from ._peer import Envelope, Link, MakeLink, PeerAddress, PeerLink, PeerTraffic
from ._service_adapter import ServiceAdapter
from ._sse import SseEvent, SseParser, encode_sse
from ._statuses import read_status
from ._store import HttpStore, HttpVmList, Store, VmList

__all__ = [
    "BackendAdapter",
    "BackendEvent",
    "BackendFailure",
    "BackendLoad",
    "CallerGoneError",
    "EngineAdapter",
    "ExchangeTerms",
    "HttpClient",
    "HttpExchange",
    "HttpFailure",
    "HttpLimits",
    "HttpRequest",
    "HttpResponder",
    "HttpResponse",
    "HttpServer",
    "HttpStore",
    "HttpStream",
    "HttpVmList",
    "RawHeaders",
    "RunChunk",
    "RunFinished",
    "RunStarted",
    "ServiceAdapter",
    "SseEvent",
    "SseParser",
    "Store",
    "VmList",
    "encode_sse",
    "get_logger",
    "make_handler",
    "read_status",
    "LineHandler",
    "Metrics",
    "Envelope",
    "Link",
    "MakeLink",
    "Handler",
    "BackendClient",
    "PeerAddress",
    "PeerLink",
    "PeerTraffic",
]
