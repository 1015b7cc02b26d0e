"""HTTP status of each error code."""

from __future__ import annotations

from fireflyquay.world import Code

DEFAULT_HTTP_STATUS = 500

HTTP_STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.BAD_KEY: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.EXCEEDS_MEMORY: 413,
    Code.UNKNOWN_KIND: 404,
    Code.NOT_FOUND: 404,
    Code.UNKNOWN_CUSTOMER: 401,
    Code.CONTRACT_ENDED: 403,
    Code.KIND_NOT_IN_CONTRACT: 403,
    Code.UNKNOWN_ROUTE: 404,
    Code.UNKNOWN_API_KEY: 401,
    Code.STALE_CONFIG: 503,
    Code.KEY_REUSED: 422,
    Code.KEY_TAKEN: 409,
    Code.QUARANTINED: 503,
    Code.RATE_LIMITED: 429,
    Code.TOKENS_LIMITED: 429,
    Code.IN_FLIGHT_LIMITED: 429,
    Code.OVERLOADED: 503,
    Code.DEADLINE_UNREACHABLE: 503,
    Code.NO_BACKEND_SERVER: 503,
    Code.STREAM_VERSION_GONE: 503,
    Code.UNKNOWN_STREAM: 503,
    Code.NOT_READY: 503,
    Code.STOPPING: 503,
    Code.STORE_UNAVAILABLE: 503,
    Code.BACKEND_FAILED: 502,
    Code.STREAM_LOST: 502,
    Code.BACKEND_TIMEOUT: 504,
    Code.CALLER_GONE: 499,
    Code.INTERNAL: 500,
}


def get_http_status(code: Code) -> int:
    """Return the HTTP status of an error code."""
    return HTTP_STATUS_BY_CODE.get(code, DEFAULT_HTTP_STATUS)
