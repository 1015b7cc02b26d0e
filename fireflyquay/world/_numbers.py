"""Whole numbers in the text of others."""

from __future__ import annotations

# Bound of counts that are stored or sent: doubles are exact below it.
MAX_COUNT = 2**53
# Highest port of TCP.
MAX_PORT = 65535
# Digits of the bound; Python refuses to read numbers of thousands of them.
_MAX_DIGITS = len(str(MAX_COUNT))


def parse_count(text: str, maximum: int = MAX_COUNT) -> int | None:
    """Return a whole number from 0, None if the text is none or above the bound."""
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    count = int(text)
    return count if count <= maximum else None
