"""Actions that decisions ask their daemon to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyquay.contracts._store_call import StoreCall
from fireflyquay.membership import Action
from fireflyquay.world import (
    BackendServer,
    Code,
    ExchangeId,
    Request,
    RequestKey,
    TrailRecord,
    Verdict,
)


@dataclass(frozen=True, slots=True)
class CallStore(Action):
    """Call the store and deliver its answer under the same tag."""

    # Names the decision that asked and what for.
    tag: str
    call: StoreCall


@dataclass(frozen=True, slots=True)
class Dispatch(Action):
    """Start the request on a backend server and stream the answer."""

    request: Request
    backend: BackendServer


@dataclass(frozen=True, slots=True)
class Resume(Action):
    """Read a stream again that the backend server already has."""

    request: Request
    backend: BackendServer


@dataclass(frozen=True, slots=True)
class Cancel(Action):
    """Cancel what an exchange runs, for its caller is gone."""

    exchange: ExchangeId


@dataclass(frozen=True, slots=True)
class Refuse(Action):
    """Answer the caller with a refusal or failure."""

    exchange: ExchangeId
    code: Code
    verdict: Verdict
    sentence: str
    # Seconds after which trying again makes sense; None for never.
    retry_after: float | None = None
    # Key that the caller may use for a new attempt.
    new_key: RequestKey | None = None


@dataclass(frozen=True, slots=True)
class Redirect(Action):
    """Send the caller to the entry VM that holds its request."""

    exchange: ExchangeId
    host: str
    http_port: int


@dataclass(frozen=True, slots=True)
class Join(Action):
    """Attach an exchange to the answer of another with the same key."""

    exchange: ExchangeId
    runner: ExchangeId


@dataclass(frozen=True, slots=True)
class Record(Action):
    """Add a record to the trail."""

    record: TrailRecord
