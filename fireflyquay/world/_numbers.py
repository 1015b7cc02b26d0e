"""Parsing of whole numbers in untrusted text."""

from __future__ import annotations

# Limit on counts that are stored or sent; doubles represent integers up to it exactly.
MAX_COUNT = 2**53
# Highest TCP port.
MAX_PORT = 65535
# Longer texts are rejected unparsed: int() raises ValueError on thousands of digits.
_MAX_DIGITS = len(str(MAX_COUNT))


def parse_count(text: str, maximum: int = MAX_COUNT) -> int | None:
    """Return the integer from 0 to maximum that the text holds, otherwise None."""
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    count = int(text)
    return count if count <= maximum else None
