"""Decoding of JSON whose values other programs may write differently."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON; take null as absent, and whole floats as integers if needed.

    One odd value must not keep all the others out. Raises msgspec.ValidationError, with
    its place, for a value that is still invalid.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError:
        return msgspec.convert(_normalize(msgspec.json.decode(data)), kind)


def _normalize(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _normalize(it) for k, it in value.items() if it is not None}
    if isinstance(value, list):
        return [_normalize(it) for it in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
