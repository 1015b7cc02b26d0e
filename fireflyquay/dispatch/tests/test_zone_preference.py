"""Tests of when requests leave their availability zone, and when they stay."""

import random
from functools import cache

import pytest

from fireflyquay.dispatch import ZoneSettings

from .._backend_load import BackendLoad
from .._placement import Placement, PlacementSettings
from .._slot_queue import QueuedRequest
from .._zone_preference import DepartureCause
from .builders import make_backend_entry, make_request
from .zone_load import ZONES, ZONES_WITH_COSTS, Demand, ZoneReplay

SEEDS = (1, 2)
SECONDS = 6.0
# Share of requests on time by which replays of the same seed differ at overload, if
# only the random numbers of the scheduler do.
SEED_NOISE = 0.01


def make_even_demand(load, seconds=SECONDS):
    return tuple(Demand(zone, 0.0, seconds, load) for zone in ZONES)


NORMAL = make_even_demand(0.6)
SHORT_FOR_LONG = (
    Demand("a", 0.0, SECONDS, 1.4),
    Demand("b", 0.0, SECONDS, 0.5),
    Demand("c", 0.0, SECONDS, 0.5),
)
SHORT_FOR_A_SECOND = (*NORMAL, Demand("a", 2.0, 3.0, 1.0))
SHORT_BY_TURNS = (
    *make_even_demand(0.5),
    *(Demand(ZONES[it % 3], float(it), it + 1.0, 0.9) for it in range(6)),
)
ALL_SHORT = make_even_demand(1.3)


def state_nothing(engine, at):
    return None


@cache
def replay(demands, zones=ZONES_WITH_COSTS, seed=1, objective_share=1.0, lost=None):
    """Return the share of requests on time, and the replay."""
    run = ZoneReplay(
        state_nothing,
        seed,
        seconds=SECONDS,
        objective_share=objective_share,
        zones=zones,
        demands=demands,
        lost=lost,
    )
    return run.run(), run


