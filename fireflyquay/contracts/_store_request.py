"""Calls to the platform's object API and its answers, as plain values."""

from __future__ import annotations

from dataclasses import dataclass


class StoreRequest:
    """Serve as the base of calls to the store."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StoreRead(StoreRequest):
    """Read one object."""

    path: str


@dataclass(frozen=True, slots=True)
class StoreWrite(StoreRequest):
    """Write one object if its version is still the expected one."""

    path: str
    value: bytes
    # Version that the object must have; 0 creates it.
    expected_version: int


@dataclass(frozen=True, slots=True)
class StoreList(StoreRequest):
    """Read all objects whose path starts with the prefix."""

    prefix: str


class StoreResponse:
    """Serve as the base of answers from the store."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StoredValue(StoreResponse):
    """Hold one object as read or as just written."""

    path: str
    value: bytes
    # Counts writes of this object from 1.
    version: int
    # Store-wide counter at the object's last write.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreListing(StoreResponse):
    """Hold the objects of a list or watch, and the revision they reflect."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreNotFound(StoreResponse):
    """Tell that the object does not exist."""

    path: str


@dataclass(frozen=True, slots=True)
class StoreConflict(StoreResponse):
    """Tell that the object's version is not the expected one; nothing changed."""

    path: str
    # Version that the object has; 0 when it does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailure(StoreResponse):
    """Tell that no answer came."""

    path: str
    # Whether a write may have taken effect all the same.
    may_have_applied: bool
