"""HTTP server and client, store client, connections between VMs, and JSON logs."""

from ._body_memory import BodyMemory
from ._connection_guard import ConnectionGuard
from ._connection_reset import abort_connection
from ._http_client import BackendClient, HttpClient
from ._http_exchange import BackendExchange, ExchangeOptions, HttpExchange
from ._http_message import (
    CallerDisconnectedError,
    HttpFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpStream,
    RawHeaders,
    join_headers,
)
from ._http_pool import Address, Dialer, TcpDialer
from ._http_responder import HttpResponder
from ._http_server import Handler, HttpServer
from ._http_statuses import get_http_status
from ._idempotent_reader import MIN_PATIENCE_SECONDS, IdempotentReader
from ._json_log import JsonLineHandler
from ._lenient_json import decode_json
from ._object_search import ObjectSearch
from ._peer import (
    Envelope,
    Link,
    LinkFactory,
    MessageCallback,
    PeerAddress,
    PeerLink,
    PeerTraffic,
)
from ._sse import SseEvent, SseParser, encode_sse
from ._store import HttpStore, HttpVmList, Store, VmList
from ._tunnel import Connection, TunnelOpener, TunnelRequest, TunnelState

__all__ = [
    "BackendExchange",
    "BodyMemory",
    "Connection",
    "ConnectionGuard",
    "TunnelOpener",
    "TunnelRequest",
    "TunnelState",
    "Address",
    "Dialer",
    "TcpDialer",
    "CallerDisconnectedError",
    "ExchangeOptions",
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
    "IdempotentReader",
    "MIN_PATIENCE_SECONDS",
    "RawHeaders",
    "SseEvent",
    "SseParser",
    "Store",
    "VmList",
    "abort_connection",
    "join_headers",
    "decode_json",
    "encode_sse",
    "get_http_status",
    "JsonLineHandler",
    "Envelope",
    "Link",
    "LinkFactory",
    "Handler",
    "BackendClient",
    "MessageCallback",
    "PeerAddress",
    "ObjectSearch",
    "PeerLink",
    "PeerTraffic",
]
