"""Claims of callers' keys: one conditional create in the store for each."""

from __future__ import annotations

import logbook
import msgspec
import xxhash

from fireflyquay.contracts import (
    StoreConflict,
    StoredValue,
    StoreFailure,
    StoreRead,
    StoreResponse,
    StoreWrite,
)
from fireflyquay.gateway import Call, KeyClaims, RejectionError, fingerprint_request
from fireflyquay.links import Store
from fireflyquay.world import (
    DECODE_ERRORS,
    Code,
    Fingerprint,
    Incarnation,
    RepeatRule,
)

from ._parser import CallerFacts

LOG = logbook.Logger("keys")

CLAIM_PREFIX = "claims/"
# Calls to the store for one claim at most: a write, a read after a lost answer, and
# the same again.
MAX_CALLS = 4
# Seconds after which a caller may try again while the store is away.
RETRY_SECONDS = 1.0


class ClaimRecord(msgspec.Struct, frozen=True):
    """Hold a claim as stored."""

    # Entry VM and attempt that claimed; unique.
    owner: Incarnation
    attempt: str
    # Of the request that is to run.
    fingerprint: Fingerprint
    # Whether the attempt ended without having run.
    is_released: bool = False


class StoreClaims(KeyClaims):
    """Claim keys of work that may run only once, before it is sent.

    Answers a caller that sends a booking again after its connection was lost: the
    second copy finds the claim, whichever entry VM it comes to.
    """

    def __init__(self, store: Store, own: Incarnation, timeout: float) -> None:
        self._store = store
        self._own = own
        # Seconds for one call.
        self._timeout = timeout

    async def claim(self, call: Call) -> bool:
        """Claim a call's key and tell whether it has one that needs a claim.

        Raises RejectionError if the key was claimed before or nobody can tell.
        """
        key = _find_key(call)
        if key is None:
            return False
        path, wanted = locate_claim(key), self._make_record(call)
        request: StoreRead | StoreWrite = StoreWrite(path, _encode(wanted), 0)
        for _ in range(MAX_CALLS):
            answer = await self._store.call(request, self._timeout)
            if isinstance(answer, StoredValue):
                found = decode_claim(answer.value)
                if found is not None and found.attempt == wanted.attempt:
                    return True
                self._check(found, wanted)
                request = StoreWrite(path, _encode(wanted), answer.version)
            elif not _may_be_there(answer):
                request = StoreWrite(path, _encode(wanted), 0)
            else:
                request = StoreRead(path)
        LOG.warning(
            "key not claimed", extra={"id": call.metadata.attempt_id, "key": key}
        )
        sentence = "The store could not be asked whether the key is new."
        raise RejectionError(Code.STORE_UNAVAILABLE, sentence, RETRY_SECONDS)

    async def release(self, call: Call) -> None:
        """Give a key back whose request has not run."""
        key = _find_key(call)
        if key is None:
            return
        path, own = locate_claim(key), self._make_record(call)
        read = await self._store.call(StoreRead(path), self._timeout)
        if isinstance(read, StoredValue):
            found = decode_claim(read.value)
            if found is None or found.attempt != own.attempt:
                return
            value = _encode(msgspec.structs.replace(own, is_released=True))
            write = StoreWrite(path, value, read.version)
            if isinstance(await self._store.call(write, self._timeout), StoredValue):
                return
        # The key stays taken; its caller is told so and can look.
        LOG.warning(
            "key not released", extra={"id": call.metadata.attempt_id, "key": key}
        )

    def _make_record(self, call: Call) -> ClaimRecord:
        return ClaimRecord(
            self._own, call.metadata.attempt_id, fingerprint_request(call)
        )

    def _check(self, found: ClaimRecord | None, wanted: ClaimRecord) -> None:
        """Raise RejectionError unless a claim that stands may be replaced."""
        if found is None:
            raise RejectionError(
                Code.KEY_TAKEN, "The key has a claim that can't be read."
            )
        if found.fingerprint != wanted.fingerprint:
            raise RejectionError(Code.KEY_REUSED, "The key came with another request.")
        if not found.is_released:
            sentence = f"A request with this key was sent by {found.owner}."
            raise RejectionError(Code.KEY_TAKEN, sentence)


def locate_claim(key: str) -> str:
    """Return the store path of a key's claim."""
    return CLAIM_PREFIX + xxhash.xxh3_128_hexdigest(key.encode())


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Return a stored claim, None if it can't be read."""
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except DECODE_ERRORS:
        return None


def _find_key(call: Call) -> str | None:
    """Return the key that must be claimed, scoped to its customer."""
    metadata = call.metadata
    if call.admission.route.repeat_rule is not RepeatRule.AT_MOST_ONCE:
        return None
    if not isinstance(metadata, CallerFacts) or not metadata.key:
        return None
    account = call.admission.account
    return f"{'' if account is None else account.id}/{metadata.key}"


def _may_be_there(answer: StoreResponse) -> bool:
    """Tell whether the claim may stand after an answer that names none."""
    if isinstance(answer, StoreFailure):
        return answer.may_have_applied
    return isinstance(answer, StoreConflict)


def _encode(record: ClaimRecord) -> bytes:
    return msgspec.json.encode(record)
