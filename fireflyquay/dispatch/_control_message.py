"""Messages between VMs about slots and replicated state."""

from __future__ import annotations

import msgspec

from fireflyquay.membership import (
    MembershipMessage,
    Message,
)
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    BackendServerId,
    ClientAccountId,
    EntryVm,
    FleetConfig,
    Incarnation,
    ServiceId,
    SoftwareVersion,
    SuspectId,
)

from ._machine_load import MachineReading
from ._slot_messages import Grant, Refusal, SlotRequest
from ._usage_messages import Ledger, UsageHistory


class Queued(Message):
    """Confirm that a slot request was received and queued."""

    number: int


class Cancellation(Message, tag="Withdrawal"):
    """Cancel a slot request, waiting or granted, that is no longer needed."""

    number: int
    # Whether the grant came too late for its request, so that its charge is refunded.
    refunds: bool = False


class FirstOutput(Message):
    """Report that a run has produced its first output."""

    number: int
    backend: BackendServerId
    # Software version that wrote it, as its VM knows; None from a VM that does not
    # state it.
    version: SoftwareVersion | None = None
    # How slow the machine was; None if the response did not state it.
    reading: MachineReading | None = None


class RunEnded(Message, tag="Ended"):
    """Report that a run has ended."""

    number: int
    backend: BackendServerId
    # Number of stream events, each with one or more tokens.
    event_count: int
    # Longest time between two stream events in seconds.
    longest_gap: float
    failed: bool
    # Whether the response was whole and no error, whether it was an error or broken by
    # the server itself, and whether its process ended; all False if nothing is known.
    is_sound: bool = False
    is_faulty: bool = False
    has_crashed: bool = False
    # From sending the request to the end; None if not stated.
    seconds: float | None = None
    # How slow the machine was; None if the response did not state it.
    reading: MachineReading | None = None
    # False if nothing was sent, or if the backend server declined the request.
    has_run: bool = True


class BackendPause(Message, tag="Pause"):
    """Suspend grants on a backend server for the given number of seconds."""

    backend: BackendServerId
    seconds: float
    # Whether it refuses connections, so that another process may answer next.
    may_restart: bool = False
    # VM from which it wants nothing for so long; empty if the pause holds for all.
    vm: Incarnation = Incarnation("")
    # The sender's request that was rejected since no slot was free; None if none was.
    rejected: int | None = None


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """Describe a request that a backend server rejected for want of room."""

    # Other runs there, as the coordinator counted when it granted the slot.
    occupancy: int
    age_seconds: float
    # From the grant to the rejection.
    delay_seconds: float


class BackendNews(Message, tag="RequestLimitNews"):
    """Report what a response of a backend server's process states."""

    backend: BackendServerId
    # Start of the backend server's process, in milliseconds since the epoch.
    born_ms: int
    # Requests per second from all VMs together; None if no limit is stated.
    limit: float | None
    # Seconds since the response was received.
    age_seconds: float
    # Seconds since the request was sent; None if it is not proven that the backend
    # server states nothing else.
    sent_age_seconds: float | None = None
    # Rejections per second from which the backend server may fall over; None if it
    # states none.
    max_rejections: float | None = None
    # Runs that it seems to hold; None if that is not known.
    room: float | None = None
    rejections: tuple[Rejection, ...] = ()
    # Whether it leaves and takes no new requests.
    is_leaving: bool = False


class OriginRequest(Message):
    """Request the origin of a stream; a VM that does not know it sends no response."""

    stream: AttemptId


class OriginResponse(Message):
    """Report at which service and software version a stream began."""

    stream: AttemptId
    service: ServiceId
    version: SoftwareVersion


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe the crash of a backend server."""

    backend: BackendServerId
    # Start of the crashed process, in milliseconds since the epoch; 0 if unknown.
    born_ms: int
    age_seconds: float
    # What the runs that had just begun hold that may have caused the crash.
    suspects: tuple[SuspectId, ...]
    # Whether the age was computed from times of day, which differ between VMs.
    is_stored: bool = False


class QuarantineRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe a suspect that must not run."""

    suspect: SuspectId
    crash_count: int
    # Seconds since its last crash.
    age_seconds: float


class CrashNews(Message):
    """Share evidence of what crashes backend servers with another VM."""

    crashes: tuple[CrashRecord, ...]
    # Seconds since the last sound run with each of these began.
    sound: tuple[tuple[SuspectId, float], ...]
    quarantined: tuple[QuarantineRecord, ...]


