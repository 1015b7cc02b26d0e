"""Claims of idempotency keys, stored by conditional writes."""

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

from ._parser import ContractRequestMetadata

LOG = logbook.Logger("keys")

CLAIMS_PREFIX = "claims/"
# Store requests per claim: enough for two writes, each followed by a read.
MAX_STORE_REQUESTS_PER_CLAIM = 4
# Retry-After of rejections while the store is unavailable.
RETRY_AFTER_SECONDS = 1.0


class ClaimRecord(msgspec.Struct, frozen=True):
    """Hold a claim as written to the store."""

    # Entry VM that claimed the key.
    owner: Incarnation
    # Unique id of the attempt that claimed the key.
    attempt: str
    # Fingerprint of the request that the key was claimed for.
    fingerprint: Fingerprint
    # Whether the attempt ended without running, so the key may be claimed again.
    is_released: bool = False


class StoreClaims(KeyClaims):
    """Claim the keys of requests that may run only once, before they are sent.

    If a client resends a request after a lost connection, any entry VM that receives
    the copy reads the claim and rejects the copy.
    """

    def __init__(self, store: Store, incarnation: Incarnation, timeout: float) -> None:
        self._store = store
        self._incarnation = incarnation
        # Seconds to wait for each response of the store.
        self._timeout = timeout

    async def claim(self, call: Call) -> bool:
        """Claim a call's key; return False if the call needs no claim.

        Raises RejectionError if the key is claimed or the claim can't be verified.
        """
        key = _get_claim_key(call)
        if key is None:
            return False
        path, record = make_claim_path(key), self._make_record(call)
        request: StoreRead | StoreWrite = StoreWrite(path, _encode(record), 0)
        for _ in range(MAX_STORE_REQUESTS_PER_CLAIM):
            response = await self._store.call(request, self._timeout)
            if isinstance(response, StoredValue):
                existing = decode_claim(response.value)
                if existing is not None and existing.attempt == record.attempt:
                    return True
                self._ensure_replaceable(existing, record)
                request = StoreWrite(path, _encode(record), response.version)
            elif not _may_claim_exist(response):
                request = StoreWrite(path, _encode(record), 0)
            else:
                request = StoreRead(path)
        LOG.warning(
            "key not claimed", extra={"id": call.metadata.attempt_id, "key": key}
        )
        sentence = "The store could not be asked whether the key is new."
        raise RejectionError(Code.STORE_UNAVAILABLE, sentence, RETRY_AFTER_SECONDS)

    async def release(self, call: Call) -> None:
        """Release the key of a request that has not run."""
        key = _get_claim_key(call)
        if key is None:
            return
        path, record = make_claim_path(key), self._make_record(call)
        read = await self._store.call(StoreRead(path), self._timeout)
        if isinstance(read, StoredValue):
            existing = decode_claim(read.value)
            if existing is None or existing.attempt != record.attempt:
                return
            value = _encode(msgspec.structs.replace(record, is_released=True))
            write = StoreWrite(path, value, read.version)
            if isinstance(await self._store.call(write, self._timeout), StoredValue):
                return
        # The key stays claimed: a retry is rejected with KEY_TAKEN, which tells the
        # client to check whether the request ran, although it did not.
        LOG.warning(
            "key not released", extra={"id": call.metadata.attempt_id, "key": key}
        )

    def _make_record(self, call: Call) -> ClaimRecord:
        return ClaimRecord(
            self._incarnation, call.metadata.attempt_id, fingerprint_request(call)
        )

    def _ensure_replaceable(
        self, existing: ClaimRecord | None, record: ClaimRecord
    ) -> None:
        """Raise RejectionError unless the existing claim may be replaced."""
        if existing is None:
            raise RejectionError(
                Code.KEY_TAKEN, "The key has a claim that can't be read."
            )
        if existing.fingerprint != record.fingerprint:
            raise RejectionError(Code.KEY_REUSED, "The key came with another request.")
        if not existing.is_released:
            sentence = f"A request with this key was sent by {existing.owner}."
            raise RejectionError(Code.KEY_TAKEN, sentence)


def make_claim_path(key: str) -> str:
    """Return the store path of a key's claim."""
    return CLAIMS_PREFIX + xxhash.xxh3_128_hexdigest(key.encode())


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Return a stored claim; None if it can't be decoded."""
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except DECODE_ERRORS:
        return None


def _get_claim_key(call: Call) -> str | None:
    """Return the key to claim, scoped to its client account; None if there is none."""
    metadata = call.metadata
    if call.admission.route.repeat_rule is not RepeatRule.AT_MOST_ONCE:
        return None
    if not isinstance(metadata, ContractRequestMetadata) or not metadata.key:
        return None
    account = call.admission.account
    return f"{'' if account is None else account.id}/{metadata.key}"


def _may_claim_exist(response: StoreResponse) -> bool:
    """Return whether the claim may exist after a response without its value."""
    if isinstance(response, StoreFailure):
        return response.may_have_applied
    return isinstance(response, StoreConflict)


def _encode(record: ClaimRecord) -> bytes:
    return msgspec.json.encode(record)
