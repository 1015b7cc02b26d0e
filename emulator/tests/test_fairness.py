"""Tests that a kind's largest requests are served under the worst load."""

from __future__ import annotations

from dataclasses import replace

import pytest

from emulator import emulate
from emulator._sites import find_site

# Heavy-tailed, as the traffic of the deployments that refused large requests.
SIZE_DEVIATION = 1.1
TRAFFIC_SECONDS = 10.0
# Requests as a multiple of an ordinary day, besides the bursts of a day of high load.
LOAD = 1.6
# The platform's bound: a kind's largest tenth of requests, and the fifth below it, are
# served at least half as often as all of the kind.
MIN_SHARE_OF_KIND = 0.5


def compute_served_shares(history, kind):
    """Return the served shares of a kind, its largest tenth and the fifth below."""
    requests = sorted(
        (it for it in history.requests if it.kind == kind),
        key=lambda it: it.prompt_tokens,
    )
    tenth = len(requests) // 10
    return [
        sum(it.is_served for it in part) / len(part)
        for part in (requests, requests[-tenth:], requests[-3 * tenth : -tenth])
    ]


@pytest.mark.parametrize("seed", [1, 2])
def test_largest_requests_are_served_half_as_often_as_their_kind(seed):
    site = replace(
        find_site("brolga-grown", "scale").shrink(6),
        size_deviation=SIZE_DEVIATION,
        load=LOAD,
    )
    history = emulate(site, TRAFFIC_SECONDS, seed)
    for kind in site.kinds:
        if not kind.is_stream:
            continue
        of_kind, of_tenth, of_fifth = compute_served_shares(history, kind.name)
        assert of_tenth >= MIN_SHARE_OF_KIND * of_kind, (kind.name, of_tenth, of_kind)
        assert of_fifth >= MIN_SHARE_OF_KIND * of_kind, (kind.name, of_fifth, of_kind)