class ActiveRun(Message, tag="HeldRun"):
    """Describe a run that occupies a slot."""

    request: SlotRequest
    backend: BackendServerId
    # Seconds since the grant.
    age_seconds: float


# Requests and quota tokens granted recently, by client account.
QuotaUsage = tuple[tuple[ClientAccountId, int, float], ...]


class Handover(Message):
    """Report the sender's runs and recent usage to a new coordinator."""

    # The sender, whose membership record may not have reached the receiver yet.
    vm: EntryVm
    runs: tuple[ActiveRun, ...]
    usage: QuotaUsage
    # What backend servers stated, as far as the sender knows.
    news: tuple[BackendNews, ...] = ()
    # Origins of the streams that the sender sends to clients.
    origins: tuple[OriginResponse, ...] = ()
    # Pauses that backend servers requested from the sender, and those of backend
    # servers that may have restarted unnoticed.
    rests: tuple[BackendPause, ...] = ()
    # What the sender knows of recent usage; None from a VM that keeps no history.
    history: UsageHistory | None = None


class ActiveRunsReport(Message, tag="Holding"):
    """Report all active runs of the sender, to recover from lost messages."""

    runs: tuple[ActiveRun, ...]


class Detach(Message):
    """Notify a coordinator that the sender now follows another one."""


class Probe(Message):
    """Request the versions and ages of the receiver's replicated state."""

    number: int
    # Whether the sender accepts clients' requests.
    is_ready: bool
    # The sender, whose membership record may not have reached the receiver yet.
    vm: EntryVm
    # Whether the sender's memory is short, so that it should get no further clients.
    is_short_of_memory: bool = False
    # Version of the sender's configuration; 0 if it has none or does not state it.
    config_version: int = 0
    # Seconds since the older of the sender's replicas was confirmed. The message may
    # have been delayed since; None from a VM that does not state it.
    replica_age: float | None = None


class ProbeResponse(Message, tag="ProbeAnswer"):
    """Report versions of the replicated state and seconds since their confirmation."""

    number: int
    config_version: int
    config_revision: int
    config_age: float
    backends_digest: int
    backends_revision: int
    backends_age: float
    # VMs that accept no requests at present.
    unready: tuple[Incarnation, ...]
    # What is left of limits, if the receiver follows the sender.
    ledger: Ledger | None = None
    # VMs whose memory is short at present.
    short_of_memory: tuple[Incarnation, ...] = ()
    # Seconds before its last confirmation and since, for which the store has responded
    # to one VM after the other without a gap; None if the sender does not state it.
    store_uptime: float | None = None
    # Position at which the store last came back from a copy.
    restored_revision: int = 0


class ConfigRequest(Message, tag="WantConfig"):
    """Request the configuration."""

    number: int


class ConfigResponse(Message, tag="ConfigNews"):
    """Carry the configuration and the seconds since its confirmation."""

    number: int
    config: FleetConfig
    revision: int
    age: float


class BackendsRequest(Message, tag="WantBackends"):
    """Request the registered backend servers."""

    number: int


class BackendsResponse(Message, tag="BackendsNews"):
    """Carry the registered backend servers and the seconds since their confirmation."""

    number: int
    entries: tuple[BackendEntry, ...]
    revision: int
    age: float
    # Seconds for which entries may still be missing after an outage of the store.
    recovery_seconds: float = 0.0
    # Those of the entries that the store does not list, and that the sender expects to
    # be registered again.
    retained: tuple[BackendServerId, ...] = ()
    # As in ``ProbeResponse``.
    store_uptime: float | None = None
    restored_revision: int = 0


ReplicaSyncMessage = (
    Probe
    | ProbeResponse
    | ConfigRequest
    | ConfigResponse
    | BackendsRequest
    | BackendsResponse
)
MessageToCoordinator = (
    SlotRequest
    | Cancellation
    | FirstOutput
    | RunEnded
    | BackendPause
    | BackendNews
    | Handover
    | ActiveRunsReport
    | Detach
)
OriginMessage = OriginRequest | OriginResponse
MessageToFollower = Grant | Refusal | Queued
ControlMessage = (
    MembershipMessage
    | ReplicaSyncMessage
    | MessageToCoordinator
    | MessageToFollower
    | OriginMessage
    | CrashNews
)
