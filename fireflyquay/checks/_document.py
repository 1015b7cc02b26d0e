"""Validation of TOML documents against dataclasses, with all faults at once."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import inspect

from fireflyquay.world import Code, FireflyquayError

T = TypeVar("T")
REDACTED_VALUE = "(hidden)"
MAX_VALUE_CHARS = 60
_TYPE_DESCRIPTIONS = {
    inspect.StrType: "a string",
    inspect.IntType: "an integer",
    inspect.FloatType: "a number",
    inspect.BoolType: "true or false",
}


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Describe an invalid or missing value of a TOML document."""

    # Path of the key, such as "kinds[2].deadline".
    path: str
    # Shortened text of the value; empty if the key is missing.
    value: str
    # Description of the allowed values.
    allowed: str
    sentence: str


def parse_document(
    text: str, document_type: type[T]
) -> tuple[T | None, tuple[SettingsFault, ...]]:
    """Decode TOML text; return the document and no faults, or None and all faults."""
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        sentence = f"The text is not valid TOML: {error}."
        return None, (SettingsFault("", "", "valid TOML", sentence),)
    faults = tuple(_check_value("", document, inspect.type_info(document_type)))
    if faults:
        return None, faults
    return msgspec.convert(document, document_type), ()


def make_fault(path: str, value: object, allowed: str, problem: str) -> SettingsFault:
    """Return a fault whose sentence has the path, the value and the allowed values."""
    value_text = _format_value(path, value)
    sentence = f"{path} {problem} ({value_text}); allowed: {allowed}."
    return SettingsFault(path, value_text, allowed, sentence)


def read_text(path: str | Path, error_code: Code) -> str:
    """Return a file's text; raise FireflyquayError if it can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise FireflyquayError(error_code, f"Cannot read {path}: {error}.") from error


def join_faults(faults: tuple[SettingsFault, ...]) -> str:
    """Return the sentences of all faults, one per line."""
    return "\n".join(fault.sentence for fault in faults)


def _check_value(
    path: str, value: Any, expected_type: inspect.Type
) -> list[SettingsFault]:
    if isinstance(expected_type, inspect.DataclassType):
        return _check_table(path, value, expected_type)
    if isinstance(expected_type, inspect.UnionType):
        # TOML has no null: what is given is of the type besides None.
        return _check_value(path, value, _get_given_type(expected_type))
    if isinstance(expected_type, inspect.DictType):
        return _check_dict(path, value, expected_type)
    if isinstance(expected_type, inspect.VarTupleType):
        return _check_list(path, value, expected_type)
    return _check_scalar(path, value, expected_type)


def _check_table(
    path: str, value: Any, expected_type: inspect.DataclassType
) -> list[SettingsFault]:
    if not isinstance(value, dict):
        return [make_fault(path, value, "a table", "has the wrong type")]
    fields = {field.encode_name: field for field in expected_type.fields}
    faults = []
    for name in value.keys() - fields.keys():
        allowed = "one of " + ", ".join(fields)
        faults.append(
            make_fault(
                _join_path(path, name), value[name], allowed, "is not a known key"
            )
        )
    for name, field in fields.items():
        child_path = _join_path(path, name)
        if name in value:
            faults.extend(_check_value(child_path, value[name], field.type))
        elif field.required:
            faults.append(_make_missing_fault(child_path, field.type))
    return sorted(faults, key=lambda fault: fault.path)


def _get_given_type(expected_type: inspect.UnionType) -> inspect.Type:
    """Return the first type of a union that is not None."""
    return next(
        it for it in expected_type.types if not isinstance(it, inspect.NoneType)
    )


def _check_dict(
    path: str, value: Any, expected_type: inspect.DictType
) -> list[SettingsFault]:
    if not isinstance(value, dict):
        return [make_fault(path, value, "a table", "has the wrong type")]
    faults = []
    for name, item in value.items():
        faults.extend(
            _check_value(_join_path(path, name), item, expected_type.value_type)
        )
    return faults


def _check_list(
    path: str, value: Any, expected_type: inspect.VarTupleType
) -> list[SettingsFault]:
    if not isinstance(value, list):
        return [make_fault(path, value, "an array", "has the wrong type")]
    faults = []
    for index, item in enumerate(value):
        faults.extend(_check_value(f"{path}[{index}]", item, expected_type.item_type))
    if len(value) < (expected_type.min_length or 0):
        faults.append(make_fault(path, value, "at least one entry", "is too short"))
    return faults


def _check_scalar(
    path: str, value: Any, expected_type: inspect.Type
) -> list[SettingsFault]:
    allowed = describe_type(expected_type)
    if not _is_convertible(value, expected_type):
        return [make_fault(path, value, allowed, "has an invalid value")]
    return []


def _is_convertible(value: Any, expected_type: inspect.Type) -> bool:
    try:
        msgspec.convert(value, _to_annotation(expected_type))
    except (msgspec.ValidationError, OverflowError):
        return False
    return True


def _to_annotation(expected_type: inspect.Type) -> Any:
    if isinstance(expected_type, inspect.EnumType):
        return expected_type.cls
    if isinstance(expected_type, inspect.IntType):
        return _with_bounds(int, ge=expected_type.ge, le=expected_type.le)
    if isinstance(expected_type, inspect.FloatType):
        return _with_bounds(
            float, ge=expected_type.ge, le=expected_type.le, gt=expected_type.gt
        )
    if isinstance(expected_type, inspect.StrType):
        return _with_bounds(
            str, pattern=expected_type.pattern, max_length=expected_type.max_length
        )
    return bool


def _with_bounds(base: type, **bounds: Any) -> Any:
    return Annotated[base, msgspec.Meta(**bounds)]


def describe_type(expected_type: inspect.Type) -> str:
    """Return a description of the allowed values of a type."""
    if isinstance(expected_type, inspect.EnumType):
        return "one of " + ", ".join(str(item.value) for item in expected_type.cls)
    if isinstance(expected_type, inspect.DataclassType | inspect.DictType):
        return "a table"
    if isinstance(expected_type, inspect.VarTupleType):
        return "an array"
    parts = [_TYPE_DESCRIPTIONS.get(type(expected_type), "a value")]
    for name, word in (("gt", "above"), ("ge", "at least"), ("le", "at most")):
        bound = getattr(expected_type, name, None)
        if bound is not None:
            parts.append(f"{word} {bound:g}")
    if getattr(expected_type, "pattern", None):
        parts.append(f"matching {expected_type.pattern}")
    return ", ".join(parts)


def _make_missing_fault(path: str, expected_type: inspect.Type) -> SettingsFault:
    allowed = describe_type(expected_type)
    return SettingsFault(path, "", allowed, f"{path} is missing; allowed: {allowed}.")


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _format_value(path: str, value: object) -> str:
    # Tokens are secrets.
    if path.endswith("token"):
        return REDACTED_VALUE
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        return "a value that can't be shown"
    return text if len(text) <= MAX_VALUE_CHARS else text[:MAX_VALUE_CHARS] + "..."
