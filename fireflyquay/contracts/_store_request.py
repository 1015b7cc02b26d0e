"""Requests to the platform's object store, and its responses."""

from __future__ import annotations

from dataclasses import dataclass


class StoreRequest:
    """Represent a request to the store."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StoreRead(StoreRequest):
    """Read one object."""

    path: str


@dataclass(frozen=True, slots=True)
class StoreWrite(StoreRequest):
    """Write one object if it has the expected version."""

    path: str
    value: bytes
    # Version that the object must have; 0 if it must not exist.
    expected_version: int


@dataclass(frozen=True, slots=True)
class StoreList(StoreRequest):
    """Read all objects whose paths start with a prefix."""

    prefix: str


class StoreResponse:
    """Represent a response of the store."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StoredValue(StoreResponse):
    """Hold one object as it was read or written."""

    path: str
    value: bytes
    # Number of writes to this object, from 1.
    version: int
    # Revision of the whole store at the object's last write.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreListResult(StoreResponse):
    """Hold the listed objects, and the store's revision at which they were listed."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreNotFound(StoreResponse):
    """Report that the object does not exist."""

    path: str


@dataclass(frozen=True, slots=True)
class StoreConflict(StoreResponse):
    """Report that nothing was written, as the object has another version."""

    path: str
    # Current version of the object; 0 if it does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailure(StoreResponse):
    """Report that the request failed or timed out."""

    # Path of the object, or prefix of a list request.
    path: str
    # Whether a write may have been applied.
    may_have_applied: bool
