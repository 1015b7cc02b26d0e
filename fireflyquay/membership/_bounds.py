"""Bounds of numbers in messages, checked when a message is decoded."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from fireflyquay.world import MAX_COUNT

# A whole number from 0.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
