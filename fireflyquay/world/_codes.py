"""Stable codes of rejections and failures."""

from __future__ import annotations

from enum import StrEnum


class Code(StrEnum):
    """Name the reason for a rejection or failure; clients may depend on the names."""

    # Invalid, unauthorized or quarantined requests.
    BAD_REQUEST = "BAD_REQUEST"
    BODY_TOO_LARGE = "BODY_TOO_LARGE"
    UNKNOWN_KIND = "UNKNOWN_KIND"
    UNKNOWN_CUSTOMER = "UNKNOWN_CUSTOMER"
    CONTRACT_ENDED = "CONTRACT_ENDED"
    KIND_NOT_IN_CONTRACT = "KIND_NOT_IN_CONTRACT"
    BAD_KEY = "BAD_KEY"
    UNKNOWN_ROUTE = "UNKNOWN_ROUTE"
    UNKNOWN_API_KEY = "UNKNOWN_API_KEY"
    KEY_REUSED = "KEY_REUSED"
    KEY_TAKEN = "KEY_TAKEN"
    QUARANTINED = "QUARANTINED"
    # Limits and capacity.
    RATE_LIMITED = "RATE_LIMITED"
    TOKENS_LIMITED = "TOKENS_LIMITED"
    IN_FLIGHT_LIMITED = "IN_FLIGHT_LIMITED"
    OVERLOADED = "OVERLOADED"
    # The request alone exceeds the memory of every backend server.
    EXCEEDS_MEMORY = "EXCEEDS_MEMORY"
    DEADLINE_UNREACHABLE = "DEADLINE_UNREACHABLE"
    NO_BACKEND_SERVER = "NO_BACKEND_SERVER"
    # A stream can't be resumed: no backend server of the software version at which it
    # began is left, or no VM knows that version.
    STREAM_VERSION_GONE = "STREAM_VERSION_GONE"
    UNKNOWN_STREAM = "UNKNOWN_STREAM"
    # The VM is not ready, its configuration is outdated, or the store is unavailable.
    NOT_READY = "NOT_READY"
    # The VM stops before a response could come back.
    STOPPING = "STOPPING"
    STALE_CONFIG = "STALE_CONFIG"
    STORE_UNAVAILABLE = "STORE_UNAVAILABLE"
    # Failures while a request runs.
    BACKEND_FAILED = "BACKEND_FAILED"
    BACKEND_TIMEOUT = "BACKEND_TIMEOUT"
    STREAM_LOST = "STREAM_LOST"
    CALLER_GONE = "CALLER_GONE"
    # Operator commands, settings and internal errors.
    VERSION_CONFLICT = "VERSION_CONFLICT"
    NOT_FOUND = "NOT_FOUND"
    BAD_SETTINGS = "BAD_SETTINGS"
    BAD_CONTRACT = "BAD_CONTRACT"
    BAD_MESSAGE = "BAD_MESSAGE"
    INTERNAL = "INTERNAL"


class FireflyquayError(Exception):
    """Report a failure by a stable code and a human-readable sentence."""

    def __init__(self, code: Code, sentence: str) -> None:
        super().__init__(f"{code.value}: {sentence}")
        self.code = code
        self.sentence = sentence
