"""Schema of all that VMs send each other, as plain data that can be recorded.

``production_messages.json`` holds that of the commit that ``deploy/system.toml`` names
as ``production``; ``python -m tests.message_schema`` prints that of a checkout.
"""

from __future__ import annotations

import json
import sys
from enum import Enum
from typing import Any

from msgspec import inspect

from fireflyquay.dispatch import ControlMessage
from fireflyquay.links import TunnelRequest, TunnelState
from fireflyquay.links._peer import Envelope
from fireflyquay.world import VmListing

# The roots: messages, the frame that holds them, the first frame of a tunnel, and the
# registration of a VM, which others read from the store.
ROOTS = (*ControlMessage.__args__, TunnelRequest, TunnelState, Envelope, VmListing)


def record_schema() -> dict[str, Any]:
    """Return the definitions of all types that are sent, by their names."""
    definitions: dict[str, Any] = {}
    for root in ROOTS:
        _describe(inspect.type_info(root), definitions)
    return dict(sorted(definitions.items()))


def _describe(kind: inspect.Type, definitions: dict[str, Any]) -> str:
    """Return the name of a type after adding the definitions that it needs."""
    match kind:
        case inspect.StructType() | inspect.DataclassType():
            name = kind.cls.__name__
            if name not in definitions:
                definitions[name] = {}
                definitions[name] |= _define(kind, definitions)
            return name
        case inspect.EnumType():
            definitions[kind.cls.__name__] = _list_values(kind.cls)
            return kind.cls.__name__
        case inspect.UnionType():
            return " | ".join(sorted(_describe(it, definitions) for it in kind.types))
        case inspect.VarTupleType() | inspect.FrozenSetType():
            return f"[{_describe(kind.item_type, definitions)}]"
        case inspect.TupleType():
            items = ", ".join(_describe(it, definitions) for it in kind.item_types)
            return f"({items})"
        case inspect.DictType():
            return f"{{{_describe(kind.value_type, definitions)}}}"
        case inspect.IntType(ge=ge, le=le):
            return f"int({ge}, {le})"
    return type(kind).__name__


def _define(
    kind: inspect.StructType | inspect.DataclassType, definitions: dict[str, Any]
) -> dict[str, Any]:
    fields = [
        {
            "name": field.encode_name,
            "type": _describe(field.type, definitions),
            "required": field.required,
        }
        for field in kind.fields
    ]
    is_array = isinstance(kind, inspect.StructType) and kind.array_like
    tag = kind.tag if isinstance(kind, inspect.StructType) else None
    return {"is_array": is_array, "tag": tag, "fields": fields}


def _list_values(enum: type[Enum]) -> dict[str, Any]:
    return {"values": sorted(str(item.value) for item in enum)}


if __name__ == "__main__":
    json.dump(record_schema(), sys.stdout, indent=1)