@pytest.mark.parametrize("objective_share", [1.0, 0.4])
@pytest.mark.parametrize(
    "demands", [NORMAL, SHORT_FOR_LONG, SHORT_FOR_A_SECOND, SHORT_BY_TURNS, ALL_SHORT]
)
def test_costs_serve_nobody_worse(demands, objective_share):
    shares = without = 0.0
    for seed in SEEDS:
        shares += replay(demands, ZONES_WITH_COSTS, seed, objective_share)[0]
        without += replay(demands, ZoneSettings(), seed, objective_share)[0]
    assert shares > without - SEED_NOISE * len(SEEDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_nearly_no_request_leaves_its_zone_at_normal_load(seed):
    assert replay(NORMAL, seed=seed)[1].compute_outside_share() < 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_that_is_short_for_long_sends_away_what_it_lacks(seed):
    run = replay(SHORT_FOR_LONG, seed=seed)[1]
    # At 1.4 times its capacity, 0.29 of the requests have no slot in their zone.
    assert 0.1 < run.compute_outside_share("a", 1.0, SECONDS) < 0.45
    assert run.compute_outside_share("b") < 0.02
    assert run.compute_outside_share("c") < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_stay_again_after_a_zone_was_short_for_a_second(seed):
    run = replay(SHORT_FOR_A_SECOND, seed=seed)[1]
    assert run.compute_outside_share("a", 2.0, 3.0) > 0.1
    assert run.compute_outside_share("a", 3.5, SECONDS) < 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_zones_that_are_short_by_turns_do_not_exchange_their_requests(seed):
    run = replay(SHORT_BY_TURNS, seed=seed)[1]
    # The first half of a turn holds what the one before has left.
    shares = [
        run.compute_outside_share(zone, turn + 0.5, turn + 1.0)
        for turn in range(6)
        for zone in ZONES
        if zone != ZONES[turn % 3]
    ]
    assert max(shares) < 0.1
    assert sum(shares) / len(shares) < 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_that_comes_back_gets_its_requests_again(seed):
    lost = ("a", 2.0, 4.0)
    on_time, run = replay(make_even_demand(0.5), seed=seed, lost=lost)
    assert run.compute_outside_share("a", 2.0, 4.0) == 1.0
    assert run.compute_outside_share("a", 4.5, SECONDS) < 0.02
    assert on_time > 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_fewer_requests_leave_when_all_zones_are_short(seed):
    outside = replay(ALL_SHORT, seed=seed)[1].compute_outside_share()
    without = replay(ALL_SHORT, ZoneSettings(), seed)[1].compute_outside_share()
    assert outside < 0.75 * without


class PlacementCase:
    """Place requests of zone a on a server in each of two zones."""

    def __init__(self, settings=ZONES_WITH_COSTS):
        self.own = BackendLoad(make_backend_entry("own", zone="a"))
        self.other = BackendLoad(make_backend_entry("other", zone="b"))
        self.all_loads = [self.own, self.other]
        self.placement = Placement(
            PlacementSettings(zones=settings),
            random.Random(1),
            lambda service: self.all_loads,
        )
        self.changes = []
        self.placement.zones.on_change = lambda *change: self.changes.append(change)

    def place(self, loads, number=1, now=10.0, queued_at=10.0, **overrides):
        request = make_request(number, **overrides)
        item = QueuedRequest(request, queued_at, queued_at + 2.0, queued_at + 1.0)
        return self.placement.choose(loads, item, now)

    def slow_own(self, seconds):
        """Delay the next first output of the own server."""
        self.own.prefill_ends_at = 10.0 + seconds


def test_zone_breaks_ties_only_without_costs():
    case = PlacementCase(ZoneSettings())
    assert case.place(case.all_loads) is case.own
    case.slow_own(0.002)
    assert case.place(case.all_loads) is case.other
    assert case.place([case.other]) is case.other


def test_acceptable_slot_in_the_zone_is_left_only_for_more_than_the_margin():
    case = PlacementCase()
    case.slow_own(0.2)
    assert case.place(case.all_loads) is case.own
    case.slow_own(0.3)
    assert case.place(case.all_loads) is case.other
    assert case.placement.zones.departures == {DepartureCause.GAIN: 1}


def test_large_request_stays_for_a_gain_for_which_a_small_one_leaves():
    case = PlacementCase()
    case.slow_own(0.3)
    assert case.place(case.all_loads, body_bytes=1_000) is case.other
    assert case.place(case.all_loads, body_bytes=2_000_000) is case.own


def test_one_request_waits_until_the_zone_is_short():
    case = PlacementCase()
    assert case.place([case.other], 1, 10.0) is None
    assert case.place([case.other], 2, 10.0) is case.other
    assert case.place([case.other], 1, 10.04) is None
    assert case.changes == []
    assert case.place([case.other], 1, 10.06) is case.other
    assert case.place([case.other], 3, 10.07, 10.07) is case.other
    assert [it[-1] for it in case.changes] == [True]
    assert case.place([case.own, case.other], 4, 10.08, 10.08) is case.own
    assert [it[-1] for it in case.changes] == [True, False]


def test_request_with_no_time_to_wait_leaves_at_once():
    case = PlacementCase()
    assert case.place([case.other], seconds_to_objective=0.07) is case.other
    assert case.placement.zones.departures == {DepartureCause.URGENT: 1}


def test_request_of_a_zone_without_servers_leaves_at_once():
    case = PlacementCase()
    case.all_loads = [case.other]
    assert case.place([case.other]) is case.other
    case.all_loads = [case.own, case.other]
    case.own.pause(20.0)
    assert case.place([case.other]) is case.other
    assert case.placement.zones.departures == {DepartureCause.NO_SERVER: 2}


def test_way_to_another_zone_counts_in_the_objective():
    case = PlacementCase(ZoneSettings(round_trip=0.5))
    case.slow_own(0.3)
    request = {"seconds_to_objective": 0.4, "latency_objective": 0.4}
    assert case.place(case.all_loads, **request) is case.own
