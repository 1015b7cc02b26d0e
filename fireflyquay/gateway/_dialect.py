"""Interfaces between the gateway and a protocol, and the types that they exchange."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from fireflyquay.dispatch import (
    EvidenceRecord,
    OriginArchive,
    RolloutProgress,
    VersionRecord,
)
from fireflyquay.links import HttpRequest, RawHeaders
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    Code,
    FleetConfig,
    ModelName,
    PromptPartId,
    RolloutOrder,
    RolloutState,
    ServiceId,
    VmListing,
)

# A record that VMs keep in the store.
R = TypeVar("R", VersionRecord, OriginArchive, EvidenceRecord, RolloutProgress)
HeaderPairs = list[tuple[bytes | str, bytes | str]]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Hold the metadata that a dialect decodes from a client's request."""

    # Id of the client's attempt, sent by the client or generated; empty if missing.
    attempt_id: AttemptId
    host: str
    # Matched against the path prefixes of routes.
    path: str
    api_key: str
    # Seconds that the client waits; None if not stated.
    client_timeout: float | None
    model: ModelName
    prompt_tokens: int
    # Maximum number of tokens in the response.
    max_output_tokens: int
    # Whether the client stated token counts.
    has_token_counts: bool
    # Id of the last event that the client received of an interrupted stream; empty if
    # there is none.
    last_event_id: str
    # Id of the attempt that brought the first event of the stream that the client
    # resumes; empty if it resumes none.
    resumed_attempt_id: AttemptId
    # Parts of the prompt that other requests may share, in order.
    shared_parts: tuple[PromptPartId, ...]


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Hold a request as sent to a backend server."""

    method: str
    target: str | bytes
    headers: HeaderPairs
    body: bytes


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """Hold what a backend server states of its load when it responds."""

    running: int
    waiting: int
    slots: int
    # Factor by which work takes longer on its machine at this moment; None if it is
    # not stated or out of range.
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Hold the metadata in the headers of a backend server's response."""

    # Id of the attempt that the response belongs to; empty if not stated.
    attempt_id: AttemptId
    # Whether the response carries the seal that proves its origin.
    is_sealed: bool
    # Whether the backend server states that it did not run the request.
    states_not_run: bool
    # Requests per second that the backend server takes from all VMs together; None if
    # it states no limit or a malformed one.
    request_limit: float | None = None
    # Rejections per second from which the backend server may fall over; None if it
    # states none or a malformed number.
    max_rejections: float | None = None
    # Whether the backend server leaves and takes no new requests.
    is_leaving: bool = False
    # Seconds for which the backend server wants nothing from the VM whose request it
    # rejects; None if it states none.
    rest_seconds: float | None = None
    # The headers of these statements as sent; empty without any.
    statements: str = ""
    # Whether a statement is malformed.
    is_malformed: bool = False
    # None if it is not stated or malformed.
    load: StatedLoad | None = None

    @property
    def proves_absence(self) -> bool:
        """Return whether what the response doesn't state is surely not stated."""
        return self.is_sealed and not self.is_malformed


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a complete response as sent to the client."""

    status: int
    headers: HeaderPairs
    body: bytes
    # Whether only the end of the connection ends the body, as the backend server sent
    # it; a length would claim that it is whole.
    ends_with_connection: bool = False


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe an error that the gateway itself returns to the client."""

    code: Code
    sentence: str
    # Seconds after which the client should retry; None if it should not.
    retry_after: float | None
    # Whether a backend server may have run the request.
    may_have_run: bool


class BrokenResponseError(Exception):
    """Report that a response is incomplete or not from the backend server."""


