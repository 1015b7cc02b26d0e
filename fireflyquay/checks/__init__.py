"""Validation of operators' TOML files."""

from ._document import (
    SettingsFault,
    describe_type,
    join_faults,
    make_fault,
    parse_document,
    read_text,
)

__all__ = [
    "SettingsFault",
    "describe_type",
    "join_faults",
    "make_fault",
    "parse_document",
    "read_text",
]
