"""Exceptions that decoding untrusted bytes may raise."""

from __future__ import annotations

import msgspec

# Schema mismatch, invalid UTF-8, or nesting that is too deep.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
