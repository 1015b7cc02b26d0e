"""Integer type of message fields; decoding rejects values out of range."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from fireflyquay.world import MAX_COUNT

NonNegativeInt = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
