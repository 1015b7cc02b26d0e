"""Requests to the platform's object store, and its responses."""

from __future__ import annotations

from dataclasses import dataclass


class StoreRequest:
    """Base of requests to the store."""

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
    """Base of responses from the store."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StoredValue(StoreResponse):
    """One object as it was read or written."""

    path: str
    value: bytes
    # Number of writes to this object, from 1.
    version: int
    # Revision of the whole store at the object's last write.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreListResult(StoreResponse):
    """Objects of a list or watch response, and the store revision that they reflect."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreNotFound(StoreResponse):
    """The object does not exist."""

    path: str


@dataclass(frozen=True, slots=True)
class StoreConflict(StoreResponse):
    """The object doesn't have the expected version; nothing was written."""

    path: str
    # Current version of the object; 0 if it does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailure(StoreResponse):
    """The request failed or timed out."""

    path: str
    # Whether a write may have been applied.
    may_have_applied: bool
