"""What a platform's wire says, apart from its names."""

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
class RequestFacts:
    """Hold what a client's headers say of a request."""

    # Empty if the client sent none.
    attempt: AttemptId
    host: str
    api_key: str
    # Seconds that the client waits; None if it did not say.
    patience: float | None
    model: ModelName
    prompt_tokens: int
    # The most that the response may have.
    output_tokens: int
    # Whether the client named token counts.
    has_token_counts: bool
    # Id of the last event that the client has of an interrupted stream.
    last_event: str


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Hold what a backend server's headers say of a response."""

    # Empty if the response names no request.
    attempt: AttemptId
    # Whether the response carries the proof that a backend server made it.
    is_sealed: bool
    # Whether the backend server states that it did not run the request.
    is_not_run: bool
    # Running and waiting requests, None if not told.
    running: int | None
    waiting: int | None


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """Hold a read of the configuration; None if there is none yet."""

    config: FleetConfig | None
    # Revision of the store at the read.
    revision: int


@dataclass(frozen=True, slots=True)
class BackendsRead:
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
    async def read_config(self) -> ConfigRead:
        """Return the newest configuration."""

    @abstractmethod
    async def list_backends(self) -> BackendsRead:
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


class Dialect(ABC):
    """Translate between the platform's headers and bodies and this package's types."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Decode a client's headers."""

    @abstractmethod
    def make_head(
        self,
        request: HttpRequest,
        backend: BackendServerId,
        account: ClientAccountId | None,
        time_left: float,
        last_event: str,
    ) -> HeaderPairs:
        """Return the headers of a request as a backend server gets it."""

    @abstractmethod
    def read_answer(self, headers: dict[str, str]) -> AnswerFacts:
        """Decode a backend server's headers."""

    @abstractmethod
    def pass_answer(self, headers: RawHeaders, is_genuine: bool) -> HeaderPairs:
        """Return the headers of a response as the client gets it.

        A response that is not genuine loses the proof of its origin.
        """

    @abstractmethod
    def make_refusal(
        self, attempt: AttemptId, code: Code, sentence: str, retry_after: float | None
    ) -> tuple[HeaderPairs, bytes]:
        """Return the headers and body of a response of the gateway's own."""

    @abstractmethod
    def encode_entries(self, addresses: Sequence[str], keep_seconds: float) -> bytes:
        """Encode the list of addresses that clients may use."""
