"""Validation of request keys."""

from __future__ import annotations

import re

_REQUEST_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")


def is_valid_request_key(text: str) -> bool:
    """Return whether a key is 1 to 200 printable ASCII characters other than space."""
    return _REQUEST_KEY_PATTERN.fullmatch(text) is not None
