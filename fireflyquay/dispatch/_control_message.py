"""Messages between VMs on places and on what is known."""

from __future__ import annotations

from fireflyquay.membership import (
    MembershipMessage,
    Message,
)
from fireflyquay.world import (
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    EntryVm,
    FleetConfig,
    Incarnation,
)

from ._slot_messages import Grant, Refusal, SlotRequest


class Queued(Message):
    """Tell that an ask has arrived and waits."""

    number: int


class Cancellation(Message, tag="Withdrawal"):
    """Drop an ask, waiting or granted, that nobody wants any more."""

    number: int


class FirstOutput(Message):
    """Tell that a run has begun to give output."""

    number: int
    backend: BackendServerId


class RunEnded(Message, tag="Ended"):
    """Tell that a run is over."""

    number: int
    backend: BackendServerId
    output_tokens: int
    # Seconds between two events, the longest.
    longest_gap: float
    failed: bool


class BackendPause(Message, tag="Pause"):
    """Ask that a backend server be left alone for some seconds."""

    backend: BackendServerId
    seconds: float


class CrashReport(Message, tag="Crashed"):
    """Tell that a request crashed the backend server that ran it."""

    fingerprint: str


class ActiveRun(Message, tag="HeldRun"):
    """Describe a place in use."""

    request: SlotRequest
    backend: BackendServerId
    # Seconds since it was granted.
    held: float


class Handover(Message):
    """Tell a new coordinator what the sender holds and has lately used."""

    # The sender, which the receiver may not know as a member yet.
    vm: EntryVm
    runs: tuple[ActiveRun, ...]
    # Requests and quota tokens that were given out lately.
    usage: tuple[tuple[ClientAccountId, int, float], ...]
    # Crashes by fingerprint.
    crashes: tuple[tuple[str, int], ...]


class ActiveRunsReport(Message, tag="Holding"):
    """Tell what the sender holds now, in case messages were lost."""

    runs: tuple[ActiveRun, ...]


class Detach(Message):
    """Tell a coordinator that the sender has turned to another."""


class Probe(Message):
    """Ask how recent the receiver's knowledge is."""

    number: int
    is_ready: bool
    # The sender, which the receiver may not know as a member yet.
    vm: EntryVm


class ProbeResponse(Message, tag="ProbeAnswer"):
    """Tell what is known, and the age of its proof in seconds."""

    number: int
    config_version: int
    config_revision: int
    config_age: float
    backends_digest: int
    backends_revision: int
    backends_age: float
    # Members that take no requests at present.
    unready: tuple[Incarnation, ...]


class ConfigRequest(Message, tag="WantConfig"):
    """Ask for the configuration."""

    number: int


class ConfigResponse(Message, tag="ConfigNews"):
    """Carry the configuration and the age of its proof."""

    number: int
    config: FleetConfig
    revision: int
    age: float


class BackendsRequest(Message, tag="WantBackends"):
    """Ask for the registered backend servers."""

    number: int


class BackendsResponse(Message, tag="BackendsNews"):
    """Carry the registered backend servers and the age of their proof."""

    number: int
    entries: tuple[BackendEntry, ...]
    revision: int
    age: float


ReplicaSyncMessage = (
    Probe
    | ProbeResponse
    | ConfigRequest
    | ConfigResponse
    | BackendsRequest
    | BackendsResponse
)
CoordinatorMessage = (
    SlotRequest
    | Cancellation
    | FirstOutput
    | RunEnded
    | BackendPause
    | CrashReport
    | Handover
    | ActiveRunsReport
    | Detach
)
FollowerMessage = Grant | Refusal | Queued
CONTROL_MESSAGE = (
    MembershipMessage | ReplicaSyncMessage | CoordinatorMessage | FollowerMessage
)
