"""Roll-outs of good and bad versions, beside faults, replayed in virtual time."""

import math
import random
from dataclasses import replace

import pytest

from fireflyquay.dispatch import (
    ProgressPart,
    ReserveExposure,
    RolloutPhase,
    RolloutProgress,
    Rollouts,
    RunEnded,
    SlotScheduler,
    SlotSchedulerSettings,
    WriteStatus,
)
from fireflyquay.dispatch._exposure_budget import ExposureBudget, replace_part
from fireflyquay.dispatch._rollout import MAX_PROGRESS_AGE_SECONDS
from fireflyquay.dispatch._rollout_evidence import (
    MIN_TIMES,
    SWITCH_SLOW_EXCESS,
    Finding,
    Response,
    RolloutEvidence,
    TimeKind,
)
from fireflyquay.world import RolloutOrder, RolloutState

from .builders import OWN_VM, SERVICE, make_backend_entry, make_request
from .rollout_fleet import (
    BOUNDS,
    COUNTED_BAD_RESPONSES,
    NEW,
    OLD,
    ROUTES,
    THIRD,
    Behavior,
    Replay,
    Scenario,
    make_walk,
)

BAD = Behavior(0.5)
BAD_VERSIONS = {
    "at once": Behavior(1.0),
    "partly": Behavior(0.5),
    "rarely": Behavior(0.12),
    "later": Behavior(0.4, since=10.0),
    "under load": Behavior(0.5, min_runs=3),
    "on one route": Behavior(0.4, route=ROUTES[1]),
    "slow": Behavior(slow_factor=4.0),
    "partly slow": Behavior(slow_factor=4.0, slow_share=0.3),
    "slow under load": Behavior(slow_factor=4.0, min_runs=3),
}
SEEDS = (1, 2)


def check_rolled_back(replay, most_bad=COUNTED_BAD_RESPONSES):
    """Check that the new version was rolled back in time, within its bound."""
    assert replay.new.excess <= 0
    assert replay.state is RolloutState.ROLLED_BACK
    assert replay.store.verdicts == [(NEW, RolloutState.ROLLED_BACK)]
    assert len(replay.new.bad_at) < most_bad
    # All grants stop at the verdict, not only at the time limit.
    assert replay.new.last_exposed_at < replay.new.deadline - 5.0


def check_completed(replay):
    """Check that the new version took over in time, and no run was cut off."""
    assert replay.new.excess <= 0
    assert replay.store.verdicts == [(NEW, RolloutState.COMPLETED)]
    assert replay.new.completed_at < replay.new.deadline
    assert replay.cut_runs == 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", BAD_VERSIONS)
