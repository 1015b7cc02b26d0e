"""Ways of waiting, refusing and placing that experiments compare."""

from __future__ import annotations

from dataclasses import dataclass, replace

from fireflyquay.dispatch import GrantorSettings

BASE = GrantorSettings()


@dataclass(frozen=True, slots=True)
class Way:
    """Name settings of the grantor and say what they try."""

    name: str
    what: str
    settings: GrantorSettings


WAYS = (
    Way("today", "what the daemon does", BASE),
    Way("window-0.7", "fewer runs than slots", replace(BASE, window=0.7)),
    Way("window-1.5", "half as many runs again", replace(BASE, window=1.5)),
    Way("no-hope", "any open server, late or not", replace(BASE, hope_share=0.0)),
    Way("patient", "wait to the end", replace(BASE, end_share=0.9, wait_share=0.95)),
    Way("hasty", "refuse early", replace(BASE, end_share=0.1, wait_share=0.3)),
    Way("no-forecast", "no refusal on arrival", replace(BASE, forecast_share=1e9)),
    Way("strict", "ranks may starve", replace(BASE, least_share=0.0)),
    Way("first-output", "place by first output", replace(BASE, run_weight=0.0)),
)


def find_way(name: str) -> Way:
    """Return a way by its name; raise KeyError for an unknown one."""
    return {way.name: way for way in WAYS}[name]