class EventReader(ABC):
    """Split a backend server's stream into complete events for the client."""

    def __init__(self) -> None:
        # Number of complete events with an id so far, and the last id.
        self.event_count = 0
        self.last_event_id = ""
        # Whether a part of an event was returned before the rest of it arrived.
        self.is_inside_event = False

    @abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Accept received bytes; return those to send to the client now."""

    @abstractmethod
    def finish(self) -> bytes:
        """Return the last bytes to send; raise BrokenResponseError on a cut stream."""


class Exchange(ABC):
    """Translate one request and its response between client and backend server."""

    metadata: RequestMetadata
    # Whether the headers of a response state the attempt that it belongs to.
    identifies_responses = True

    @abstractmethod
    def make_upstream_request(
        self,
        backend: BackendEntry,
        account: ClientAccountId | None,
        seconds_left: float,
        last_event_id: str,
    ) -> UpstreamRequest:
        """Return the request to send to a backend server."""

    @abstractmethod
    def read_response_metadata(self, headers: dict[str, str]) -> ResponseMetadata:
        """Decode the metadata in a backend server's headers."""

    @abstractmethod
    def open_reader(self, backend: BackendEntry, is_stream: bool) -> EventReader | None:
        """Return a reader for a streamed success; None if the response is buffered."""

    @abstractmethod
    def translate_headers(self, headers: RawHeaders) -> HeaderPairs:
        """Return the headers to send to the client for a successful response."""

    @abstractmethod
    def translate_response(
        self, status: int, headers: RawHeaders, body: bytes, keeps_seal: bool
    ) -> Response:
        """Return the complete response to send to the client.

        The seal is removed unless ``keeps_seal``: it does not cover a changed status.
        """

    @abstractmethod
    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return an error response of the gateway itself."""

    def make_final_event(self, failure: Failure) -> bytes:
        """Return a final event that reports the failure; empty to abort the stream."""
        return b""

    def get_log_fields(self) -> dict[str, str]:
        """Return log fields of the request besides its id."""
        return {}

    def check_unframed_body(self, headers: dict[str, str], body: bytes) -> None:
        """Raise BrokenResponseError if a body that its connection ended is a part.

        Without a length or chunks, only the body itself can tell.
        """
        return None

    def states_not_run(self, status: int, body: bytes) -> bool:
        """Return whether a complete response states that the request did not run."""
        return False


class Dialect(ABC):
    """Adapt a protocol to the types of this package."""

    @abstractmethod
    def decode_request(self, request: HttpRequest) -> Exchange:
        """Decode a client's request; raise FireflyquayError if it is malformed."""

    @abstractmethod
    def make_failure_response(self, status: int, failure: Failure) -> Response:
        """Return the error response to a request that can't be decoded."""

    @abstractmethod
    def encode_entries(self, addresses: Sequence[str], ttl_seconds: float) -> bytes:
        """Encode the addresses that clients may use, with their TTL in seconds."""


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """Hold the configuration as read from the store."""

    # None if none is stored yet.
    config: FleetConfig | None
    # Store revision at the time of the read; never decreases, also after a restore.
    revision: int


@dataclass(frozen=True, slots=True)
class BackendsSnapshot:
    """Hold the registered backend servers as read from the store."""

    entries: tuple[BackendEntry, ...]
    # Store revision at the time of the read; never decreases, also after a restore.
    revision: int
    # Names of registrations that can't be decoded.
    unreadable: tuple[BackendServerId, ...] = ()
    # Revision that the store had at least since it last came back from a copy; 0 if it
    # never did.
    restored_revision: int = 0
    # Number of times that the store was restored from a copy.
    restore_count: int = 0


@dataclass(frozen=True, slots=True)
class VmRegistration:
    """Hold the address under which a VM registered itself."""

    name: str
    listing: VmListing
    # Store revision of the registration's last change.
    revision: int


@dataclass(frozen=True, slots=True)
class StoredRecord(Generic[R]):
    """Hold a record of the VMs as stored."""

    # Empty if none is stored, or one that can't be decoded.
    record: R
    # Store revision of its last change; 0 if none is stored.
    revision: int
    # Number of times that the store was restored from a copy.
    restore_count: int


class FleetSource(ABC):
    """Access the platform's store; methods raise HttpFailure if the store fails."""

    @abstractmethod
    async def read_config(self) -> ConfigSnapshot:
        """Return the latest configuration."""

    @abstractmethod
    async def list_backends(self) -> BackendsSnapshot:
        """Return all registered backend servers."""

    @abstractmethod
    async def register_vm(self, listing: VmListing) -> None:
        """Register a VM at its address; idempotent."""

    @abstractmethod
    async def list_vms(self) -> tuple[VmRegistration, ...]:
        """Return all registered VMs, including ones that no longer run."""

    @abstractmethod
    async def remove_vm(self, registration: VmRegistration) -> None:
        """Remove a registration unless it has changed since it was listed."""

    def keeps_record(self, kind: type[R]) -> bool:
        """Return whether the store takes records of a type, as far as is known."""
        return False

    async def read_record(self, kind: type[R]) -> StoredRecord[R]:
        """Return the record of a type; there is one of each."""
        raise NotImplementedError

    async def write_record(self, record: R, revision: int) -> StoredRecord[R] | None:
        """Replace the record; return None if its revision is another by now."""
        raise NotImplementedError

    def keeps_rollouts(self) -> bool:
        """Return whether the store takes orders of roll-outs, as far as is known."""
        return False

    async def list_rollouts(self) -> tuple[RolloutOrder, ...]:
        """Return all readable orders of roll-outs, with the states written last."""
        return ()

    async def write_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        """Write an order's state; return None if the order has changed since."""
        raise NotImplementedError

    async def read_rollout_progress(
        self, service: ServiceId
    ) -> StoredRecord[RolloutProgress]:
        """Return the progress of a service's roll-out; empty if none is stored."""
        raise NotImplementedError

    async def write_rollout_progress(
        self, service: ServiceId, progress: RolloutProgress, revision: int
    ) -> StoredRecord[RolloutProgress] | None:
        """Replace the progress; return None if its revision is another by now."""
        raise NotImplementedError
