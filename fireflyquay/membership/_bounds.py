"""Bounds of numbers in messages, checked when a message is decoded."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

# Bound of counters in messages: doubles are exact below it.
MAX_COUNT = 2**53

# A whole number from 0.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
