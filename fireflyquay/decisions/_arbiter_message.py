"""Messages that decide which entry VM may dispatch a request key."""

from __future__ import annotations

from fireflyquay.membership._bounds import Count
from fireflyquay.membership._message import Message
from fireflyquay.world import BackendServerId, Fingerprint, Incarnation, RequestKey

NO_SERVER = BackendServerId("")
NO_OWNER = Incarnation("")
NO_FINGERPRINT = Fingerprint("")


class Claim(Message, frozen=True):
    """Ask the witness for leave to dispatch on a backend server."""

    key: RequestKey
    attempt: Count
    server: BackendServerId
    # Of the request that is to run.
    fingerprint: Fingerprint = NO_FINGERPRINT


class Close(Message, frozen=True):
    """Ask the witness to rule out that this attempt ever runs."""

    key: RequestKey
    attempt: Count


class Fence(Message, frozen=True):
    """Ask the witness to make the sender the owner of a key."""

    key: RequestKey
    attempt: Count
    # Owner that the sender found to be gone and wants to replace.
    replaces: Incarnation = NO_OWNER


class WitnessAnswer(Message, frozen=True):
    """Tell what the witness holds for a key after an operation."""

    key: RequestKey
    attempt: Count
    # Whether the operation took effect, or had before.
    granted: bool
    # Entry VM that may dispatch the attempt.
    owner: Incarnation
    # Backend server claimed by the owner, or empty.
    server: BackendServerId
    # Whether the attempt can no longer run.
    closed: bool
    # Whether the witness may have forgotten the key.
    forgotten: bool
    # Of the request that was claimed, empty when not known.
    fingerprint: Fingerprint = NO_FINGERPRINT


class AskHome(Message, frozen=True):
    """Ask a key's home to hand the key over, for its caller can't reach it."""

    key: RequestKey
    attempt: Count


class HomeAnswer(Message, frozen=True):
    """Tell whether the home handed the key over to the asker."""

    key: RequestKey
    attempt: Count
    handed_over: bool
