"""What an interface's wire says, apart from its names."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from fireflyquay.links import HttpRequest, RawHeaders
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    Code,
    FleetConfig,
    ModelName,
    VmListing,
)

HeaderPairs = list[tuple[bytes | str, bytes | str]]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Hold what a client's request says."""

    # Empty if the client sent none.
    attempt: AttemptId
    host: str
    # What routes are chosen by.
    path: str
    api_key: str
    # Seconds that the client waits; None if it did not say.
    client_timeout: float | None
    model: ModelName
    prompt_tokens: int
    # The most that the response may have.
    output_tokens: int
    # Whether the client named token counts.
    has_token_counts: bool
    # Id of the last event that the client has of an interrupted stream.
    last_event: str


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Hold a request as a backend server gets it."""

    method: str
    target: str | bytes
    headers: HeaderPairs
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Hold what a backend server's headers say of a response."""

    # Empty if the response names no request.
    attempt: AttemptId
    # Whether the response carries the proof that a backend server made it.
    is_sealed: bool
    # Whether the backend server states that it did not run the request.
    is_not_run: bool


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a whole response as the client gets it."""

    status: int
    headers: HeaderPairs
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """Say why the gateway answers a request by itself."""

    code: Code
    sentence: str
    # Seconds after which the client should come back; None if that is of no use.
    retry_after: float | None
    # Whether a backend server may have run the request.
    may_have_run: bool


class BrokenResponse(Exception):  # noqa: N818
    """Tell that a response can't be the backend server's whole one."""


class EventReader(ABC):
    """Pass on a stream's events as they become whole."""

    def __init__(self) -> None:
        # Whole events so far, and the id of the last one.
        self.events = 0
        self.last_id = ""

    @abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Return what the client gets once these bytes have come."""

    @abstractmethod
    def finish(self) -> bytes:
        """Return what the client gets at the end; raise BrokenAnswer if it is none."""


class Exchange(ABC):
    """Translate one request and its response."""

    metadata: RequestMetadata

    @abstractmethod
    def make_request(
        self,
        backend: BackendEntry,
        account: ClientAccountId | None,
        time_left: float,
        last_event: str,
    ) -> UpstreamRequest:
        """Return the request as a backend server gets it, with the seconds left."""

    @abstractmethod
    def read_response_metadata(self, headers: dict[str, str]) -> ResponseMetadata:
        """Decode a backend server's headers."""

    @abstractmethod
    def open_reader(self, backend: BackendEntry, is_stream: bool) -> EventReader | None:
        """Return what reads a successful response in parts; None if it comes whole."""

    @abstractmethod
    def translate_headers(self, headers: RawHeaders) -> HeaderPairs:
        """Return the headers of a backend server's success as the client gets them."""

    @abstractmethod
    def translate_response(
        self, status: int, headers: RawHeaders, body: bytes, is_genuine: bool
    ) -> Response:
        """Return a whole response as the client gets it.

        A response that is not genuine loses the proof of its origin.
        """

    @abstractmethod
    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return a response of the gateway's own."""

    def end_stream(self, failure: Failure) -> bytes:
        """Return what tells the client that its stream failed; empty cuts it off."""
        return b""

    def list_log_fields(self) -> dict[str, str]:
        """Return what the log tells of the request besides its id."""
        return {}

    def reports_not_run(self, status: int, body: bytes) -> bool:
        """Tell whether a whole response states that the request did not run."""
        return False


class Dialect(ABC):
    """Translate between an interface's wire and this package's types."""

    @abstractmethod
    def open(self, request: HttpRequest) -> Exchange:
        """Decode a client's request; raise FireflyquayError if it is malformed."""

    @abstractmethod
    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the response to a request that can't be decoded."""

    @abstractmethod
    def encode_entries(self, addresses: Sequence[str], keep_seconds: float) -> bytes:
        """Encode the list of addresses that clients may use."""


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """Hold a read of the configuration; None if there is none yet."""

    config: FleetConfig | None
    # Revision of the store at the read.
    revision: int


@dataclass(frozen=True, slots=True)
class BackendsSnapshot:
    """Hold a list of the registered backend servers."""

    entries: tuple[BackendEntry, ...]
    revision: int
    # Names of entries that can't be read.
    unreadable: tuple[BackendServerId, ...] = ()


@dataclass(frozen=True, slots=True)
class VmRegistration:
    """Hold where a VM says that it runs."""

    name: str
    listing: VmListing
    # Of the store, at the registration's last change.
    revision: int


class FleetSource(ABC):
    """Read the platform's store and register VMs; failures raise HttpFailure."""

    @abstractmethod
    async def read_config(self) -> ConfigSnapshot:
        """Return the newest configuration."""

    @abstractmethod
    async def list_backends(self) -> BackendsSnapshot:
        """Return all registered backend servers."""

    @abstractmethod
    async def register_vm(self, listing: VmListing) -> None:
        """Register a VM at its address; doing so again changes nothing."""

    @abstractmethod
    async def list_vms(self) -> tuple[VmRegistration, ...]:
        """Return all registered VMs, also ones that no longer run."""

    @abstractmethod
    async def remove_vm(self, registration: VmRegistration) -> None:
        """Remove a registration unless it has changed."""
