"""Checks of TOML files against dataclasses, with every fault in one go."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import inspect

from fireflyquay.world import Code, FireflyquayError

T = TypeVar("T")
HIDDEN = "(hidden)"
MAX_SHOWN = 60
_PLAIN_NAMES = {
    inspect.StrType: "a string",
    inspect.IntType: "a whole number",
    inspect.FloatType: "a number",
    inspect.BoolType: "true or false",
}


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Describe one fault of a settings file."""

    # Path of the key, such as "kinds[2].deadline".
    path: str
    # The value as found, shortened; empty when the key is missing.
    value: str
    # What is allowed there.
    allowed: str
    sentence: str


def parse_document(
    text: str, target: type[T]
) -> tuple[T | None, tuple[SettingsFault, ...]]:
    """Decode TOML text, or return every fault in it."""
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        sentence = f"The text is not valid TOML: {error}."
        return None, (SettingsFault("", "", "valid TOML", sentence),)
    faults = tuple(_check_value("", document, inspect.type_info(target)))
    if faults:
        return None, faults
    return msgspec.convert(document, target), ()


def make_fault(path: str, value: object, allowed: str, problem: str) -> SettingsFault:
    """Build a fault whose sentence names path, value and what is allowed."""
    shown = _show(path, value)
    sentence = f"{path} {problem} ({shown}); allowed: {allowed}."
    return SettingsFault(path, shown, allowed, sentence)


def read_text(path: str | Path, code: Code) -> str:
    """Read a text file; raise the code when it can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise FireflyquayError(code, f"Cannot read {path}: {error}.") from error


def join_faults(faults: tuple[SettingsFault, ...]) -> str:
    """Write all faults as one text."""
    return "\n".join(fault.sentence for fault in faults)


def _check_value(path: str, value: Any, kind: inspect.Type) -> list[SettingsFault]:
    if isinstance(kind, inspect.DataclassType):
        return _check_table(path, value, kind)
    if isinstance(kind, inspect.DictType):
        return _check_dict(path, value, kind)
    if isinstance(kind, inspect.VarTupleType):
        return _check_list(path, value, kind)
    return _check_leaf(path, value, kind)


def _check_table(
    path: str, value: Any, kind: inspect.DataclassType
) -> list[SettingsFault]:
    if not isinstance(value, dict):
        return [make_fault(path, value, "a table", "has the wrong type")]
    fields = {field.encode_name: field for field in kind.fields}
    faults = []
    for name in value.keys() - fields.keys():
        allowed = "one of " + ", ".join(fields)
        faults.append(make_fault(_join(path, name), value[name], allowed, "is unknown"))
    for name, field in fields.items():
        child = _join(path, name)
        if name in value:
            faults.extend(_check_value(child, value[name], field.type))
        elif field.required:
            faults.append(_make_missing(child, field.type))
    return sorted(faults, key=lambda fault: fault.path)


def _check_dict(path: str, value: Any, kind: inspect.DictType) -> list[SettingsFault]:
    if not isinstance(value, dict):
        return [make_fault(path, value, "a table", "has the wrong type")]
    faults = []
    for name, item in value.items():
        faults.extend(_check_value(_join(path, name), item, kind.value_type))
    return faults


def _check_list(
    path: str, value: Any, kind: inspect.VarTupleType
) -> list[SettingsFault]:
    if not isinstance(value, list):
        return [make_fault(path, value, "an array", "has the wrong type")]
    faults = []
    for place, item in enumerate(value):
        faults.extend(_check_value(f"{path}[{place}]", item, kind.item_type))
    if len(value) < (kind.min_length or 0):
        faults.append(make_fault(path, value, "at least one entry", "is too short"))
    return faults


def _check_leaf(path: str, value: Any, kind: inspect.Type) -> list[SettingsFault]:
    allowed = describe_type(kind)
    if not _is_convertible(value, kind):
        return [make_fault(path, value, allowed, "is not allowed")]
    return []


def _is_convertible(value: Any, kind: inspect.Type) -> bool:
    try:
        msgspec.convert(value, _to_annotation(kind))
    except (msgspec.ValidationError, OverflowError):
        return False
    return True


def _to_annotation(kind: inspect.Type) -> Any:
    if isinstance(kind, inspect.EnumType):
        return kind.cls
    if isinstance(kind, inspect.IntType):
        return _with_bounds(int, ge=kind.ge, le=kind.le)
    if isinstance(kind, inspect.FloatType):
        return _with_bounds(float, ge=kind.ge, le=kind.le, gt=kind.gt)
    if isinstance(kind, inspect.StrType):
        return _with_bounds(str, pattern=kind.pattern, max_length=kind.max_length)
    return bool


def _with_bounds(base: type, **bounds: Any) -> Any:
    return Annotated[base, msgspec.Meta(**bounds)]


def describe_type(kind: inspect.Type) -> str:
    """Say in words what a value may be."""
    if isinstance(kind, inspect.EnumType):
        return "one of " + ", ".join(str(item.value) for item in kind.cls)
    if isinstance(kind, inspect.DataclassType | inspect.DictType):
        return "a table"
    if isinstance(kind, inspect.VarTupleType):
        return "an array of tables"
    parts = [_PLAIN_NAMES.get(type(kind), "a value")]
    for name, word in (("gt", "above"), ("ge", "at least"), ("le", "at most")):
        bound = getattr(kind, name, None)
        if bound is not None:
            parts.append(f"{word} {bound:g}")
    if getattr(kind, "pattern", None):
        parts.append(f"matching {kind.pattern}")
    return " ".join(parts)


def _make_missing(path: str, kind: inspect.Type) -> SettingsFault:
    allowed = describe_type(kind)
    return SettingsFault(path, "", allowed, f"{path} is missing; allowed: {allowed}.")


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _show(path: str, value: object) -> str:
    if path.endswith("token"):
        return HIDDEN
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        return "a value too long to show"
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."
