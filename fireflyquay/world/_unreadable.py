"""What decoding the bytes of others may raise."""

from __future__ import annotations

import msgspec

# Of the wrong shape, not text, or nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