def test_bad_version_is_rolled_back_long_before_its_50th_bad_response(name, seed):
    check_rolled_back(Replay(Scenario(seed, new=BAD_VERSIONS[name])).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_good_version_completes_before_the_time_limit(seed):
    replay = Replay(Scenario(seed)).run()
    check_completed(replay)
    # It was tried until late in the order: a version may become bad.
    assert replay.new.switched_at > replay.ordered_at + 0.5 * replay.scenario.duration


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "behavior", [Behavior(0.7), Behavior(slow_factor=6.0)], ids=["failing", "slow"]
)
def test_one_grey_server_does_not_make_a_good_version_bad(behavior, seed):
    check_completed(Replay(Scenario(seed, grey={"new-0": behavior})).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_crashes_of_servers_do_not_make_a_good_version_bad(seed):
    crashes = tuple((6.0, f"{it}-{n}", 2.0) for it in (OLD, NEW) for n in (0, 1))
    check_completed(Replay(Scenario(seed, crashes=crashes)).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_bad_old_version_does_not_hold_back_a_good_new_one(seed):
    check_completed(Replay(Scenario(seed, old=Behavior(0.2))).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_failures_that_both_versions_have_prove_nothing(seed):
    # A fixed figure would take the clients' bad requests for a fault of the version.
    replay = Replay(Scenario(seed, old=Behavior(0.15), new=Behavior(0.15))).run()
    assert replay.state is RolloutState.COMPLETED


@pytest.mark.parametrize("seed", SEEDS)
def test_bursts_do_not_make_a_good_version_bad(seed):
    replay = Replay(Scenario(seed, bursts=((5, 9, 2.0), (14, 17, 2.2)))).run()
    assert replay.state is RolloutState.COMPLETED


@pytest.mark.parametrize("phase", [RolloutPhase.ROLLED_BACK, RolloutPhase.SWITCH])
def test_verdict_outlives_a_coordinator_that_was_killed_while_it_wrote_it(phase):
    scenario = Scenario(new=BAD if phase is RolloutPhase.ROLLED_BACK else Behavior())
    scenario = replace(scenario, phase_kills=(phase, RolloutPhase.COMPLETED))
    replay = Replay(scenario).run()
    assert replay.new.excess <= 0
    # Each phase was written before its consequences.
    assert phase in replay.killed_at_phases
    assert len(replay.killed_at_phases) == 1 + (phase is RolloutPhase.SWITCH)
    assert len(replay.store.verdicts) == 1
    is_bad = phase is RolloutPhase.ROLLED_BACK
    assert replay.state is (
        RolloutState.ROLLED_BACK if is_bad else RolloutState.COMPLETED
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_bound_holds_when_each_reservation_kills_its_coordinator(seed):
    scenario = Scenario(seed, new=Behavior(0.5, since=14.0), reservation_kills=12)
    replay = Replay(scenario).run()
    assert replay.new.excess <= 0
    assert replay.state is RolloutState.ROLLED_BACK


@pytest.mark.parametrize("reach_store", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_bound_holds_while_two_vms_are_cut_off(seed, reach_store):
    scenario = Scenario(
        seed,
        new=Behavior(0.5, since=10.0),
        cuts=((3.0, 20.0, 2),),
        cut_reach_store=reach_store,
    )
    check_rolled_back(Replay(scenario).run())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("outage", [(0.5, 8.0), (2.0, 10.0), (11.0, 19.0)])
def test_bad_version_is_rolled_back_after_an_outage_of_the_store(outage, seed):
    scenario = Scenario(seed, new=Behavior(0.5, since=1.0), outages=(outage,))
    replay = Replay(scenario).run()
    check_rolled_back(replay)
    since, until = (replay.ordered_at + it for it in outage)
    since += MAX_PROGRESS_AGE_SECONDS
    assert not [it for it in replay.new.exposed_at if since < it < until]


def test_good_version_completes_after_an_outage_at_the_end_of_the_trial():
    check_completed(Replay(Scenario(outages=((18.0, 25.0),))).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_bound_holds_after_all_vms_were_killed(seed):
    scenario = Scenario(seed, new=Behavior(0.5, since=9.0), fleet_kills=(3.0, 6.0))
    check_rolled_back(Replay(scenario).run())
    check_completed(Replay(Scenario(seed, fleet_kills=(8.0,))).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_bound_holds_while_answers_of_the_store_are_lost(seed):
    scenario = Scenario(seed, new=Behavior(0.5, since=9.0), lost_answers=0.3)
    replay = Replay(scenario).run()
    assert replay.new.excess <= 0
    assert replay.state is RolloutState.ROLLED_BACK


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_record_is_written_again_by_who_knows_it(seed):
    scenario = Scenario(
        seed, new=Behavior(0.5, since=9.0), changes=((4.0, Replay.lose_progress),)
    )
    check_rolled_back(Replay(scenario).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_slack_is_not_used_again_after_the_history_was_lost(seed):
    scenario = Scenario(
        seed,
        new=Behavior(0.5, since=9.0),
        changes=((4.0, Replay.lose_progress),),
        fleet_kills=(3.99,),
    )
    assert Replay(scenario).run().new.excess <= 0


def test_version_whose_order_was_withdrawn_gets_nothing_more():
    replay = Replay(Scenario(changes=((6.0, Replay.withdraw),))).run(5.0)
    assert replay.store.verdicts == []
    progress = replay.store.progress[SERVICE][0]
    assert progress.phase is RolloutPhase.WITHDRAWN
    assert not replay.running["new-0"]
    assert replay.refused == 0


def test_order_after_a_withdrawal_is_tried_anew():
    changes = ((6.0, Replay.withdraw), (9.0, lambda it: it.order(NEW)))
    check_completed(Replay(Scenario(changes=changes)).run())


@pytest.mark.parametrize("third", [Behavior(), BAD], ids=["good", "bad"])
def test_changed_order_tries_the_new_target_from_the_start(third):
    changes = ((6.0, Replay.order_third),)
    scenario = Scenario(third=third, third_servers=8, changes=changes)
    replay = Replay(scenario).run()
    assert replay.counts[THIRD].excess <= 0
    verdict = RolloutState.ROLLED_BACK if third.is_bad else RolloutState.COMPLETED
    assert replay.store.verdicts == [(THIRD, verdict)]


@pytest.mark.parametrize("kills", [(), (6.01,)], ids=["known", "all killed"])
def test_order_of_the_version_in_use_holds_back_the_one_on_trial(kills):
    # The version in use would otherwise get a budget only, and the untried one all.
    changes = ((6.0, lambda it: it.order(OLD, 20.0)),)
    replay = Replay(Scenario(changes=changes, fleet_kills=kills)).run()
    assert replay.store.verdicts == [(OLD, RolloutState.COMPLETED)]
    assert replay.new.excess <= 0
    assert replay.refused < 100


@pytest.mark.parametrize("count", [0, 2])
def test_target_with_too_few_servers_is_rolled_back_at_the_end(count):
    replay = Replay(Scenario(new_servers=count)).run()
    assert replay.state is RolloutState.ROLLED_BACK
    reason = replay.store.progress[SERVICE][0].reason
    assert "no servers" in reason if count == 0 else "slots for" in reason
    assert replay.refused == 0


def test_order_of_a_service_that_runs_no_other_version_completes_at_once():
    replay = Replay(Scenario(servers=0)).run()
    assert replay.new.completed_at < replay.ordered_at + 2.0


@pytest.mark.parametrize("seed", range(6))
def test_walk_keeps_the_bound_over_the_whole_fleet(seed):
    replay = Replay(make_walk(seed)).run()
    for version in replay.counts.keys() - {OLD}:
        count = replay.counts[version]
        assert count.excess <= 0
        is_bad = replay.behaviors[version].is_bad
        if is_bad and count.rollback_due_at is not None:
            assert count.last_exposed_at <= count.rollback_due_at


def make_rollouts(bounds=BOUNDS):
    rollouts = Rollouts(OWN_VM, bounds)
    old = replace(make_backend_entry("old-0"), version=OLD)
    new = replace(make_backend_entry("new-0"), version=NEW)
    rollouts.set_backends([old])
    return rollouts, old, new


def read_orders(rollouts, orders, now, clears=None):
    clears = rollouts.begin_read() if clears is None else clears
    rollouts.apply_orders(orders, clears, now, now, 1e12 + now * 1000)


def make_order(**overrides):
    return replace(RolloutOrder(SERVICE, NEW, 30.0, 1), **overrides)


def test_without_bounds_all_versions_are_granted():
    rollouts, old, new = make_rollouts(None)
    rollouts.set_backends([old, new])
    assert rollouts.may_grant(old, 0.0)
    assert rollouts.may_grant(new, 0.0)
    assert not rollouts.has_unknown_versions
    assert rollouts.plan(0.0, lambda service, now: {}) == []


def test_new_version_waits_for_a_read_of_the_orders_that_is_sent_later():
    # Its order may be written between a read and its registration.
    rollouts, old, new = make_rollouts()
    read_orders(rollouts, [], 0.0)
    assert rollouts.may_grant(old, 0.0)
    sent_before = rollouts.begin_read()
    rollouts.set_backends([old, new])
    assert rollouts.has_unknown_versions
    read_orders(rollouts, [], 1.0, sent_before)
    assert not rollouts.may_grant(new, 1.0)
    read_orders(rollouts, [], 2.0)
    assert rollouts.may_grant(new, 2.0)


def test_only_version_is_granted_before_the_store_was_ever_read():
    rollouts, old, new = make_rollouts()
    assert rollouts.may_grant(old, 0.0)
    rollouts.set_backends([old, new])
    assert not rollouts.may_grant(old, 0.0)


@pytest.mark.parametrize(
    "order",
    [
        make_order(target=""),
        make_order(duration_seconds=0.0),
        make_order(duration_seconds=math.nan),
        make_order(duration_seconds=math.inf),
    ],
)
def test_odd_order_is_reported_once_and_ignored(order):
    rollouts, old, new = make_rollouts()
    rollouts.set_backends([old, new])
    read_orders(rollouts, [order], 0.0)
    read_orders(rollouts, [order], 1.0)
    assert [it.name for it in rollouts.drain_events()] == ["roll-out unreadable"]
    assert rollouts.may_grant(new, 1.0)


def start_trial(rollouts, old, new):
    """Make a trial whose first block is acknowledged; return its record."""
    rollouts.set_backends([old, new])
    order = make_order(state=RolloutState.ACTIVE, stated_target=NEW)
    read_orders(rollouts, [order], 0.0)
    progress = RolloutProgress(NEW, RolloutPhase.TRIAL, int(1e12))
    rollouts.apply_progress(SERVICE, progress, 7, 0, 0.0, 0.0)
    for number in range(20):
        request = make_request(number, route="r")
        rollouts.record_grant(old, request, 0, 0.1)
        rollouts.record_first_output((OWN_VM, number), 0.2)
    return progress


def test_target_gets_nothing_until_a_reservation_is_acknowledged():
    rollouts, old, new = make_rollouts()
    progress = start_trial(rollouts, old, new)
    assert not rollouts.may_grant(new, 0.3)
    [action] = rollouts.plan(0.3, lambda service, now: {})
    assert action.progress.reserved > progress.reserved
    # The write may not have been executed.
    assert not rollouts.may_grant(new, 0.4)
    rollouts.apply_failure(SERVICE, 0.4, 0.0)
    assert not rollouts.may_grant(new, 0.4)
    rollouts.apply_progress(SERVICE, action.progress, 8, 0, 0.4, 0.4)
    assert rollouts.may_grant(new, 0.4)


def test_target_gets_nothing_once_the_record_is_too_old():
    # Another coordinator may have found it bad.
    rollouts, old, new = make_rollouts()
    start_trial(rollouts, old, new)
    [action] = rollouts.plan(0.3, lambda service, now: {})
    rollouts.apply_progress(SERVICE, action.progress, 8, 0, 0.4, 0.4)
    assert rollouts.may_grant(new, 0.5)
    assert not rollouts.may_grant(new, 0.4 + BOUNDS.rollback / 2)


def test_state_is_written_only_after_the_record_names_the_verdict():
    rollouts, old, new = make_rollouts()
    progress = start_trial(rollouts, old, new)
    verdict = RolloutProgress(NEW, RolloutPhase.ROLLED_BACK, progress.started_ms)
    rollouts.apply_progress(SERVICE, verdict, 9, 0, 0.4, 0.4)
    [action] = rollouts.plan(0.5, lambda service, now: {})
    assert isinstance(action, WriteStatus)
    assert action.state is RolloutState.ROLLED_BACK
    assert not rollouts.may_grant(new, 0.5)
    # A verdict is never taken back, whatever is read later.
    rollouts.apply_progress(SERVICE, progress, 10, 0, 0.6, 0.6)
    assert not rollouts.may_grant(new, 0.6)


def test_budget_counts_what_lost_coordinators_had_reserved():
    budget = ExposureBudget("a", BOUNDS)
    progress = RolloutProgress(NEW, RolloutPhase.TRIAL)
    other = ExposureBudget("b", BOUNDS)
    for it in (budget, other):
        it.needs_block(0.0)
    while True:
        part = other.make_part(progress, ())
        grown = other.reserve(replace_part(progress, other.part, part))
        if grown.reserved == progress.reserved:
            break
        progress = grown
        other.granted = grown.reserved
    part = budget.make_part(progress, ())
    assert budget.reserve(replace_part(progress, budget.part, part)).reserved <= 50
    assert progress.reserved <= BOUNDS.exposure_slack


def test_response_of_an_older_build_proves_nothing():
    rollouts, old, new = make_rollouts()
    start_trial(rollouts, old, new)
    rollouts.record_grant(new, make_request(99, route="r"), 0, 1.0)
    rollouts.record_end((OWN_VM, 99), RunEnded(99, new.id, 0, 0.0, True), 1.1)
    [view] = rollouts.list_views()
    assert (view.granted, view.responses, view.failures) == (1, 0, 0)


def test_withdrawn_target_gets_nothing_before_that_is_written():
    rollouts, old, new = make_rollouts()
    start_trial(rollouts, old, new)
    [action] = rollouts.plan(0.3, lambda service, now: {})
    rollouts.apply_progress(SERVICE, action.progress, 8, 0, 0.4, 0.4)
    assert rollouts.may_grant(new, 0.4)
    read_orders(rollouts, [], 0.5)
    assert not rollouts.may_grant(new, 0.5)
    assert rollouts.may_grant(old, 0.5)


def test_target_waits_for_responses_of_the_old_version():
    # Otherwise its first responses have nothing to be compared with.
    rollouts, old, new = make_rollouts()
    rollouts.set_backends([old, new])
    order = make_order(state=RolloutState.ACTIVE, stated_target=NEW)
    read_orders(rollouts, [order], 0.0)
    part = {"vm-a/1": ProgressPart(100, 40)}
    progress = RolloutProgress(NEW, RolloutPhase.TRIAL, int(1e12), part)
    rollouts.apply_progress(SERVICE, progress, 7, 0, 0.0, 0.0)
    for number in range(MIN_TIMES):
        assert not rollouts.may_grant(new, 0.1)
        rollouts.record_grant(old, make_request(number, route="r"), 0, 0.1)
        rollouts.record_first_output((OWN_VM, number), 0.2)
    assert rollouts.may_grant(new, 0.2)
    # Each other request goes to the old version, in the same period.
    rollouts.record_grant(new, make_request(98, route="r"), 0, 0.2)
    assert not rollouts.may_grant(new, 0.2)
    rollouts.record_grant(old, make_request(99, route="r"), 0, 0.2)
    assert rollouts.may_grant(new, 0.2)


def test_restored_store_that_lacks_reservations_frees_none_of_them():
    rollouts, old, new = make_rollouts()
    start_trial(rollouts, old, new)
    part = {"vm-b/1": ProgressPart(100, 54)}
    later = RolloutProgress(NEW, RolloutPhase.TRIAL, int(1e12), part)
    rollouts.apply_progress(SERVICE, later, 9, 0, 0.1, 0.1)
    earlier = RolloutProgress(NEW, RolloutPhase.TRIAL, int(1e12))
    rollouts.apply_progress(SERVICE, earlier, 9, 1, 0.2, 0.2)
    [view] = rollouts.list_views()
    assert (view.seen, view.reserved) == (100, 54)


def test_block_is_saved_until_it_fills_a_server():
    # A version may be bad under load only, and a budget that trickles is no load.
    budget = ExposureBudget("a", BOUNDS)
    budget.server_slots = 8
    budget.reserved = 15
    assert not budget.may_spend
    budget.reserved = 16
    for granted in range(16):
        budget.granted = granted
        assert budget.may_spend
    budget.granted = 16
    assert not budget.may_spend
    budget.reserved = 20
    assert not budget.may_spend


def record(evidence, version, backend, route, outcomes, now):
    """Record responses that begin and end at a loop time."""
    for has_failed in outcomes:
        response = Response(version, route, backend, False)
        evidence.record_begin(response, now)
        evidence.record_end(response, has_failed, now)


def test_failures_after_many_sound_responses_are_found_in_the_recent_ones():
    evidence = RolloutEvidence(NEW)
    for second in range(60):
        record(evidence, OLD, "old-0", "r", [False] * 30, second)
        for server in ("new-0", "new-1", "new-2"):
            record(evidence, NEW, server, "r", [False] * 10, second)
    for server in ("new-0", "new-1", "new-2"):
        record(evidence, NEW, server, "r", [True] * 10, 60.0)
    assert evidence.assess(3, 60.0).finding is Finding.BAD


def test_fault_on_a_rare_route_is_not_hidden_by_the_others():
    evidence = RolloutEvidence(NEW)
    for version, count in ((OLD, 5), (NEW, 4)):
        for number in range(count):
            server = f"{version}-{number}"
            record(evidence, version, server, "frequent", [False] * 200, 0.0)
            is_bad = version == NEW
            record(evidence, version, server, "rare", [is_bad, is_bad, False], 0.0)
    assessment = evidence.assess(4, 0.0)
    assert assessment.finding is Finding.BAD
    assert "rare" in assessment.reason


def test_crash_counts_once_however_many_responses_it_broke():
    evidence = RolloutEvidence(NEW)
    record(evidence, OLD, "old-0", "r", [False] * 100, 0.0)
    for server in ("new-0", "new-1", "new-2", "new-3"):
        record(evidence, NEW, server, "r", [False] * 10, 0.0)
    for server in ("new-0", "new-1"):
        for _ in range(8):
            response = Response(NEW, "r", server, True)
            evidence.record_begin(response, 0.5)
            evidence.record_crash(response, 1.0)
    assert evidence.assess(4, 1.0).finding is Finding.SOUND


def start_trial_of_scheduler():
    """Return a scheduler whose new version has a block to spend."""
    rollouts, old, new = make_rollouts()
    scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1), rollouts)
    scheduler.set_backends([old, new])
    start_trial(rollouts, old, new)
    [action] = rollouts.plan(0.3, scheduler.count_runs)
    rollouts.apply_progress(SERVICE, action.progress, 8, 0, 0.4, 0.4)
    return scheduler


def test_retry_goes_to_the_old_version():
    # What a bad version failed must not fail there again.
    scheduler = start_trial_of_scheduler()
    [grant] = scheduler.submit(make_request(100, is_retry=True), 0.4)
    assert grant.backend == "old-0"
    [grant] = scheduler.submit(make_request(101), 0.4)
    assert grant.backend == "new-0"


@pytest.mark.parametrize("version", [OLD, NEW])
def test_stream_never_crosses_versions(version):
    scheduler = start_trial_of_scheduler()
    request = make_request(100, version=version, stream="a")
    [grant] = scheduler.submit(request, 0.4)
    assert grant.backend == f"{version}-0"


def test_old_streams_may_continue_during_the_switch_but_none_begins():
    scheduler = start_trial_of_scheduler()
    progress = RolloutProgress(NEW, RolloutPhase.SWITCH, int(1e12))
    scheduler.rollouts.apply_progress(SERVICE, progress, 9, 0, 0.5, 0.5)
    [grant] = scheduler.submit(make_request(100, version=OLD, stream="a"), 0.5)
    assert grant.backend == "old-0"
    for number in (101, 102):
        [grant] = scheduler.submit(make_request(number), 0.5)
        assert grant.backend == "new-0"
    # Both slots of the new version are taken; the old one has a free one.
    assert scheduler.submit(make_request(103), 0.5) == []


def test_version_that_joins_after_a_completed_order_is_used_as_without_orders():
    # An old order stays in the store until an operator removes it.
    rollouts, old, new = make_rollouts()
    rollouts.set_backends([new])
    order = make_order(state=RolloutState.COMPLETED, stated_target=NEW)
    read_orders(rollouts, [order], 0.0)
    later = replace(make_backend_entry("third-0"), version=THIRD)
    rollouts.set_backends([new, later])
    read_orders(rollouts, [order], 1.0)
    assert rollouts.may_grant(new, 1.0)
    assert rollouts.may_grant(later, 1.0)


def test_replaced_version_gets_nothing_after_the_verdict():
    rollouts, old, new = make_rollouts()
    start_trial(rollouts, old, new)
    order = make_order(state=RolloutState.COMPLETED, stated_target=NEW, revision=2)
    read_orders(rollouts, [order], 1.0)
    assert rollouts.may_grant(new, 1.0)
    assert not rollouts.may_grant(old, 1.0)


def test_block_of_the_slack_is_kept_for_the_end_of_the_trial():
    # A version that turned bad after its first responses would otherwise get no more
    # requests before the switch.
    budget = ExposureBudget("a", BOUNDS)
    budget.server_slots = 10
    progress = RolloutProgress(NEW, RolloutPhase.TRIAL)
    allowed = [budget.compute_allowance(progress, it) for it in (0.0, 0.5, 0.99, 1.0)]
    assert allowed == [20, 20, 24, 45]


def test_early_sound_responses_are_not_fresh():
    evidence = RolloutEvidence(NEW)
    record(evidence, NEW, "new-0", "r", [False] * 20, 1.0)
    record(evidence, OLD, "old-0", "r", [False] * 20, 5.0)
    assert evidence.count_fresh(2.0) == 0
    record(evidence, NEW, "new-0", "r", [False] * 3, 5.5)
    assert evidence.count_fresh(2.0) == 3


def test_switch_is_judged_by_times_with_a_higher_excess():
    # A version that turns slow after its trial would otherwise be completed.
    evidence = RolloutEvidence(NEW)
    for number in range(MIN_TIMES):
        response = Response(OLD, "r", f"old-{number}", False)
        evidence.record_time(response, TimeKind.FIRST_OUTPUT, 0.1, 0.0)
        evidence.record_end(response, False, 0.0)
    for number in range(40):
        response = Response(NEW, "r", f"new-{number % 4}", False)
        seconds = 0.5 if number // 4 % 2 else 0.1
        evidence.record_time(response, TimeKind.FIRST_OUTPUT, seconds, 0.0)
        evidence.record_end(response, False, 0.0)
    assert evidence.assess(4, 0.0, SWITCH_SLOW_EXCESS).finding is Finding.BAD
    assert evidence.assess(4, 0.0, 0.6).finding is not Finding.BAD


def test_scheduler_grants_nothing_to_a_version_before_its_orders_are_read():
    # Guards against a version that is used while its order is not known yet.
    rollouts, old, new = make_rollouts()
    read_orders(rollouts, [], 0.0)
    scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1), rollouts)
    scheduler.set_backends([new])
    rollouts.set_backends([old, new])
    assert scheduler.submit(make_request(1), 0.1) == []
    assert scheduler.count_runs(SERVICE, 0.1) == {new.id: 0}
    read_orders(rollouts, [], 0.2)
    scheduler.advance(0.3)
    assert scheduler.count_runs(SERVICE, 0.3) == {new.id: 1}


@pytest.mark.parametrize("duration", [20.0, 30.0, 60.0])
def test_switch_completes_only_once_all_old_runs_have_ended(duration):
    # Guards against review/15 (LOST): the time of the order ended runs, as old servers
    # stop at once when it is completed.
    rollouts, old, new = make_rollouts()
    rollouts.set_backends([old, new])
    order = make_order(
        duration_seconds=duration, state=RolloutState.ACTIVE, stated_target=NEW
    )
    read_orders(rollouts, [order], 0.0)
    progress = RolloutProgress(NEW, RolloutPhase.SWITCH, int(1e12))
    rollouts.apply_progress(SERVICE, progress, 7, 0, 0.0, 0.0)
    phases = set()
    for step in range(int(duration) + 10):
        now, old_runs = float(step), int(step < duration + 5)
        rollouts.apply_progress(SERVICE, progress, 8 + step, 0, now, now)
        counts = {old.id: old_runs}
        for action in rollouts.plan(now, lambda *_, counts=counts: counts):
            if isinstance(action, ReserveExposure):
                progress = action.progress
        phases.add((progress.phase, old_runs))
    assert phases == {(RolloutPhase.SWITCH, 1), (RolloutPhase.COMPLETED, 0)}


def test_run_whose_deadline_has_passed_holds_up_no_switch():
    scheduler = start_trial_of_scheduler()
    [grant] = scheduler.submit(make_request(100, is_retry=True), 0.4)
    late = make_request(101, is_retry=True, seconds_to_deadline=5.0)
    [late_grant] = scheduler.submit(late, 0.4)
    assert {grant.backend, late_grant.backend} == {"old-0"}
    counts = [scheduler.count_runs(SERVICE, now)["old-0"] for now in (1.0, 6.0, 16.0)]
    assert counts == [2, 1, 0]
