"""Small site with few slots, whose emulation is fast."""

from __future__ import annotations

from dataclasses import replace

from emulator import EngineModel, Kind, ServiceModel, Site
from fireflyquay.world import RepeatRule

AT_MOST_ONCE, IDEMPOTENT = RepeatRule.AT_MOST_ONCE, RepeatRule.IDEMPOTENT
RESUMABLE = RepeatRule.RESUMABLE

KINDS = (
    Kind("draft", "llm", AT_MOST_ONCE, 3.0, 0, 0.8, 0.3, 8, 8, 2.4, 1500, 60, 20),
    Kind("ask", "llm", RESUMABLE, 5.0, 1, 0.4, 0.3, 6, 1.5, 0.5, 500, 60, 12),
    Kind("label", "llm", RESUMABLE, 6.0, 2, 0.4, 0.3, 3, 0.4, 0.1, 400, 60, 3),
    Kind("book", "app", AT_MOST_ONCE, 5.0, 0, 0.3, 0, 2, 0.3, 0.1, work=0.05),
    Kind("look", "app", IDEMPOTENT, 4.0, 1, 0.3, 0, 2, 0.3, 0.1, work=0.05),
)


def make_site(vms: int = 5, load: float = 1.0, **changes: object) -> Site:
    """Return the small site; ``load`` is a factor on the request rates."""
    site = Site(
        "small",
        KINDS,
        {"llm": EngineModel(3, 4, 0.004, 0.0003, 60_000, 512, 4, 200_000, spread=1.5)},
        {"app": ServiceModel(2, 4)},
        vms=vms,
        load=load,
    )
    return replace(site, **changes)
