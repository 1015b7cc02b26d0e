"""Limits of integers, and parsing of integers in untrusted text."""

from __future__ import annotations

# Largest integer that is stored or sent; doubles hold all integers up to it exactly.
MAX_COUNT = 2**53
MAX_PORT = 65535
# Longer texts are rejected unparsed: int() raises ValueError on thousands of digits.
_MAX_DIGITS = len(str(MAX_COUNT))


def parse_count(text: str, maximum: int = MAX_COUNT) -> int | None:
    """Return a decimal text as an integer, or None if not from 0 to maximum."""
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    count = int(text)
    return count if count <= maximum else None
